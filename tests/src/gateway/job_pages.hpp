#pragma once

#include "gateway/fixture.hpp"

/// @file
/// Helpers for tests of jobs: ids of items, fields of a page of results, and a gateway's metrics.

namespace topaztack::test {

inline std::vector<std::string> itemIds(int count)
{
    std::vector<std::string> items;
    items.reserve(static_cast<std::size_t>(count));
    for (int item = 0; item < count; ++item)
        items.push_back("i" + std::to_string(item));
    return items;
}

inline std::string idAt(const boost::json::object& page, std::size_t index)
{
    return boost::json::value_to<std::string>(page.at("results").as_array().at(index).at("id"));
}

inline std::string outputAt(const boost::json::object& page, std::size_t index)
{
    return boost::json::value_to<std::string>(page.at("results").as_array().at(index).at("output"));
}

inline std::uint64_t counterValue(TestEnvironment& env, const RunningGateway& gateway, const std::string& name)
{
    const auto text = "\n" + env.call(gateway.operators, "GET", "/metrics").body;
    const auto place = text.find("\n" + name + " ");
    return place == std::string::npos ? 0 : std::stoull(text.substr(place + name.size() + 2));
}

inline std::string stateAt(const boost::json::object& page, std::size_t index)
{
    return boost::json::value_to<std::string>(page.at("results").as_array().at(index).at("state"));
}

} // namespace topaztack::test
