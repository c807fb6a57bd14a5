#pragma once

#include <string>

/// @file
/// docs/SETTINGS.md, made from the rules by which settings and documents are read.

namespace topaztack {

/// @brief The whole page in Markdown.
std::string settingsPage();

} // namespace topaztack
