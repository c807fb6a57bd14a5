#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Fault switches: plain structs set by a table of rules, from start options and from `POST /standin/faults`.

namespace topaztack::standin {

/// @brief How one switch of a struct of type `Target` is set; `assign` throws on a value that it can't take.
template <typename Target> struct FaultRule {
    std::string_view name;
    void (*assign)(Target&, const boost::json::value&);
};

/// @brief Sets the switches named in an object. Unknown names and wrong values are errors; then nothing is changed.
template <typename Target>
Result<void> applyFaults(const boost::json::value& request, const std::vector<FaultRule<Target>>& rules, Target& target)
{
    Target changed = target;
    try {
        for (const auto& [name, value] : request.as_object()) {
            bool isKnown = false;
            for (const auto& rule : rules) {
                if (rule.name != std::string_view(name.data(), name.size()))
                    continue;
                rule.assign(changed, value);
                isKnown = true;
            }
            if (!isKnown)
                return makeError(
                    ErrorKind::BadRequest, "unknown fault `" + std::string(name) + "`", "see topaztack-standin --help");
        }
    } catch (const std::exception& problem) {
        return makeError(ErrorKind::BadRequest, std::string("faults not understood: ") + problem.what(),
            "send an object of fault names and values");
    }
    target = std::move(changed);
    return boost::outcome_v2::success();
}

/// @brief Reads start options `NAME=VALUE`, where the value is JSON or else a text, into one object.
boost::json::object parseFaultOptions(const std::vector<std::string>& options);

/// @name Values of fault rules
/// @{
std::uint64_t wholeValue(const boost::json::value& value);
double fractionValue(const boost::json::value& value);
std::chrono::milliseconds millisecondsValue(const boost::json::value& value);
/// @}

/// @brief A fault that strikes the next `next` times, and beyond that with a probability.
struct FaultChance {
    std::uint64_t next { 0 };
    double probability { 0 };

    /// @brief Whether it strikes now; one of `next` is used up.
    bool strikes(Random& random);
};

/// @brief Admits a number of calls a second; the allowance of one second may be used at once.
class CallRate {
public:
    /// @param perSecond 0 for no limit.
    bool admits(double perSecond, TimePoint now);

private:
    double allowance { 0 };
    double rate { 0 };
    TimePoint last {};
};

} // namespace topaztack::standin
