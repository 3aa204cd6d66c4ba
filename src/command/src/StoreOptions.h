#pragma once

#include "CommandOptions.h"

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

namespace wagtailrack::command {

// Options of the subcommands that move tables between a folder and the store.
struct StoreOptions {
    Endpoint store;
    std::string folder;
    SteadyTime deadline;
};

struct ParsedStoreOptions {
    std::optional<StoreOptions> options;
    ExitCode exitCode = ExitCode::Success;
    // The options as given, for those of one subcommand only.
    std::optional<cxxopts::ParseResult> given;
};

// Adds --store, --folder and --timeout-ms, parses, and prints help or what is wrong with the command line.
ParsedStoreOptions parseStoreOptions(cxxopts::Options& options, int argumentCount, char** arguments);

}
