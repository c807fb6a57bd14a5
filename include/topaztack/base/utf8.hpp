#pragma once

#include <string_view>

/// @file
/// UTF-8 as RFC 3629 defines it.

namespace topaztack {

/// @brief Whether bytes are well-formed UTF-8: without overlong forms, surrogates or code points above U+10FFFF. JSON
/// holds no other text: the library that is used here writes any bytes, but refuses to parse such ones.
/// @complexity linear in the text.
bool isUtf8(std::string_view text);

} // namespace topaztack
