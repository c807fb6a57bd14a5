#include <topaztack/wire/content_digest.hpp>

#include "frame_link.hpp"

namespace topaztack {

namespace {

    constexpr std::string_view digestPurpose = "topaztack content digest 1";
    constexpr std::size_t digestBytes = 16;

} // namespace

std::string contentDigest(std::initializer_list<std::string_view> parts)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    // The lengths keep texts apart that are equal once they are joined.
    std::string lengths;
    std::string joined;
    for (const auto part : parts) {
        lengths += std::to_string(part.size()) + ",";
        joined += part;
    }
    const auto code = hmacSha256(digestPurpose, { lengths, joined });
    std::string text;
    for (std::size_t index = 0; index < digestBytes; ++index) {
        const auto byte = static_cast<unsigned char>(code[index]);
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

} // namespace topaztack
