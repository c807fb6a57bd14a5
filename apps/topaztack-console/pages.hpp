#pragma once

#include "form.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The console's pages as HTML, without script.

namespace topaztack::console {

/// @brief Escapes text for HTML content and quoted attributes.
std::string escape(std::string_view text);

/// @brief A whole page with the navigation.
std::string page(std::string_view title, std::string_view body);

std::string statusPage(const boost::json::value& status);
std::string vmsPage(const boost::json::value& status);
std::string trainersPage(std::string_view document, const boost::json::value& state);
std::string editPage(const std::vector<FormSection>& sections, std::uint64_t base, std::string_view antiForgery);

/// @brief A document on its way through the review.
struct Review {
    std::string text;
    std::string difference;
    std::uint64_t base { 0 };
    std::string operation;
};

std::string reviewPage(const Review& review, std::string_view antiForgery);

/// @brief What the node said of the acceptance, and, if that is unknown, the way to ask again.
std::string resultPage(std::string_view message, const Review& review, bool isUnknown, std::string_view antiForgery);

std::string loginPage(std::string_view antiForgery, std::string_view message);
std::string messagePage(std::string_view title, std::string_view message);

} // namespace topaztack::console
