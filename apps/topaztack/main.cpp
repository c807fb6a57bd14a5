#include "commands.hpp"

#include <topaztack/control/settings_page.hpp>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* description = R"(topaztack: the operators' command line.

Exit codes: 0 success; 1 refused, unreachable or (check) something is wrong; 2 invalid document, file or option; 3 outcome of a change unknown.

Examples:
  topaztack check rollout.ini --against in-force.ini
  topaztack accept rollout.ini --base 0 --node 127.0.0.1:17201 --node 127.0.0.1:17202
  topaztack status --node 127.0.0.1:17201
  topaztack diff rollout.ini --node 127.0.0.1:17201        (from the document in force to the file)
  topaztack diff 3 5 --node 127.0.0.1:17201                (from version 3 to version 5)
  topaztack revert --to 3 --base 5 --node 127.0.0.1:17201  (version 6 gets the content of version 3)
  topaztack drain --node 127.0.0.1:17201
  topaztack explain 9c41d07be2a35f68 logs/*.log            (what became of a request, an item or a job))";

std::string defaultAuthor()
{
    const auto* user = std::getenv("USER");
    return user ? user : "cli";
}

} // namespace

int main(int argc, char** argv)
{
    using namespace topaztack::cli;
    CLI::App app(description);
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    NodeAccess access;
    AcceptOptions options;
    options.author = defaultAuthor();
    std::string argument;
    std::string rightDocument;
    std::string shownVersion;
    std::string tokenFile;
    std::uint64_t revertVersion = 0;
    bool isJson = false;

    auto* checkCommand
        = app.add_subcommand("check", "check a configuration; exit 1 if something is wrong, 2 if it can't be read");
    checkCommand->add_option("document", argument, "INI document, or the platform's configuration in JSON")->required();
    checkCommand->add_option("--against", rightDocument, "configuration in force; prints the differences from it");
    checkCommand->add_flag("--json", isJson, "print findings and differences as JSON");
    auto* acceptCommand = app.add_subcommand("accept", "submit a document as the version after its base version");
    acceptCommand->add_option("document", argument, "INI file")->required();
    auto* revertCommand = app.add_subcommand("revert", "submit the document of an earlier version as a new version");
    revertCommand->add_option("--to", revertVersion, "version whose document is submitted again")->required();
    for (auto* command : { acceptCommand, revertCommand }) {
        command->add_option("--base", options.base, "version that the change is based on; 0 for the first")->required();
        command->add_option(
            "--operation", options.operation, "operation id of an earlier attempt whose response was lost");
        command->add_option("--author", options.author, "author to record in the history");
    }
    auto* showCommand = app.add_subcommand("show", "print the document in force at a VM");
    showCommand->add_option("--at", shownVersion, "print this accepted version instead");
    auto* statusCommand
        = app.add_subcommand("status", "print the accepted version and the version in force on each VM");
    statusCommand->add_flag("--json", isJson, "print the node's JSON response unchanged");
    auto* diffCommand = app.add_subcommand("diff", "print the differences between two documents");
    diffCommand->add_option("left", argument, "file or version number")->required();
    diffCommand->add_option("right", rightDocument,
        "file or version number; if absent, prints the differences from the document in force to the left one");
    auto* historyCommand = app.add_subcommand("history", "print the accepted versions, newest first");
    auto* dumpCommand = app.add_subcommand("dump", "print the state of a VM");
    auto* settingsCommand
        = app.add_subcommand("settings-page", "print a Markdown reference of all keys of settings and documents");
    auto* drainCommand = app.add_subcommand("drain", "start a VM's graceful shutdown");
    for (auto* command : { acceptCommand, revertCommand, showCommand, statusCommand, diffCommand, historyCommand,
             dumpCommand, drainCommand }) {
        auto* node = command->add_option(
            "--node", access.nodes, "IP:PORT of a VM's operators' port; repeat to give VMs to try in order");
        command->add_option(
            "--token", tokenFile, "file whose last word is the operator token; default: the variable TOPAZTACK_TOKEN");
        if (command != diffCommand)
            node->required();
    }
    std::vector<std::string> logFiles;
    auto* explainCommand
        = app.add_subcommand("explain", "print the log lines about a request, an item or a job, in time order");
    explainCommand->add_option("id", argument, "id of a request, an item or a job")->required();
    explainCommand->add_option("logs", logFiles, "log files of all VMs")->required();
    CLI11_PARSE(app, argc, argv);

    auto token = readOperatorToken(tokenFile);
    if (!token)
        return exitBadInput;
    access.token = std::move(*token);
    if (explainCommand->parsed())
        return explain(argument, logFiles);
    if (checkCommand->parsed())
        return check(argument, rightDocument, isJson);
    if (settingsCommand->parsed()) {
        std::cout << topaztack::settingsPage();
        return exitSuccess;
    }
    if (acceptCommand->parsed())
        return acceptFile(access, argument, std::move(options));
    if (revertCommand->parsed())
        return revert(access, revertVersion, std::move(options));
    if (showCommand->parsed())
        return show(access, shownVersion);
    if (statusCommand->parsed())
        return status(access, isJson);
    if (diffCommand->parsed())
        return diff(access, argument, rightDocument);
    if (historyCommand->parsed())
        return history(access);
    if (dumpCommand->parsed())
        return dump(access);
    return drain(access);
}
