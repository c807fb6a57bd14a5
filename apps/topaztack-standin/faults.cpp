#include "faults.hpp"

#include <algorithm>
#include <stdexcept>

namespace topaztack::standin {

namespace json = boost::json;

json::object parseFaultOptions(const std::vector<std::string>& options)
{
    json::object faults;
    for (const auto& option : options) {
        const auto equals = option.find('=');
        const auto text = equals == std::string::npos ? std::string("true") : option.substr(equals + 1);
        boost::system::error_code problem;
        auto value = json::parse(text, problem);
        if (problem)
            value = text;
        faults[option.substr(0, equals)] = std::move(value);
    }
    return faults;
}

std::uint64_t wholeValue(const json::value& value) { return value.to_number<std::uint64_t>(); }

double fractionValue(const json::value& value)
{
    const auto fraction = value.to_number<double>();
    if (fraction < 0 || fraction > 1)
        throw std::invalid_argument("a probability lies in 0..1");
    return fraction;
}

std::chrono::milliseconds millisecondsValue(const json::value& value)
{
    return std::chrono::milliseconds(wholeValue(value));
}

bool FaultChance::strikes(Random& random)
{
    if (this->next > 0) {
        --this->next;
        return true;
    }
    return this->probability > 0 && random.unit() < this->probability;
}

bool CallRate::admits(double perSecond, TimePoint now)
{
    if (perSecond <= 0)
        return true;
    if (this->rate != perSecond) {
        this->rate = perSecond;
        this->allowance = perSecond;
    } else {
        const std::chrono::duration<double> passed = now - this->last;
        this->allowance = std::min(perSecond, this->allowance + passed.count() * perSecond);
    }
    this->last = now;
    if (this->allowance < 1)
        return false;
    this->allowance -= 1;
    return true;
}

} // namespace topaztack::standin
