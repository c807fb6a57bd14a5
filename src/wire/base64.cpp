#include <topaztack/wire/base64.hpp>

#include <openssl/evp.h>

#include <limits>

namespace topaztack {

namespace {

    const unsigned char* toBytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

    std::size_t paddingOf(std::string_view text)
    {
        if (text.ends_with("=="))
            return 2;
        return text.ends_with('=') ? 1 : 0;
    }

    bool isAlphabet(std::string_view text)
    {
        static constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        return text.find_first_not_of(alphabet) == std::string_view::npos;
    }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()), toBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    const auto padding = paddingOf(text);
    const bool isWhole = text.size() % 4 == 0 && text.size() <= std::numeric_limits<int>::max();
    if (!isWhole || !isAlphabet(text.substr(0, text.size() - padding)))
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), toBytes(text), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace topaztack
