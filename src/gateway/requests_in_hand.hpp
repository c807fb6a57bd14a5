#pragma once

#include <topaztack/base/ids.hpp>

#include <cstddef>
#include <map>
#include <utility>

/// @file
/// Keeps the requests of one route from taking all connections of a VM, as they do when its servers don't answer.

namespace topaztack {

class RequestsInHand {
public:
    /// @brief A request for as long as it is in hand.
    class Entry {
    public:
        /// @param maxConnections the server's limit; one route gets half of it.
        Entry(RequestsInHand& requests, RouteName route, std::size_t maxConnections)
            : requests(requests)
            , route(std::move(route))
            , admitted(++this->requests.byRoute[this->route] <= maxConnections / routeDivisor)
        {
        }

        ~Entry()
        {
            const auto found = this->requests.byRoute.find(this->route);
            if (--found->second == 0)
                this->requests.byRoute.erase(found);
        }

        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

        bool isAdmitted() const { return this->admitted; }

    private:
        static constexpr std::size_t routeDivisor = 2;

        RequestsInHand& requests;
        const RouteName route;
        const bool admitted;
    };

private:
    std::map<RouteName, std::size_t> byRoute;
};

} // namespace topaztack
