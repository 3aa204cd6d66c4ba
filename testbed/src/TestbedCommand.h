#pragma once

namespace wagtailrack::testbed {

// One subcommand of wagtailrack-testbed. `run` gets the arguments from the subcommand's name on and returns the exit
// code.
struct TestbedCommand {
    const char* name;
    const char* summary;
    int (*run)(int argumentCount, char** arguments);
};

}
