#pragma once

#include "ExitCode.h"

#include <wagtailrack/base/Error.h>

namespace wagtailrack::command {

// One subcommand of the binary. `run` gets the arguments from the subcommand's name on.
struct Subcommand {
    const char* name;
    const char* summary;
    ExitCode (*run)(int argumentCount, char** arguments);
};

ExitCode runServe(int argumentCount, char** arguments);
ExitCode runEdge(int argumentCount, char** arguments);
ExitCode runCheck(int argumentCount, char** arguments);
ExitCode runLookup(int argumentCount, char** arguments);
ExitCode runStatus(int argumentCount, char** arguments);
ExitCode runExplain(int argumentCount, char** arguments);
ExitCode runTimeline(int argumentCount, char** arguments);
ExitCode runGet(int argumentCount, char** arguments);
ExitCode runApply(int argumentCount, char** arguments);

// Prints the failure to standard error and maps it to an exit code.
ExitCode reportError(const Error& error);

}
