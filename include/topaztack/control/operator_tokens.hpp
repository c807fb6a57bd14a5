#pragma once

#include <topaztack/base/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Authentication and authorisation on the operators' port.

namespace topaztack {

/// @brief What an operator is allowed to do.
enum class OperatorRole : std::uint8_t {
    /// May read everything.
    Read,
    /// May also change the configuration and drain VMs.
    Operate,
};

/// @brief One token of the token file.
struct OperatorToken {
    OperatorRole role { OperatorRole::Operate };
    /// Written to the audit log.
    std::string name;
    std::string secret;
};

/// @brief The operator who sent a request.
struct OperatorIdentity {
    OperatorRole role { OperatorRole::Read };
    std::string name;
};

/// @brief Parses a token file. Each line is `ROLE NAME TOKEN`, where ROLE is `read` or `operate`, or a single token,
/// which has the role `operate`. Empty lines and lines that begin with `#` are ignored.
/// @return BadSettings with the number of the invalid line; a token has at least 16 characters.
Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text, std::string_view fileName);

/// @brief Compares two strings in a time that depends only on their lengths.
bool equalsInConstantTime(std::string_view left, std::string_view right);

/// @brief The operator whose bearer token an `Authorization` header contains. Always compares all tokens, so that the
/// time does not reveal which one matched.
std::optional<OperatorIdentity> findOperator(const std::vector<OperatorToken>& tokens, std::string_view authorization);

/// @brief Whether requests to a path need no token: liveness and readiness probes.
bool isUnauthenticatedPath(std::string_view path);

/// @brief Whether a role permits a method: GET and HEAD need Read, all others Operate.
bool mayCall(OperatorRole role, std::string_view method);

} // namespace topaztack
