#pragma once

#include <topaztack/base/ini.hpp>

#include <string>
#include <string_view>

/// @file
/// Reads identifiers in settings and documents.

namespace topaztack::detail {

/// @brief Stores a name as an identifier of the type `Id`; returns what is wrong with it, empty if nothing.
template <typename Id> std::string readId(std::string_view text, Id& id)
{
    std::string name;
    auto wrong = readName(text, name);
    id = Id(std::move(name));
    return wrong;
}

} // namespace topaztack::detail
