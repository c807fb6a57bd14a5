#include <topaztack/policy/outcome.hpp>

namespace topaztack {

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

std::optional<Outcome> parseOutcome(std::string_view text)
{
    if (text == "ran")
        return Outcome::Ran;
    if (text == "not-run")
        return Outcome::NotRun;
    if (text == "unknown")
        return Outcome::Unknown;
    return std::nullopt;
}

} // namespace topaztack
