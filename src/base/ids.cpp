#include <topaztack/base/ids.hpp>

#include <topaztack/base/random.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace topaztack {

namespace {

    constexpr std::string_view ticketPrefix = "tkt-";

    template <typename Number> std::optional<Number> parseWhole(std::string_view text, int base = 10)
    {
        Number number {};
        const char* end = text.data() + text.size();
        const auto [stop, problem] = std::from_chars(text.data(), end, number, base);
        if (problem != std::errc {} || stop != end || text.empty())
            return std::nullopt;
        return number;
    }

} // namespace

std::string toText(const Endpoint& endpoint)
{
    if (endpoint.address.find(':') != std::string::npos)
        return "[" + endpoint.address + "]:" + std::to_string(endpoint.port);
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string address(text.substr(0, colon));
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    const auto port = parseWhole<std::uint16_t>(text.substr(colon + 1));
    boost::system::error_code problem;
    const auto parsed = boost::asio::ip::make_address(address, problem);
    if (problem || !port || parsed.is_v6() != bracketed)
        return std::nullopt;
    return Endpoint { address, *port };
}

std::string toText(const TicketId& ticket)
{
    return std::string(ticketPrefix) + std::to_string(ticket.counter) + "-" + toHex(ticket.home.incarnation.value())
        + "-" + ticket.home.name.value();
}

std::optional<TicketId> parseTicketId(std::string_view text)
{
    if (!text.starts_with(ticketPrefix))
        return std::nullopt;
    text.remove_prefix(ticketPrefix.size());
    const auto first = text.find('-');
    if (first == std::string_view::npos)
        return std::nullopt;
    const auto second = text.find('-', first + 1);
    if (second == std::string_view::npos || second + 1 == text.size())
        return std::nullopt;
    const auto counter = parseWhole<std::uint64_t>(text.substr(0, first));
    const auto incarnation = parseWhole<std::uint64_t>(text.substr(first + 1, second - first - 1), 16);
    if (!counter || !incarnation)
        return std::nullopt;
    VmIdentity home { VmName(std::string(text.substr(second + 1))), Incarnation(*incarnation) };
    return TicketId { std::move(home), *counter };
}

} // namespace topaztack
