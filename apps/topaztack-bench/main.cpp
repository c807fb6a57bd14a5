#include "bench.hpp"

#include <vector>

namespace topaztack::bench {

/// One line for each experiment: `void addName(CLI::App&, std::function<int()>&);` in its own source file.
void addPlay(CLI::App& app, std::function<int()>& run);
void addRelay(CLI::App& app, std::function<int()>& run);
void addRequests(CLI::App& app, std::function<int()>& run);
void addSamples(CLI::App& app, std::function<int()>& run);

const std::vector<AddCommand> commands {
    addPlay,
    addRelay,
    addRequests,
    addSamples,
};

} // namespace topaztack::bench

int main(int argc, char** argv)
{
    CLI::App app("topaztack-bench: load and experiments; prints tables and CSV.");
    app.set_version_flag("--version", TOPAZTACK_VERSION);
    app.require_subcommand(1);
    std::function<int()> run;
    for (const auto addCommand : topaztack::bench::commands)
        addCommand(app, run);
    CLI11_PARSE(app, argc, argv);
    return run();
}
