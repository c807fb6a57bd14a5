#pragma once

#include <topaztack/base/ini.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Conversion between a configuration document and its HTML form, with each error attached to its field.

namespace topaztack::console {

/// @brief Names and values of a submitted form.
using FormFields = std::map<std::string, std::string>;

/// @brief Parses an `application/x-www-form-urlencoded` body; the last value of a repeated name wins.
FormFields parseForm(std::string_view body);

/// @brief One section of the document as shown in the form.
struct FormSection {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> values;
    /// Error messages by key; errors of the section itself are under the empty key.
    std::map<std::string, std::string> errors;
};

/// @brief Parses a document into form sections. Each kind but `limits` also gets an empty section, for adding one;
/// `limits` gets an empty one only if the document has none.
std::vector<FormSection> toFormSections(std::string_view text);

/// @brief Reads the sections of a submitted form, without those that are empty or marked for removal.
std::vector<FormSection> toFormSections(const FormFields& fields);

/// @brief Writes the sections as document text, validates it and adds the errors to the sections.
/// @return the text; it may be used only if `isValid` was set to true.
std::string buildDocument(std::vector<FormSection>& sections, bool& isValid);

/// @brief A key of a section kind, as shown by its input field.
struct FormKey {
    std::string_view key;
    std::string_view fallback;
    std::string_view meaning;
};

/// @brief Returns the keys of a section kind: `pool`, `backend`, `trainer` or `limits`.
std::vector<FormKey> formKeysOf(std::string_view kind);

} // namespace topaztack::console
