#pragma once

#include <string>

/// @file
/// Generates docs/SETTINGS.md from the rules for parsing settings and documents.

namespace topaztack {

/// @brief The complete page as Markdown.
std::string settingsPage();

} // namespace topaztack
