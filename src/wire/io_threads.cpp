#include <topaztack/wire/io_threads.hpp>

namespace topaztack {

namespace {

    thread_local std::size_t threadIndex = 0;

} // namespace

IoThreads::IoThreads(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index)
        this->loops.push_back(std::make_unique<Loop>());
}

IoThreads::~IoThreads() { this->stop(); }

void IoThreads::start()
{
    for (std::size_t index = 0; index < this->loops.size(); ++index) {
        auto* loop = this->loops[index].get();
        loop->thread = std::thread([loop, index] {
            threadIndex = index;
            loop->context.run();
        });
    }
}

void IoThreads::stop()
{
    for (auto& loop : this->loops)
        loop->context.stop();
    for (auto& loop : this->loops) {
        if (loop->thread.joinable())
            loop->thread.join();
    }
    for (auto& loop : this->loops)
        loop->context.shutdown();
}

std::size_t IoThreads::here() { return threadIndex; }

} // namespace topaztack
