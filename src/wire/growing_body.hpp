#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

/// @file
/// The body of a request as the parser reads it: memory is taken as bytes arrive, not as they are announced.

namespace topaztack {

/// @brief Meets Beast's Body concept. Reading fails with errc::not_enough_memory if it may not grow.
struct GrowingBody {
    struct Value {
        std::string text;
        /// Asked before the text's buffer grows, with its new size in bytes.
        std::function<bool(std::size_t)> mayGrow;
        /// Size in bytes beyond which no body is read.
        std::size_t maxSize { 0 };
    };

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields>& /*head*/, Value& body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& problem)
        {
            if (length)
                this->body.maxSize = std::min<std::size_t>(this->body.maxSize, *length);
            problem = {};
        }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& problem)
        {
            const auto size = boost::asio::buffer_size(buffers);
            problem = {};
            if (!this->makeRoom(this->body.text.size() + size)) {
                problem = make_error_code(boost::system::errc::not_enough_memory);
                return 0;
            }
            for (const auto piece : boost::beast::buffers_range_ref(buffers))
                this->body.text.append(static_cast<const char*>(piece.data()), piece.size());
            return size;
        }

        static void finish(boost::system::error_code& problem) { problem = {}; }

    private:
        static constexpr std::size_t minCapacity = 1024;

        bool makeRoom(std::size_t size)
        {
            auto& text = this->body.text;
            if (size <= text.capacity())
                return true;
            const auto doubled = std::max(minCapacity, 2 * text.capacity());
            const auto capacity = std::max(size, std::min(doubled, this->body.maxSize));
            if (!this->body.mayGrow(capacity))
                return false;
            // reserve() of a text that has a buffer may take more than it was asked for.
            std::string larger;
            larger.reserve(capacity);
            larger.append(text);
            text = std::move(larger);
            return true;
        }

        Value& body;
    };

    /// @name Names of the concept
    /// @{
    using value_type = Value;
    using reader = Reader;
    /// @}
};

} // namespace topaztack
