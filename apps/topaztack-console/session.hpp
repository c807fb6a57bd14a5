#pragma once

#include "form.hpp"

#include <topaztack/wire/http.hpp>

#include <string>

/// @file
/// Cookies and the protection against cross-site request forgery (CSRF).

namespace topaztack::console {

inline constexpr std::string_view csrfFieldName = "anti_forgery";
inline constexpr std::string_view csrfCookieName = "topaztack_form";
inline constexpr std::string_view tokenCookieName = "topaztack_token";

/// @brief Returns the value of a cookie; empty if the request does not carry it.
std::string findCookie(const HttpRequest& request, std::string_view name);

/// @brief Returns the CSRF token of the request's cookie, or a new random one if the cookie is missing or malformed.
std::string csrfTokenFor(const HttpRequest& request);

/// @brief Whether a form was sent from a page of this console: its CSRF field equals the CSRF cookie, which other sites
/// cannot read, and the `Origin` header, if present, matches `Host`.
bool passesCsrfCheck(const HttpRequest& request, const FormFields& fields);

/// @brief Makes an HTML response that sets the CSRF cookie and whose Content-Security-Policy forbids scripts and
/// framing.
HttpResponse htmlResponse(unsigned status, std::string html, const std::string& csrfToken);

/// @brief Adds a cookie that scripts cannot read (`HttpOnly`) and that requests from other sites do not carry
/// (`SameSite=Strict`).
void setCookie(HttpResponse& response, std::string_view name, const std::string& value);

} // namespace topaztack::console
