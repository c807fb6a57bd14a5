#pragma once

#include <topaztack/node/context.hpp>
#include <topaztack/policy/retry.hpp>

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <optional>

/// @file
/// The retry budget of one VM, shared by its threads.

namespace topaztack {

class RetryDesk {
public:
    explicit RetryDesk(NodeContext& context);

    /// @brief Counts a first attempt.
    void earn();

    /// @brief Decides on a further attempt and, if there is to be one, waits its pause.
    /// @return false if no further attempt may be made.
    boost::asio::awaitable<bool> waitForRetry(RetryContext facts);

private:
    std::chrono::microseconds decide(const RetryContext& facts);

    NodeContext& context;
    std::mutex lock;
    /// Empty until a document says what is allowed.
    std::optional<RetryBudget> budget;
    Random random;
    Counter& retries;
    Counter& refused;
};

} // namespace topaztack
