#include "commands.hpp"

#include <topaztack/base/ini.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/control/document.hpp>
#include <topaztack/control/document_diff.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace topaztack::cli {

namespace json = boost::json;

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned statusConflict = 409;
    constexpr unsigned firstBadStatus = 300;
    constexpr int findOutTries = 10;
    constexpr auto findOutPause = 500ms;

    bool isSound(const std::string& text, const std::string& fileName)
    {
        std::vector<IniProblem> problems;
        parseDocument(text, fileName, problems);
        std::cerr << toText(problems);
        return problems.empty();
    }

    HttpRequest get(std::string target)
    {
        HttpRequest request;
        request.target = std::move(target);
        return request;
    }

    bool isGood(const CallResult<HttpResponse>& answer) { return answer && answer.value().status < firstBadStatus; }

    /// Prints an error of the node as `kind: message; remedy`.
    void printFailure(const CallResult<HttpResponse>& answer)
    {
        if (!answer) {
            std::cerr << toText(answer.error().error) << "\n";
            return;
        }
        try {
            const auto error = json::parse(answer.value().body).at("error");
            std::cerr << error.at("kind").as_string().c_str() << ": " << error.at("message").as_string().c_str() << "; "
                      << error.at("remedy").as_string().c_str() << "\n";
        } catch (const std::exception&) {
            std::cerr << "status " << answer.value().status << ": " << answer.value().body << "\n";
        }
    }

    int printAnswer(const CallResult<HttpResponse>& answer)
    {
        if (!isGood(answer)) {
            printFailure(answer);
            return exitRefused;
        }
        std::cout << answer.value().body;
        if (!answer.value().body.ends_with('\n'))
            std::cout << "\n";
        return exitGood;
    }

    std::string textField(const std::string& body, std::string_view key)
    {
        try {
            return json::value_to<std::string>(json::parse(body).at(key));
        } catch (const std::exception&) {
            return {};
        }
    }

    /// What any node can prove of an operation: `accepted`, `not-accepted`, or `unknown`.
    std::string askState(const Access& access, const AcceptOptions& options)
    {
        const auto target = "/v1/config/operations/" + options.operation + "?base=" + std::to_string(options.base);
        for (const auto& node : access.nodes) {
            const auto answer = callFirst({ { node }, access.token }, get(target));
            auto state = isGood(answer) ? textField(answer.value().body, "state") : std::string {};
            if (state == "accepted" || state == "not-accepted")
                return state;
        }
        return "unknown";
    }

    /// The answer was lost or said unknown: nothing is guessed.
    int findOut(const Access& access, const AcceptOptions& options)
    {
        std::cerr << "the answer was lost; asking what became of operation " << options.operation << "\n";
        for (int attempt = 0; attempt < findOutTries; ++attempt) {
            const auto state = askState(access, options);
            if (state == "accepted") {
                std::cout << "accepted as version " << options.base + 1 << "\n";
                return exitGood;
            }
            if (state == "not-accepted") {
                std::cerr << "not accepted: another operator made version " << options.base + 1
                          << "; look at it with `topaztack show` and merge\n";
                return exitRefused;
            }
            std::this_thread::sleep_for(findOutPause);
        }
        std::cerr << "unknown: it can't be found out now whether version " << options.base + 1
                  << " is this document; run the same command with --operation " << options.operation
                  << " once the platform answers\n";
        return exitUnknown;
    }

    void printChanged(const std::string& body)
    {
        try {
            const auto answer = json::parse(body);
            for (const auto& change : answer.at("changed").as_array()) {
                const auto& entry = change.as_object();
                const auto value = [&](const char* key) {
                    const auto* found = entry.if_contains(key);
                    return found ? std::string(found->as_string()) : std::string("(absent)");
                };
                std::cerr << "  [" << value("section") << "] " << value("key") << ": " << value("before") << " -> "
                          << value("after") << "\n";
            }
        } catch (const std::exception&) {
            std::cerr << body << "\n";
        }
    }

    bool isNumber(const std::string& text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    /// The text of a file, an accepted version, or the document in force if the name is empty.
    std::optional<std::string> loadDocument(const Access& access, const std::string& name)
    {
        if (!name.empty() && !isNumber(name))
            return readFile(name);
        const auto answer = callFirst(access, get(name.empty() ? "/v1/config" : "/v1/config/versions/" + name));
        if (isGood(answer))
            return answer.value().body;
        printFailure(answer);
        return std::nullopt;
    }

    void printStatus(const json::value& status)
    {
        std::cout << "accepted: version " << status.at("accepted").to_number<std::uint64_t>() << " (from "
                  << status.at("accepted_from").as_string().c_str() << ")\n"
                  << "in force on every VM that is known: "
                  << (status.at("in_force_everywhere").as_bool() ? "yes" : "no") << "\n";
        for (const auto& group : status.at("data_centres").as_array()) {
            std::cout << group.at("name").as_string().c_str() << ": in force on "
                      << group.at("in_force").to_number<std::uint64_t>() << " of "
                      << group.at("of").to_number<std::uint64_t>() << " VMs\n";
            for (const auto& vm : group.at("vms").as_array()) {
                std::cout << "  " << vm.at("vm").as_string().c_str() << "  ";
                if (vm.at("reachable").as_bool())
                    std::cout << "version " << vm.at("in_force").to_number<std::uint64_t>() << "\n";
                else
                    std::cout << "unreachable (believed " << vm.at("state").as_string().c_str() << ")\n";
            }
        }
    }

} // namespace

int check(const std::string& fileName)
{
    const auto text = readFile(fileName);
    return text && isSound(*text, fileName) ? exitGood : exitBadInput;
}

int acceptFile(const Access& access, const std::string& fileName, AcceptOptions options)
{
    auto text = readFile(fileName);
    if (!text || !isSound(*text, fileName))
        return exitBadInput;
    options.text = std::move(*text);
    return accept(access, std::move(options));
}

int accept(const Access& access, AcceptOptions options)
{
    if (options.operation.empty())
        options.operation = "cli." + toHex(systemSeed());
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/config";
    request.headers.push_back({ "If-Match", std::to_string(options.base) });
    request.headers.push_back({ "Topaztack-Operation", options.operation });
    request.headers.push_back({ "Topaztack-Author", options.author });
    request.body = options.text;
    const auto answer = callFirst(access, request);
    if (isGood(answer))
        return printAnswer(answer);
    const bool isLost = !answer && answer.error().progress != AttemptProgress::NothingWritten;
    if (isLost || (answer && textField(answer.value().body, "state") == "unknown"))
        return findOut(access, options);
    printFailure(answer);
    if (answer && answer.value().status == statusConflict)
        printChanged(answer.value().body);
    return exitRefused;
}

int revert(const Access& access, std::uint64_t to, AcceptOptions options)
{
    auto text = loadDocument(access, std::to_string(to));
    if (!text)
        return exitRefused;
    if (!isSound(*text, "version " + std::to_string(to)))
        return exitBadInput;
    options.text = std::move(*text);
    return accept(access, std::move(options));
}

int diff(const Access& access, const std::string& left, const std::string& right)
{
    const auto before = loadDocument(access, right.empty() ? right : left);
    const auto after = loadDocument(access, right.empty() ? left : right);
    if (!before || !after)
        return exitRefused;
    std::cout << toText(diffDocuments(*before, *after));
    return exitGood;
}

int show(const Access& access, const std::string& version)
{
    return printAnswer(callFirst(access, get(version.empty() ? "/v1/config" : "/v1/config/versions/" + version)));
}

int history(const Access& access) { return printAnswer(callFirst(access, get("/v1/config/history"))); }

int status(const Access& access, bool isJson)
{
    const auto answer = callFirst(access, get("/v1/config/status"));
    if (isJson || !isGood(answer))
        return printAnswer(answer);
    try {
        printStatus(json::parse(answer.value().body));
    } catch (const std::exception& problem) {
        std::cerr << "answer not understood: " << problem.what() << "\n";
        return exitRefused;
    }
    return exitGood;
}

int dump(const Access& access) { return printAnswer(callFirst(access, get("/debug/state"))); }

int drain(const Access& access)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/drain";
    return printAnswer(callFirst(access, request));
}

} // namespace topaztack::cli
