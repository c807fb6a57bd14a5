#pragma once

#include <topaztack/node/context.hpp>

#include <mutex>
#include <optional>
#include <unordered_map>

/// @file
/// Requests of one caller at once in this VM.

namespace topaztack {

class CallerLimits {
public:
    explicit CallerLimits(NodeContext& context)
        : context(context)
    {
    }

    /// @brief Counts one request of a caller for as long as it lives.
    class Hold {
    public:
        Hold(CallerLimits& limits, CallerName caller)
            : limits(&limits)
            , caller(std::move(caller))
        {
        }
        ~Hold()
        {
            if (this->limits)
                this->limits->leave(this->caller);
        }
        Hold(Hold&& other) noexcept
            : limits(std::exchange(other.limits, nullptr))
            , caller(std::move(other.caller))
        {
        }
        Hold& operator=(Hold&&) = delete;
        Hold(const Hold&) = delete;
        Hold& operator=(const Hold&) = delete;

    private:
        CallerLimits* limits;
        CallerName caller;
    };

    /// @return nothing if the caller has as many requests in hand as the document in force allows.
    std::optional<Hold> enter(const CallerName& caller)
    {
        const auto accepted = this->context.document();
        const auto most = accepted ? accepted->document.limits.callerInFlight : 0;
        const std::lock_guard guard(this->lock);
        auto& count = this->inFlight[caller];
        if (count >= most) {
            if (count == 0)
                this->inFlight.erase(caller);
            return std::nullopt;
        }
        ++count;
        return Hold(*this, caller);
    }

private:
    void leave(const CallerName& caller)
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->inFlight.find(caller);
        if (found != this->inFlight.end() && --found->second == 0)
            this->inFlight.erase(found);
    }

    NodeContext& context;
    std::mutex lock;
    std::unordered_map<CallerName, std::uint64_t> inFlight;
};

} // namespace topaztack
