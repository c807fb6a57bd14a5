#include "frame_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <algorithm>
#include <memory>

namespace topaztack {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    /// A VM without the key is told apart at once, before any frame is sent.
    constexpr std::string_view plainMark = "TPZ1";
    constexpr std::string_view keyedMark = "TPZK";
    constexpr std::size_t nonceSize = 16;
    constexpr std::size_t lengthSize = 4;
    constexpr std::size_t codeSize = 32;
    /// Memory follows the bytes that arrive, not the length that the other side claims.
    constexpr std::size_t readStep = 64UL * 1024;

    std::string randomNonce()
    {
        std::string nonce(nonceSize, '\0');
        if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1)
            std::abort();
        return nonce;
    }

    std::string bigEndian(std::uint64_t value, std::size_t size)
    {
        std::string bytes(size, '\0');
        for (std::size_t place = size; place > 0; --place) {
            bytes[place - 1] = static_cast<char>(value & 0xffU);
            value >>= 8U;
        }
        return bytes;
    }

    std::uint64_t fromBigEndian(std::string_view bytes)
    {
        std::uint64_t value = 0;
        for (const char byte : bytes)
            value = value << 8U | static_cast<unsigned char>(byte);
        return value;
    }

    const unsigned char* toBytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

    EVP_MAC* hmacAlgorithm()
    {
        static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
        return algorithm;
    }

} // namespace

std::string hmacSha256(std::string_view key, std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
        EVP_MAC_CTX_new(hmacAlgorithm()), &EVP_MAC_CTX_free);
    std::string digest = "SHA256";
    const OSSL_PARAM parameters[]
        = { OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0), OSSL_PARAM_construct_end() };
    std::string code(codeSize, '\0');
    std::size_t size = 0;
    bool isMade = context && EVP_MAC_init(context.get(), toBytes(key), key.size(), parameters) == 1;
    for (const auto part : parts)
        isMade = isMade && EVP_MAC_update(context.get(), toBytes(part), part.size()) == 1;
    isMade = isMade
        && EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(code.data()), &size, code.size()) == 1;
    if (!isMade)
        std::abort();
    return code;
}

bool areEqualCodes(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

FrameLink::FrameLink(Transport transport, std::string secret, LinkSide side)
    : connection(std::move(transport))
    , secret(std::move(secret))
    , side(side)
    , ownNonce(randomNonce())
{
}

asio::awaitable<boost::system::error_code> FrameLink::greet()
{
    const auto mark = this->secret.empty() ? plainMark : keyedMark;
    const std::string greeting = std::string(mark) + this->ownNonce;
    const auto [writeProblem, sent] = co_await asio::async_write(this->connection, asio::buffer(greeting), asTuple);
    if (writeProblem)
        co_return writeProblem;
    std::string answer(greeting.size(), '\0');
    const auto [readProblem, got] = co_await asio::async_read(this->connection, asio::buffer(answer), asTuple);
    if (readProblem)
        co_return readProblem;
    if (!answer.starts_with(mark))
        co_return make_error_code(asio::error::no_protocol_option);
    this->otherNonce = answer.substr(mark.size());
    co_return boost::system::error_code {};
}

std::string FrameLink::codeOf(LinkSide sender, std::uint64_t number, std::string_view payload) const
{
    const auto direction = sender == LinkSide::Caller ? std::string_view("call") : std::string_view("answer");
    const bool isCaller = this->side == LinkSide::Caller;
    const auto& callerNonce = isCaller ? this->ownNonce : this->otherNonce;
    const auto& serverNonce = isCaller ? this->otherNonce : this->ownNonce;
    return hmacSha256(this->secret, { direction, callerNonce, serverNonce, bigEndian(number, 8), payload });
}

asio::awaitable<boost::system::error_code> FrameLink::write(std::string payload)
{
    if (payload.size() > longestFrame)
        co_return make_error_code(asio::error::message_size);
    std::string frame = bigEndian(payload.size(), lengthSize) + payload;
    if (!this->secret.empty())
        frame += this->codeOf(this->side, this->sentFrames, payload);
    ++this->sentFrames;
    const auto [problem, size] = co_await asio::async_write(this->connection, asio::buffer(frame), asTuple);
    this->written += size;
    co_return problem;
}

asio::awaitable<boost::system::error_code> FrameLink::read(std::string& payload)
{
    std::string head(lengthSize, '\0');
    const auto [headProblem, headRead] = co_await asio::async_read(this->connection, asio::buffer(head), asTuple);
    if (headProblem)
        co_return headProblem;
    const auto length = fromBigEndian(head);
    if (length > longestFrame)
        co_return make_error_code(asio::error::message_size);
    const std::size_t whole = length + (this->secret.empty() ? 0 : codeSize);
    payload.clear();
    while (payload.size() < whole) {
        const auto start = payload.size();
        payload.resize(std::min(whole, start + readStep));
        const auto [problem, got] = co_await asio::async_read(
            this->connection, asio::buffer(payload.data() + start, payload.size() - start), asTuple);
        if (problem)
            co_return problem;
    }
    const auto number = this->readFrames++;
    if (this->secret.empty())
        co_return boost::system::error_code {};
    const std::string code = payload.substr(length);
    payload.resize(length);
    const auto sender = this->side == LinkSide::Caller ? LinkSide::Server : LinkSide::Caller;
    if (!areEqualCodes(code, this->codeOf(sender, number, payload)))
        co_return make_error_code(asio::error::no_permission);
    co_return boost::system::error_code {};
}

} // namespace topaztack
