#pragma once

#include <topaztack/base/ini.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The document as a form: fields to text and back, and each problem beside its field.

namespace topaztack::console {

/// @brief Names and values of a form as the browser sent them.
using FormFields = std::map<std::string, std::string>;

/// @brief Reads `application/x-www-form-urlencoded`; of a name given twice the last counts.
FormFields parseForm(std::string_view body);

/// @brief One section of the document on the form.
struct FormSection {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> values;
    /// Messages by key; those of the section itself under an empty key.
    std::map<std::string, std::string> errors;
};

/// @brief The sections of a document's text, and an empty one of each kind to add to.
std::vector<FormSection> sectionsOf(std::string_view text);

/// @brief The sections that the browser sent, without removed and empty ones.
std::vector<FormSection> sectionsOf(const FormFields& fields);

/// @brief The document's text; fills in the errors of each section.
/// @return the text, to be used only if `isSound` was set.
std::string toDocument(std::vector<FormSection>& sections, bool& isSound);

/// @brief One key of a kind of section, for its input field.
struct FormKey {
    std::string_view key;
    std::string_view fallback;
    std::string_view meaning;
};

/// @brief The keys of `pool`, `backend`, `trainer` or `limits`.
std::vector<FormKey> keysOf(std::string_view kind);

} // namespace topaztack::console
