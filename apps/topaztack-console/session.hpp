#pragma once

#include "form.hpp"

#include <topaztack/wire/http.hpp>

#include <string>

/// @file
/// Cookies, and the check that a form was sent from a page of this console.

namespace topaztack::console {

inline constexpr std::string_view antiForgeryField = "anti_forgery";
inline constexpr std::string_view antiForgeryCookie = "topaztack_form";
inline constexpr std::string_view tokenCookie = "topaztack_token";

/// @brief The value of a cookie; empty if there is none.
std::string findCookie(const HttpRequest& request, std::string_view name);

/// @brief The browser's secret for its forms: that of its cookie, or a fresh one.
std::string antiForgeryOf(const HttpRequest& request);

/// @brief Whether a form's field repeats the cookie, which no other site can read, and the Origin, if the browser
/// sent one, is this console's.
bool isOwnForm(const HttpRequest& request, const FormFields& fields);

/// @brief An HTML answer that sets the browser's secret and forbids frames and scripts.
HttpResponse htmlResponse(unsigned status, std::string html, const std::string& antiForgery);

/// @brief Adds a cookie that scripts and other sites do not get.
void setCookie(HttpResponse& response, std::string_view name, const std::string& value);

} // namespace topaztack::console
