#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/base/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// HTTP messages as plain structs, apart from the library that carries them.

namespace topaztack {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method { "GET" };
    std::string target { "/" };
    std::vector<HttpHeader> headers;
    std::string body;
    /// Of a request to be sent: the body in place of `body`, without a copy. Its owner outlives the call.
    std::string_view borrowedBody;
};

struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;
};

/// @brief The body that is sent: the request's own, or the borrowed one if it has none.
std::string_view bodyToSend(const HttpRequest& request);

/// @brief The value of the first header of that name (case ignored); empty if there is none.
std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name);

/// @brief Whether a header concerns one connection only, its framing included.
bool isConnectionHeader(std::string_view name);

/// @brief The part of a target before `?`.
std::string_view targetPath(std::string_view target);

/// @brief The value of a query parameter, percent-decoded; empty if there is none.
std::string queryParameter(std::string_view target, std::string_view name);

/// @brief A JSON answer.
HttpResponse jsonResponse(unsigned status, std::string body);

/// @brief The JSON answer for an error: `{"error": {"kind", "id", "message", "remedy"}}`.
HttpResponse errorResponse(const Error& error, std::string_view requestId = {});

/// @brief The HTTP status by which an error kind is answered.
unsigned httpStatus(ErrorKind kind);

/// @brief How far an attempt got before it failed: what proves that a backend server did not run it.
enum class AttemptProgress : std::uint8_t {
    /// No byte of the request was written to a connection.
    NothingWritten,
    /// Some bytes may have reached the backend server; no whole answer came back.
    Written,
};

/// @brief Why a call failed, and how far it had got.
struct CallFailure {
    Error error;
    AttemptProgress progress { AttemptProgress::Written };
};

template <typename T>
using CallResult = boost::outcome_v2::basic_result<T, CallFailure, boost::outcome_v2::policy::terminate>;

} // namespace topaztack
