#include <topaztack/base/rcu_cell.hpp>

#include <urcu/urcu-memb.h>

namespace topaztack::detail {

namespace {

    /// Registers a thread with liburcu for as long as the thread lives.
    struct ThreadRegistration {
        ThreadRegistration() { urcu_memb_register_thread(); }
        ~ThreadRegistration() { urcu_memb_unregister_thread(); }
        ThreadRegistration(const ThreadRegistration&) = delete;
        ThreadRegistration& operator=(const ThreadRegistration&) = delete;
    };

    void registerThisThread() { thread_local ThreadRegistration registration; }

} // namespace

RcuPointer::ReadLock::ReadLock()
{
    registerThisThread();
    urcu_memb_read_lock();
}

RcuPointer::ReadLock::~ReadLock() { urcu_memb_read_unlock(); }

const void* RcuPointer::read() const { return this->pointer.load(std::memory_order_acquire); }

const void* RcuPointer::exchange(const void* fresh)
{
    const std::lock_guard guard(this->writers);
    const void* old = this->pointer.exchange(fresh, std::memory_order_acq_rel);
    urcu_memb_synchronize_rcu();
    return old;
}

} // namespace topaztack::detail
