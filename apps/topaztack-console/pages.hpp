#pragma once

#include "form.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The console's HTML pages. They contain no scripts.

namespace topaztack::console {

/// @brief Escapes text for HTML content and quoted attribute values.
std::string escapeHtml(std::string_view text);

/// @brief Renders a complete page with the navigation bar around `body`, which is HTML.
std::string renderPage(std::string_view title, std::string_view body);

std::string statusPage(const boost::json::value& status);
std::string vmsPage(const boost::json::value& status);
std::string trainersPage(std::string_view document, const boost::json::value& state);
std::string editPage(const std::vector<FormSection>& sections, std::uint64_t base, std::string_view csrfToken);

/// @brief A document that the operator reviews before it is sent for acceptance.
struct Review {
    std::string text;
    std::string difference;
    std::uint64_t base { 0 };
    std::string operation;
};

std::string reviewPage(const Review& review, std::string_view csrfToken);

/// @brief Renders the result of an accept request. If `isUnknown`, the page has a form that sends the same operation
/// again.
std::string resultPage(std::string_view message, const Review& review, bool isUnknown, std::string_view csrfToken);

std::string loginPage(std::string_view csrfToken, std::string_view message);
std::string messagePage(std::string_view title, std::string_view message);

} // namespace topaztack::console
