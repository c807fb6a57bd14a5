#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <atomic>
#include <mutex>

/// @file
/// A pointer to an immutable object that any thread reads without a lock and a control thread replaces.

namespace topaztack {

namespace detail {

    /// @brief The untyped part: read-copy-update on one pointer (liburcu, memory-barrier flavour).
    class RcuPointer {
    public:
        /// @brief Marks a read-side critical section of the calling thread; registers the thread on first use.
        class ReadLock {
        public:
            ReadLock();
            ~ReadLock();
            ReadLock(const ReadLock&) = delete;
            ReadLock& operator=(const ReadLock&) = delete;
        };

        const void* read() const;

        /// @brief Publishes a pointer and waits until no reader can still see the old one.
        /// @return the old pointer.
        const void* exchange(const void* fresh);

    private:
        std::atomic<const void*> pointer { nullptr };
        std::mutex writers;
    };

} // namespace detail

/// @brief Holds one counted reference to the newest `T`; `T` counts intrusively.
template <typename T> class RcuCell {
public:
    using Pointer = boost::intrusive_ptr<const T>;

    RcuCell() = default;
    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;
    ~RcuCell() { this->store(nullptr); }

    /// @brief A reference to the newest object; nullptr before the first store. Wait-free.
    Pointer load() const
    {
        detail::RcuPointer::ReadLock lock;
        return Pointer(static_cast<const T*>(this->cell.read()));
    }

    /// @brief Publishes a new object. Blocks for a grace period: not for a thread that serves requests.
    void store(Pointer fresh)
    {
        const void* old = this->cell.exchange(fresh.detach());
        Pointer(static_cast<const T*>(old), false);
    }

private:
    detail::RcuPointer cell;
};

} // namespace topaztack
