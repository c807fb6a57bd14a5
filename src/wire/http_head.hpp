#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/wire/http.hpp>

#include <boost/asio/read_until.hpp>

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// What the head of a message must be beyond the library's checks, so that no two parties can read it differently.

namespace topaztack {

/// @brief Match condition for async_read_until: a whole head, or a line feed that no carriage return precedes.
struct HeadEnd {
    template <typename Iterator> std::pair<Iterator, bool> operator()(Iterator begin, Iterator end) const
    {
        std::size_t ended = 0;
        char previous = 0;
        for (auto place = begin; place != end; ++place) {
            const char character = *place;
            if (character == '\n' && previous != '\r')
                return { std::next(place), true };
            if (character == '\n')
                ++ended;
            else if (character != '\r')
                ended = 0;
            if (ended == 2)
                return { std::next(place), true };
            previous = character;
        }
        return { begin, false };
    }
};

/// @brief Checks the bytes of a head: bare line feeds and carriage returns, continuation lines, control characters.
/// @return what is wrong; nothing if it may be parsed.
std::optional<std::string_view> checkHead(std::string_view head);

/// @brief Checks parsed fields: transfer codings, repeated lengths and hosts, number of fields.
/// @param version 10 or 11.
std::optional<Error> checkFields(const std::vector<HttpHeader>& headers, unsigned version);

/// Answers with a lower status are interim ones.
inline constexpr unsigned minFinalStatus = 200;

/// @brief Checks the status of an answer, which the library accepts if it has three digits.
/// @return what is wrong; nothing if HTTP defines its class, and it doesn't switch to another protocol, which no
/// request asks for.
std::optional<Error> checkStatus(unsigned status);

} // namespace topaztack

template <> struct boost::asio::is_match_condition<topaztack::HeadEnd> : public std::true_type {
};
