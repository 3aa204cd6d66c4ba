#pragma once

#include "ExitCode.h"

#include <cxxopts.hpp>

#include <optional>

namespace wagtailrack::command {

// The outcome of reading a command line: options to work with, or the exit code to end with at once.
struct ParsedOptions {
    std::optional<cxxopts::ParseResult> options;
    ExitCode exitCode = ExitCode::Success;
};

// Adds --help, parses, and prints help or what is wrong with the command line.
ParsedOptions parseOptions(cxxopts::Options& options, int argumentCount, char** arguments);

}
