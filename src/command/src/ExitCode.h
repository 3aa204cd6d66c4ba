#pragma once

namespace wagtailrack::command {

// Exit codes of every subcommand; README.md lists them.
enum class ExitCode : int {
    Success = 0,
    // A table or settings file is invalid, or an edit conflicts.
    Invalid = 1,
    // The command line is wrong.
    Usage = 2,
    // The store or an instance could not be reached; nothing was changed.
    Unavailable = 3,
    // It is unknown whether the change took effect.
    OutcomeUnknown = 4,
};

}
