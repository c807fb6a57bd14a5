#pragma once

#include "peer_directory.hpp"

#include <topaztack/policy/request_quota.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

/// @file
/// Keeps what all VMs together send to a backend server within the limit that it states.

namespace topaztack {

/// Path at which VMs ask each other for a request to a server that states a limit.
inline constexpr std::string_view requestQuotaPath = "/request-quota";

class RequestQuota {
public:
    RequestQuota(GatewayContext& context, const PeerDirectory& peers);

    /// @brief Learns from the head of a server's answer which limit it states.
    /// @param sentAt when the request was sent.
    void recordAnswer(const ServerRecord& server, const ServerResponseHead& answer, TimePoint sentAt);

    /// @brief Whether a request may be sent to a server now. If the server states a limit, the VM that keeps its budget
    /// is asked.
    boost::asio::awaitable<bool> admit(ServerRecord server);

    /// @brief Counts a request that is sent in any case.
    boost::asio::awaitable<void> charge(ServerRecord server);

    /// @brief When a server may next get a request, as far as this VM knows; in the past if it may get one now.
    TimePoint availableAt(const BackendName& server) const;

    /// @brief Answers another VM that asks for a request.
    HttpResponse answer(const HttpRequest& request);

    /// @brief Drops what is known of servers that have no limit and were not heard of for a while.
    void expire();

    boost::json::value dump() const;

private:
    /// Whether a request that is not admitted stays unsent or is counted all the same.
    enum class Need : std::uint8_t {
        Admission,
        Charge,
    };

    struct Account {
        LimitStatement limit;
        /// Used while this VM keeps the server's budget.
        RequestBudget budget;
        /// No request is admitted before this time.
        TimePoint availableAt;
    };

    /// The answer of the VM that keeps the budget.
    struct Decision {
        bool isAdmitted { false };
        /// If it is not admitted: when to ask again.
        Duration retryAfter { 0 };
        LimitStatement limit;
    };

    boost::asio::awaitable<bool> request(ServerRecord server, Need need);
    boost::asio::awaitable<std::optional<Decision>> ask(PeerRecord keeper, BackendName server, Need need);
    Decision decide(const BackendName& server, Need need, TimePoint now);
    void applyLimit(const BackendName& server, const LimitStatement& limit, std::string_view source);

    GatewayContext& context;
    const PeerDirectory& peers;
    std::map<BackendName, Account> accounts;
    /// VMs that did not answer, and until when they are not asked.
    std::map<VmName, TimePoint> silentKeepers;
    Counter& admitted;
    Counter& denied;
    Counter& unanswered;
};

} // namespace topaztack
