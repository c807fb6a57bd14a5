#include <topaztack/policy/class_queue.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    std::size_t classIndex(RequestClass requestClass) { return static_cast<std::size_t>(requestClass); }

    /// Updates the sizes after a request was removed.
    void countRemoval(RequestQueue& queue, ClassQueue& classQueue)
    {
        --queue.size;
        --classQueue.size;
    }

    /// Erases a trainer without requests, unless its virtual time is ahead of the class: its next request starts from
    /// there.
    void eraseIfIdle(ClassQueue& classQueue, std::map<TrainerName, TrainerQueue>::iterator entry)
    {
        if (entry->second.requests.empty() && entry->second.virtualTime <= classQueue.virtualTime)
            classQueue.trainers.erase(entry);
    }

    /// The trainer with the least virtual time among those whose head is servable.
    std::map<TrainerName, TrainerQueue>::iterator nextTrainer(
        ClassQueue& classQueue, const std::function<bool(const QueuedRequest&)>& isServable)
    {
        auto best = classQueue.trainers.end();
        for (auto entry = classQueue.trainers.begin(); entry != classQueue.trainers.end(); ++entry) {
            const auto& trainer = entry->second;
            if (trainer.requests.empty() || !isServable(trainer.requests.front()))
                continue;
            if (best == classQueue.trainers.end() || trainer.virtualTime < best->second.virtualTime)
                best = entry;
        }
        return best;
    }

} // namespace

std::size_t countQueuedAhead(const RequestQueue& queue, RequestClass requestClass)
{
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= classIndex(requestClass); ++index)
        ahead += queue.classes[index].size;
    return ahead;
}

void pushRequest(RequestQueue& queue, QueuedRequest request)
{
    auto& classQueue = queue.classes[classIndex(request.requestClass)];
    auto& trainer = classQueue.trainers[request.trainer];
    if (trainer.requests.empty())
        trainer.virtualTime = std::max(trainer.virtualTime, classQueue.virtualTime);
    trainer.requests.push_back(std::move(request));
    ++classQueue.size;
    ++queue.size;
}

std::optional<QueuedRequest> popRequest(
    RequestQueue& queue, const std::function<bool(const QueuedRequest&)>& isServable)
{
    for (auto& classQueue : queue.classes) {
        if (classQueue.size == 0)
            continue;
        const auto entry = nextTrainer(classQueue, isServable);
        if (entry == classQueue.trainers.end())
            continue;
        auto& trainer = entry->second;
        auto request = std::move(trainer.requests.front());
        trainer.requests.pop_front();
        classQueue.virtualTime = trainer.virtualTime;
        trainer.virtualTime += 1.0 / static_cast<double>(std::max<std::uint64_t>(1, request.weight));
        countRemoval(queue, classQueue);
        eraseIfIdle(classQueue, entry);
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> evictLessUrgent(RequestQueue& queue, RequestClass requestClass)
{
    for (auto index = requestClasses; index-- > classIndex(requestClass) + 1;) {
        auto& classQueue = queue.classes[index];
        auto newest = classQueue.trainers.end();
        for (auto entry = classQueue.trainers.begin(); entry != classQueue.trainers.end(); ++entry) {
            const auto& requests = entry->second.requests;
            if (!requests.empty()
                && (newest == classQueue.trainers.end()
                    || requests.back().arrived > newest->second.requests.back().arrived))
                newest = entry;
        }
        if (newest == classQueue.trainers.end())
            continue;
        auto request = std::move(newest->second.requests.back());
        newest->second.requests.pop_back();
        countRemoval(queue, classQueue);
        return request;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> removeRequest(
    RequestQueue& queue, RequestClass requestClass, const TrainerName& trainer, std::uint64_t id)
{
    auto& classQueue = queue.classes[classIndex(requestClass)];
    const auto entry = classQueue.trainers.find(trainer);
    if (entry == classQueue.trainers.end())
        return std::nullopt;
    auto& requests = entry->second.requests;
    const auto found = std::find_if(
        requests.begin(), requests.end(), [id](const QueuedRequest& request) { return request.id == id; });
    if (found == requests.end())
        return std::nullopt;
    auto request = std::move(*found);
    requests.erase(found);
    countRemoval(queue, classQueue);
    return request;
}

} // namespace topaztack
