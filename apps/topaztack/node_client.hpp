#pragma once

#include <topaztack/wire/http.hpp>

#include <optional>
#include <string>
#include <vector>

/// @file
/// Calls to the operators' ports of VMs, one at a time.

namespace topaztack::cli {

/// @brief Where to call and with which token.
struct Access {
    /// IP:PORT of operators' ports; the first that can be reached answers.
    std::vector<std::string> nodes;
    /// Empty for none.
    std::string token;
};

/// @brief Sends a request to one VM and waits for the whole answer.
CallResult<HttpResponse> callNode(const Endpoint& endpoint, HttpRequest request, const std::string& token);

/// @brief Sends a request to the first VM that takes a connection; the rest are tried only while nothing was written.
CallResult<HttpResponse> callFirst(const Access& access, const HttpRequest& request);

/// @brief The token of the file, or of the environment variable TOPAZTACK_TOKEN if no file is named.
std::optional<std::string> readOperatorToken(const std::string& fileName);

/// @brief Reads a whole file; prints what is wrong if it can't.
std::optional<std::string> readFile(const std::string& name);

} // namespace topaztack::cli
