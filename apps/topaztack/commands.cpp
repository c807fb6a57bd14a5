#include "commands.hpp"

#include <platform/records.hpp>
#include <topaztack/base/ini.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/control/config_check.hpp>
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
    constexpr unsigned firstNonSuccessStatus = 300;
    constexpr int maxStateQueries = 10;
    constexpr auto stateQueryInterval = 500ms;

    /// Validates a document and prints its problems.
    bool checkDocument(const std::string& text, const std::string& fileName)
    {
        std::vector<IniProblem> problems;
        parseDocument(text, fileName, problems);
        std::cerr << toText(problems);
        return problems.empty();
    }

    struct CheckReport {
        std::vector<ConfigFinding> findings;
        /// Differences from the configuration in force.
        std::vector<DocumentChange> changes;
    };

    bool isPlatformConfiguration(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        return first != std::string_view::npos && text[first] == '{';
    }

    /// @return nothing if the file to compare with can't be read as a configuration.
    std::optional<CheckReport> checkPlatformConfiguration(const std::string& text, const std::string& fileName,
        const std::string& inForceText, const std::string& inForceName)
    {
        CheckReport report;
        const auto table = platform::decodeConfiguration(text);
        if (!table) {
            report.findings.push_back(
                { FindingSeverity::Error, fileName, table.error().message, "correct the configuration" });
            return report;
        }
        report.findings = checkRouteTable(*table.value());
        if (!inForceName.empty()) {
            const auto inForce = platform::decodeConfiguration(inForceText);
            if (!inForce) {
                std::cerr << inForceName << ": " << inForce.error().message << "\n";
                return std::nullopt;
            }
            for (auto& finding : checkReplacement(*inForce.value(), *table.value()))
                report.findings.push_back(std::move(finding));
            report.changes = diffRouteTables(*inForce.value(), *table.value());
        }
        for (auto& finding : report.findings)
            finding.where = fileName + ": " + finding.where;
        return report;
    }

    std::optional<CheckReport> checkNodeDocument(const std::string& text, const std::string& fileName,
        const std::string& inForceText, const std::string& inForceName)
    {
        CheckReport report;
        report.findings = topaztack::checkDocument(text, fileName);
        if (inForceName.empty())
            return report;
        std::vector<IniProblem> problems;
        parseIni(inForceText, inForceName, problems);
        if (!problems.empty()) {
            std::cerr << toText(problems);
            return std::nullopt;
        }
        report.changes = diffDocuments(inForceText, text);
        return report;
    }

    json::value toJson(const CheckReport& report)
    {
        json::array findings;
        for (const auto& finding : report.findings)
            findings.push_back(
                json::object { { "severity", finding.severity == FindingSeverity::Error ? "error" : "warning" },
                    { "where", finding.where }, { "what", finding.what }, { "remedy", finding.remedy } });
        json::array changes;
        for (const auto& change : report.changes)
            changes.push_back(json::object { { "section", change.section }, { "key", change.key },
                { "before", change.wasPresent ? json::value(change.before) : json::value() },
                { "after", change.isPresent ? json::value(change.after) : json::value() } });
        return json::object { { "findings", std::move(findings) }, { "changes", std::move(changes) } };
    }

    HttpRequest makeGetRequest(std::string target)
    {
        HttpRequest request;
        request.target = std::move(target);
        return request;
    }

    bool isSuccess(const CallResult<HttpResponse>& response)
    {
        return response && response.value().status < firstNonSuccessStatus;
    }

    /// Prints the error of a failed call as `kind: message; remedy`.
    void printError(const CallResult<HttpResponse>& response)
    {
        if (!response) {
            std::cerr << toText(response.error().error) << "\n";
            return;
        }
        try {
            const auto error = json::parse(response.value().body).at("error");
            std::cerr << error.at("kind").as_string().c_str() << ": " << error.at("message").as_string().c_str() << "; "
                      << error.at("remedy").as_string().c_str() << "\n";
        } catch (const std::exception&) {
            std::cerr << "HTTP status " << response.value().status << ": " << response.value().body << "\n";
        }
    }

    int printResponse(const CallResult<HttpResponse>& response)
    {
        if (!isSuccess(response)) {
            printError(response);
            return exitRefused;
        }
        std::cout << response.value().body;
        if (!response.value().body.ends_with('\n'))
            std::cout << "\n";
        return exitSuccess;
    }

    std::string stringField(const std::string& body, std::string_view key)
    {
        try {
            return json::value_to<std::string>(json::parse(body).at(key));
        } catch (const std::exception&) {
            return {};
        }
    }

    /// Asks each node for the state of an operation: `accepted` or `not-accepted` if any node can prove it, else
    /// `unknown`.
    std::string queryOperationState(const NodeAccess& access, const AcceptOptions& options)
    {
        const auto target = "/v1/config/operations/" + options.operation + "?base=" + std::to_string(options.base);
        for (const auto& node : access.nodes) {
            const auto response = callFirstReachable({ { node }, access.token }, makeGetRequest(target));
            auto state = isSuccess(response) ? stringField(response.value().body, "state") : std::string {};
            if (state == "accepted" || state == "not-accepted")
                return state;
        }
        return "unknown";
    }

    /// Polls for the outcome of an operation whose response was lost or `unknown`; reports it as unknown if no node
    /// can prove it after `maxStateQueries` rounds.
    int resolveOutcome(const NodeAccess& access, const AcceptOptions& options)
    {
        std::cerr << "outcome not known; asking the nodes for the state of operation " << options.operation << "\n";
        for (int attempt = 0; attempt < maxStateQueries; ++attempt) {
            const auto state = queryOperationState(access, options);
            if (state == "accepted") {
                std::cout << "accepted as version " << options.base + 1 << "\n";
                return exitSuccess;
            }
            if (state == "not-accepted") {
                std::cerr << "not accepted: another operator created version " << options.base + 1
                          << "; read it with `topaztack show`, merge the changes and accept again\n";
                return exitRefused;
            }
            std::this_thread::sleep_for(stateQueryInterval);
        }
        std::cerr << "unknown: it could not be determined whether version " << options.base + 1
                  << " is this document; run the same command with --operation " << options.operation
                  << " once the platform answers\n";
        return exitUnknown;
    }

    void printConflictingChanges(const std::string& body)
    {
        try {
            const auto response = json::parse(body);
            for (const auto& change : response.at("changed").as_array()) {
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

    bool isVersionNumber(const std::string& text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    /// Loads a document: an accepted version if `name` is a number, the document in force if it is empty, else a file.
    std::optional<std::string> loadDocument(const NodeAccess& access, const std::string& name)
    {
        if (!name.empty() && !isVersionNumber(name))
            return readFile(name);
        const auto response
            = callFirstReachable(access, makeGetRequest(name.empty() ? "/v1/config" : "/v1/config/versions/" + name));
        if (isSuccess(response))
            return response.value().body;
        printError(response);
        return std::nullopt;
    }

    void printStatus(const json::value& status)
    {
        std::cout << "accepted: version " << status.at("accepted").to_number<std::uint64_t>() << " (from "
                  << status.at("accepted_from").as_string().c_str() << ")\n"
                  << "in force on every VM that is known: "
                  << (status.at("in_force_everywhere").as_bool() ? "yes" : "no") << "\n";
        for (const auto& dataCentre : status.at("data_centres").as_array()) {
            std::cout << dataCentre.at("name").as_string().c_str() << ": in force on "
                      << dataCentre.at("in_force").to_number<std::uint64_t>() << " of "
                      << dataCentre.at("of").to_number<std::uint64_t>() << " VMs\n";
            for (const auto& vm : dataCentre.at("vms").as_array()) {
                std::cout << "  " << vm.at("vm").as_string().c_str() << "  ";
                if (vm.at("reachable").as_bool())
                    std::cout << "version " << vm.at("in_force").to_number<std::uint64_t>() << "\n";
                else
                    std::cout << "unreachable (believed " << vm.at("state").as_string().c_str() << ")\n";
            }
        }
    }

} // namespace

int check(const std::string& fileName, const std::string& against, bool isJson)
{
    const auto text = readFile(fileName);
    const auto inForce = against.empty() ? std::optional<std::string>("") : readFile(against);
    if (!text || !inForce)
        return exitBadInput;
    const auto report = isPlatformConfiguration(*text) ? checkPlatformConfiguration(*text, fileName, *inForce, against)
                                                       : checkNodeDocument(*text, fileName, *inForce, against);
    if (!report)
        return exitBadInput;
    if (isJson) {
        std::cout << json::serialize(toJson(*report)) << "\n";
    } else {
        for (const auto& finding : report->findings)
            std::cerr << toText(finding) << "\n";
        std::cout << toText(report->changes);
    }
    return report->findings.empty() ? exitSuccess : exitFindings;
}

int acceptFile(const NodeAccess& access, const std::string& fileName, AcceptOptions options)
{
    auto text = readFile(fileName);
    if (!text || !checkDocument(*text, fileName))
        return exitBadInput;
    options.text = std::move(*text);
    return accept(access, std::move(options));
}

int accept(const NodeAccess& access, AcceptOptions options)
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
    const auto response = callFirstReachable(access, request);
    if (isSuccess(response))
        return printResponse(response);
    const bool isResponseLost = !response && response.error().progress != AttemptProgress::NothingWritten;
    if (isResponseLost || (response && stringField(response.value().body, "state") == "unknown"))
        return resolveOutcome(access, options);
    printError(response);
    if (response && response.value().status == statusConflict)
        printConflictingChanges(response.value().body);
    return exitRefused;
}

int revert(const NodeAccess& access, std::uint64_t revertVersion, AcceptOptions options)
{
    auto text = loadDocument(access, std::to_string(revertVersion));
    if (!text)
        return exitRefused;
    if (!checkDocument(*text, "version " + std::to_string(revertVersion)))
        return exitBadInput;
    options.text = std::move(*text);
    return accept(access, std::move(options));
}

int diff(const NodeAccess& access, const std::string& left, const std::string& right)
{
    const auto before = loadDocument(access, right.empty() ? right : left);
    const auto after = loadDocument(access, right.empty() ? left : right);
    if (!before || !after)
        return exitRefused;
    std::cout << toText(diffDocuments(*before, *after));
    return exitSuccess;
}

int show(const NodeAccess& access, const std::string& version)
{
    return printResponse(
        callFirstReachable(access, makeGetRequest(version.empty() ? "/v1/config" : "/v1/config/versions/" + version)));
}

int history(const NodeAccess& access)
{
    return printResponse(callFirstReachable(access, makeGetRequest("/v1/config/history")));
}

int status(const NodeAccess& access, bool isJson)
{
    const auto response = callFirstReachable(access, makeGetRequest("/v1/config/status"));
    if (isJson || !isSuccess(response))
        return printResponse(response);
    try {
        printStatus(json::parse(response.value().body));
    } catch (const std::exception& problem) {
        std::cerr << "the response can't be parsed: " << problem.what() << "\n";
        return exitRefused;
    }
    return exitSuccess;
}

int dump(const NodeAccess& access) { return printResponse(callFirstReachable(access, makeGetRequest("/debug/state"))); }

int drain(const NodeAccess& access)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/drain";
    return printResponse(callFirstReachable(access, request));
}

} // namespace topaztack::cli
