#include "node_client.hpp"

#include <topaztack/base/time.hpp>
#include <topaztack/wire/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace topaztack::cli {

namespace {

    using namespace std::chrono_literals;

    constexpr auto callTimeout = 15s;

    boost::asio::awaitable<void> callAndStore(
        HttpClient& client, Endpoint endpoint, HttpRequest request, std::optional<CallResult<HttpResponse>>& result)
    {
        auto response = co_await client.call(std::move(endpoint), std::move(request), Clock::now() + callTimeout);
        result.emplace(std::move(response));
    }

} // namespace

CallResult<HttpResponse> callNode(const Endpoint& endpoint, HttpRequest request, const std::string& token)
{
    if (!token.empty())
        request.headers.push_back({ "Authorization", "Bearer " + token });
    boost::asio::io_context loop;
    HttpClient client(loop);
    std::optional<CallResult<HttpResponse>> result;
    boost::asio::co_spawn(loop, callAndStore(client, endpoint, std::move(request), result), boost::asio::detached);
    loop.run();
    return std::move(*result);
}

CallResult<HttpResponse> callFirstReachable(const NodeAccess& access, const HttpRequest& request)
{
    CallFailure lastFailure { makeError(ErrorKind::BadRequest, "no --node given", "give a VM's operators' address"),
        AttemptProgress::NothingWritten };
    for (const auto& node : access.nodes) {
        const auto endpoint = parseEndpoint(node);
        if (!endpoint) {
            lastFailure.error = makeError(
                ErrorKind::BadRequest, "--node: `" + node + "` is not IP:PORT", "give a VM's operators' address");
            continue;
        }
        auto response = callNode(*endpoint, request, access.token);
        if (response || response.error().progress != AttemptProgress::NothingWritten)
            return response;
        lastFailure = response.error();
    }
    return lastFailure;
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream file(name);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << name << ":1: can't be read; check the name and its permissions\n";
        return std::nullopt;
    }
    return text.str();
}

std::optional<std::string> readOperatorToken(const std::string& fileName)
{
    if (fileName.empty()) {
        const auto* value = std::getenv("TOPAZTACK_TOKEN");
        return std::string(value ? value : "");
    }
    auto text = readFile(fileName);
    if (!text)
        return std::nullopt;
    std::istringstream words(*text);
    std::string token;
    for (std::string word; words >> word;)
        token = word;
    return token;
}

} // namespace topaztack::cli
