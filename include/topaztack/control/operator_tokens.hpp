#pragma once

#include <topaztack/base/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Who may do what on the operators' port.

namespace topaztack {

enum class OperatorRole : std::uint8_t {
    /// Sees everything.
    Read,
    /// Also changes configuration and drains VMs.
    Operate,
};

/// @brief One token of the token file.
struct OperatorToken {
    OperatorRole role { OperatorRole::Operate };
    /// Stands in the audit log.
    std::string name;
    std::string secret;
};

/// @brief Who a request comes from.
struct OperatorIdentity {
    OperatorRole role { OperatorRole::Read };
    std::string name;
};

/// @brief Reads a token file: a line `ROLE NAME TOKEN` each (ROLE is read or operate), or one bare token, which may
/// operate. Empty lines and those that begin with `#` are passed over.
/// @return BadSettings with the line that is wrong; a token has at least 16 characters.
Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text, std::string_view fileName);

/// @brief Compares in a time that depends on the lengths only.
bool equalsInConstantTime(std::string_view left, std::string_view right);

/// @brief The operator whose token an `Authorization` header carries. Every token is compared, found or not.
std::optional<OperatorIdentity> findOperator(const std::vector<OperatorToken>& tokens, std::string_view authorization);

/// @brief Whether a request needs no token: probes of life.
bool isUnauthenticatedPath(std::string_view path);

/// @brief Whether a role may send a request: reading calls need Read, all others Operate.
bool mayCall(OperatorRole role, std::string_view method);

} // namespace topaztack
