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

const void* RcuPointer::read() const { return rcu_dereference(this->pointer); }

const void* RcuPointer::exchange(const void* fresh)
{
    const std::lock_guard guard(this->writers);
    const void* old = rcu_xchg_pointer(&this->pointer, fresh);
    urcu_memb_synchronize_rcu();
    return old;
}

} // namespace topaztack::detail
