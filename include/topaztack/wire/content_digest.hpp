#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// @file
/// Digests that tell equal contents from others without keeping them.

namespace topaztack {

/// @brief A digest of a list of texts. It is collision resistant, so nobody can give a text of their own the digest of
/// another one.
/// @return 32 lower-case hexadecimal digits.
/// @complexity linear in the length of the texts.
/// @example contentDigest({ "POST", "/orders", body })
std::string contentDigest(std::initializer_list<std::string_view> parts);

} // namespace topaztack
