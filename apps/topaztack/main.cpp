#include <topaztack/base/random.hpp>
#include <topaztack/control/document.hpp>
#include <topaztack/control/settings_page.hpp>
#include <topaztack/wire/http_client.hpp>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using namespace std::chrono_literals;

constexpr int exitRefused = 1;
constexpr int exitBadInput = 2;
constexpr auto callTimeout = 10s;

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

/// Checks a document; prints what is wrong with it.
bool isSound(const std::string& text, const std::string& fileName)
{
    std::vector<topaztack::IniProblem> problems;
    topaztack::parseDocument(text, fileName, problems);
    std::cerr << topaztack::toText(problems);
    return problems.empty();
}

int check(const std::string& fileName)
{
    const auto text = readFile(fileName);
    return text && isSound(*text, fileName) ? 0 : exitBadInput;
}

topaztack::CallResult<topaztack::HttpResponse> callNode(
    const topaztack::Endpoint& endpoint, topaztack::HttpRequest request)
{
    boost::asio::io_context loop;
    topaztack::HttpClient client(loop);
    std::optional<topaztack::CallResult<topaztack::HttpResponse>> result;
    const auto call = [&]() -> boost::asio::awaitable<void> {
        result.emplace(co_await client.call(endpoint, std::move(request), topaztack::Clock::now() + callTimeout));
    };
    boost::asio::co_spawn(loop, call(), boost::asio::detached);
    loop.run();
    return std::move(*result);
}

/// Prints the answer; the exit code tells whether the node agreed.
int callAndPrint(const std::string& node, topaztack::HttpRequest request)
{
    const auto endpoint = topaztack::parseEndpoint(node);
    if (!endpoint) {
        std::cerr << "--node: `" << node << "` is not IP:PORT; give a VM's operators' address\n";
        return exitBadInput;
    }
    const auto answer = callNode(*endpoint, std::move(request));
    if (!answer) {
        std::cerr << topaztack::toText(answer.error().error) << "\n";
        return exitRefused;
    }
    const bool isGood = answer.value().status < 300;
    (isGood ? std::cout : std::cerr) << answer.value().body << "\n";
    return isGood ? 0 : exitRefused;
}

int get(const std::string& node, const std::string& target)
{
    topaztack::HttpRequest request;
    request.target = target;
    return callAndPrint(node, std::move(request));
}

int accept(const std::string& fileName, const std::string& node, std::uint64_t base)
{
    const auto text = readFile(fileName);
    if (!text || !isSound(*text, fileName))
        return exitBadInput;
    topaztack::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/config";
    request.headers.push_back({ "If-Match", std::to_string(base) });
    request.headers.push_back({ "Topaztack-Operation", "cli." + topaztack::toHex(topaztack::systemSeed()) });
    request.body = *text;
    return callAndPrint(node, std::move(request));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("topaztack: the operators' command line.\n\nExamples:\n"
                 "  topaztack check rollout.ini\n"
                 "  topaztack accept rollout.ini --base 0 --node 127.0.0.1:17201\n"
                 "  topaztack status --node 127.0.0.1:17201");
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    std::string file;
    std::string node;
    std::uint64_t base = 0;

    auto* checkCommand = app.add_subcommand("check", "check a document; exit 0, or print what is wrong and exit 2");
    checkCommand->add_option("document", file, "INI file")->required();
    auto* acceptCommand = app.add_subcommand("accept", "have a document accepted on a base version");
    acceptCommand->add_option("document", file, "INI file")->required();
    acceptCommand->add_option("--base", base, "version that the document is based on; 0 for the first")->required();
    auto* showCommand = app.add_subcommand("show", "print the document in force at a VM");
    auto* statusCommand = app.add_subcommand("status", "print what is in force where");
    auto* dumpCommand = app.add_subcommand("dump", "print a VM's state");
    for (auto* command : { acceptCommand, showCommand, statusCommand, dumpCommand })
        command->add_option("--node", node, "IP:PORT of a VM's operators' port")->required();
    auto* pageCommand = app.add_subcommand("settings-page", "print docs/SETTINGS.md");
    CLI11_PARSE(app, argc, argv);

    if (pageCommand->parsed()) {
        std::cout << topaztack::settingsPage();
        return 0;
    }
    if (checkCommand->parsed())
        return check(file);
    if (acceptCommand->parsed())
        return accept(file, node, base);
    if (showCommand->parsed())
        return get(node, "/v1/config");
    if (statusCommand->parsed())
        return get(node, "/v1/config/status");
    return get(node, "/debug/state");
}
