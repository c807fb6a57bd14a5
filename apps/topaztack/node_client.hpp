#pragma once

#include <topaztack/wire/http.hpp>

#include <optional>
#include <string>
#include <vector>

/// @file
/// Blocking calls to the operators' ports of VMs.

namespace topaztack::cli {

/// @brief The nodes to call and the operator token to send.
struct NodeAccess {
    /// IP:PORT of operators' ports; the first that can be reached is used.
    std::vector<std::string> nodes;
    /// Empty to send none.
    std::string token;
};

/// @brief Sends a request to one VM and waits for the whole response.
CallResult<HttpResponse> callNode(const Endpoint& endpoint, HttpRequest request, const std::string& token);

/// @brief Sends a request to the first VM that can be reached. The next one is tried only if no byte of the request was
/// written.
CallResult<HttpResponse> callFirstReachable(const NodeAccess& access, const HttpRequest& request);

/// @brief Returns the last word of the file as the operator token, or the environment variable TOPAZTACK_TOKEN if the
/// file name is empty.
/// @return the token, empty if there is none; nothing if the file can't be read.
std::optional<std::string> readOperatorToken(const std::string& fileName);

/// @brief Reads a whole file; prints an error and returns nothing if it can't.
std::optional<std::string> readFile(const std::string& name);

} // namespace topaztack::cli
