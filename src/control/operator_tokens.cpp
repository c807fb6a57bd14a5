#include <topaztack/control/operator_tokens.hpp>

#include <algorithm>
#include <sstream>

namespace topaztack {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::size_t minTokenLength = 16;

    std::vector<std::string> splitWords(const std::string& line)
    {
        std::istringstream stream(line);
        std::vector<std::string> words;
        for (std::string word; stream >> word;)
            words.push_back(word);
        return words;
    }

    std::optional<OperatorToken> parseToken(const std::vector<std::string>& words)
    {
        if (words.size() == 1)
            return OperatorToken { OperatorRole::Operate, "operator", words[0] };
        if (words.size() != 3 || (words[0] != "read" && words[0] != "operate"))
            return std::nullopt;
        return OperatorToken { words[0] == "read" ? OperatorRole::Read : OperatorRole::Operate, words[1], words[2] };
    }

} // namespace

Result<std::vector<OperatorToken>> parseOperatorTokens(std::string_view text, std::string_view fileName)
{
    std::vector<OperatorToken> tokens;
    std::istringstream lines { std::string(text) };
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        const auto words = splitWords(line);
        if (words.empty() || words[0].starts_with('#'))
            continue;
        auto token = parseToken(words);
        if (!token || token->secret.size() < minTokenLength)
            return makeError(ErrorKind::BadSettings,
                std::string(fileName) + ":" + std::to_string(lineNumber)
                    + ": operator_token: expected a token of at least " + std::to_string(minTokenLength)
                    + " characters",
                "write `read NAME TOKEN` or `operate NAME TOKEN`");
        tokens.push_back(std::move(*token));
    }
    if (tokens.empty())
        return makeError(ErrorKind::BadSettings, std::string(fileName) + ":1: operator_token: file contains no token",
            "write `operate NAME TOKEN`");
    return tokens;
}

bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    const auto length = std::max(left.size(), right.size());
    // `volatile` prevents the compiler from leaving the loop early.
    volatile unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < length; ++index) {
        const auto leftByte = static_cast<unsigned char>(index < left.size() ? left[index] : 0);
        const auto rightByte = static_cast<unsigned char>(index < right.size() ? right[index] : 0);
        difference = difference | static_cast<unsigned>(leftByte ^ rightByte);
    }
    return difference == 0;
}

std::optional<OperatorIdentity> findOperator(const std::vector<OperatorToken>& tokens, std::string_view authorization)
{
    const auto isBearer = authorization.starts_with(bearerPrefix);
    const auto receivedToken = isBearer ? authorization.substr(bearerPrefix.size()) : std::string_view {};
    std::optional<OperatorIdentity> found;
    for (const auto& token : tokens) {
        if (equalsInConstantTime(token.secret, receivedToken))
            found = OperatorIdentity { token.role, token.name };
    }
    return found;
}

bool isUnauthenticatedPath(std::string_view path) { return path == "/healthz" || path == "/readyz"; }

bool mayCall(OperatorRole role, std::string_view method)
{
    return role == OperatorRole::Operate || method == "GET" || method == "HEAD";
}

} // namespace topaztack
