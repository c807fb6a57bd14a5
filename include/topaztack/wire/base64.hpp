#pragma once

#include <optional>
#include <string>
#include <string_view>

/// @file
/// Base64 with padding, as JSON bodies carry bytes.

namespace topaztack {

std::string encodeBase64(std::string_view bytes);

/// @return nothing if the text is not whole groups of four characters of the alphabet.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace topaztack
