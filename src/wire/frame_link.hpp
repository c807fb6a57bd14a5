#pragma once

#include "transport.hpp"

#include <topaztack/base/error.hpp>
#include <topaztack/wire/peer_link.hpp>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Frames of one connection between VMs: a length, the payload, and an HMAC-SHA256 if there is a key.
///
/// Each side first sends a greeting with a random nonce. The HMAC covers direction, both nonces, the frame's number
/// and its payload: a frame can't be replayed, on this connection or on another, nor sent back to its sender.

namespace topaztack {

inline constexpr std::size_t longestFrame = 16UL * 1024 * 1024;

/// @brief HMAC-SHA256 of the parts joined together.
std::string hmacSha256(std::string_view key, std::initializer_list<std::string_view> parts);

/// @brief Compares two codes in a time that depends on their length only.
bool areEqualCodes(std::string_view one, std::string_view other);

enum class LinkSide : std::uint8_t {
    Caller,
    Server,
};

class FrameLink {
public:
    FrameLink(Transport transport, std::string secret, LinkSide side);

    /// @brief Exchanges greetings. Error no_protocol_option if only one of the two has a key.
    boost::asio::awaitable<boost::system::error_code> greet();

    /// @brief Writes one frame.
    boost::asio::awaitable<boost::system::error_code> write(std::string payload);

    /// @brief Reads one frame. Errors: message_size if it is longer than longestFrame, no_permission if its code is
    /// wrong; after an error the connection is of no more use.
    boost::asio::awaitable<boost::system::error_code> read(std::string& payload);

    /// @brief Bytes written so far: none before the first frame is proof that nothing reached the other side.
    std::uint64_t bytesWritten() const { return this->written; }

    Transport& transport() { return this->connection; }

private:
    std::string codeOf(LinkSide sender, std::uint64_t number, std::string_view payload) const;

    Transport connection;
    std::string secret;
    LinkSide side;
    std::string ownNonce;
    std::string otherNonce;
    std::uint64_t sentFrames { 0 };
    std::uint64_t readFrames { 0 };
    std::uint64_t written { 0 };
};

} // namespace topaztack
