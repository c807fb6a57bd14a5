#pragma once

#include <CLI/CLI.hpp>

#include <functional>

/// @file
/// The experiments of topaztack-bench; each lives in a source file of its own.

namespace topaztack::bench {

/// @brief Adds one subcommand to the program and sets `run` to what it does; the exit code is 0 if all went well.
using AddCommand = void (*)(CLI::App& app, std::function<int()>& run);

} // namespace topaztack::bench
