#include "commands.hpp"

#include <topaztack/control/settings_page.hpp>

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* overview = R"(topaztack: the operators' command line.

Exit codes: 0 done; 1 refused or not reached; 2 bad document or option; 3 unknown whether it took effect.

Examples:
  topaztack check rollout.ini
  topaztack accept rollout.ini --base 0 --node 127.0.0.1:17201 --node 127.0.0.1:17202
  topaztack status --node 127.0.0.1:17201
  topaztack diff rollout.ini --node 127.0.0.1:17201        (from the document in force to the file)
  topaztack diff 3 5 --node 127.0.0.1:17201                (from version 3 to version 5)
  topaztack revert --to 3 --base 5 --node 127.0.0.1:17201  (version 6 says what version 3 said)
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
    CLI::App app(overview);
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    Access access;
    AcceptOptions options;
    options.author = defaultAuthor();
    std::string file;
    std::string other;
    std::string version;
    std::string tokenFile;
    std::uint64_t to = 0;
    bool isJson = false;

    auto* checkCommand = app.add_subcommand("check", "check a document; exit 0, or print what is wrong and exit 2");
    checkCommand->add_option("document", file, "INI file")->required();
    auto* acceptCommand = app.add_subcommand("accept", "have a document accepted on a base version");
    acceptCommand->add_option("document", file, "INI file")->required();
    auto* revertCommand = app.add_subcommand("revert", "have an earlier version's document accepted as a new version");
    revertCommand->add_option("--to", to, "version whose document comes back")->required();
    for (auto* command : { acceptCommand, revertCommand }) {
        command->add_option("--base", options.base, "version that the change is based on; 0 for the first")->required();
        command->add_option("--operation", options.operation, "operation id of an earlier try whose answer was lost");
        command->add_option("--author", options.author, "name for the history");
    }
    auto* showCommand = app.add_subcommand("show", "print the document in force at a VM");
    showCommand->add_option("--at", version, "print this accepted version instead");
    auto* statusCommand = app.add_subcommand("status", "print what is accepted and what is in force where");
    statusCommand->add_flag("--json", isJson, "print the node's answer as it is");
    auto* diffCommand = app.add_subcommand("diff", "print what differs between two documents");
    diffCommand->add_option("left", file, "file, or number of a version")->required();
    diffCommand->add_option("right", other, "file or version; without it, from the document in force to the left one");
    auto* historyCommand = app.add_subcommand("history", "print the accepted versions, newest first");
    auto* dumpCommand = app.add_subcommand("dump", "print a VM's state");
    auto* settingsCommand
        = app.add_subcommand("settings-page", "print every key of settings and documents, as Markdown");
    auto* drainCommand = app.add_subcommand("drain", "start a VM's graceful shutdown");
    for (auto* command : { acceptCommand, revertCommand, showCommand, statusCommand, diffCommand, historyCommand,
             dumpCommand, drainCommand }) {
        auto* node = command->add_option(
            "--node", access.nodes, "IP:PORT of a VM's operators' port; given again, the next is tried");
        command->add_option("--token", tokenFile, "file with the operator token; else TOPAZTACK_TOKEN is used");
        if (command != diffCommand)
            node->required();
    }
    std::vector<std::string> logFiles;
    auto* explainCommand = app.add_subcommand("explain", "print what log files say of a request, an item or a job");
    explainCommand->add_option("id", file, "id of a request, an item or a job")->required();
    explainCommand->add_option("logs", logFiles, "log files of all VMs")->required();
    CLI11_PARSE(app, argc, argv);

    auto token = readOperatorToken(tokenFile);
    if (!token)
        return exitBadInput;
    access.token = std::move(*token);
    if (explainCommand->parsed())
        return explain(file, logFiles);
    if (checkCommand->parsed())
        return check(file);
    if (settingsCommand->parsed()) {
        std::cout << topaztack::settingsPage();
        return exitGood;
    }
    if (acceptCommand->parsed())
        return acceptFile(access, file, std::move(options));
    if (revertCommand->parsed())
        return revert(access, to, std::move(options));
    if (showCommand->parsed())
        return show(access, version);
    if (statusCommand->parsed())
        return status(access, isJson);
    if (diffCommand->parsed())
        return diff(access, file, other);
    if (historyCommand->parsed())
        return history(access);
    if (dumpCommand->parsed())
        return dump(access);
    return drain(access);
}
