#include "Subcommand.h"

#include <cstring>
#include <iostream>

using namespace wagtailrack::command;

namespace {

constexpr Subcommand subcommands[] = {
    { "serve", "run an entry instance", &runServe },
    { "edge", "run an instance on the users' platform", &runEdge },
    { "check", "validate tables and settings files", &runCheck },
    { "lookup", "ask which entry instances to use", &runLookup },
    { "status", "show the state of an instance", &runStatus },
    { "explain", "tell where an instance would send a request, and why", &runExplain },
    { "timeline", "merge the events of all instances", &runTimeline },
    { "get", "write the tables of the store into a folder", &runGet },
    { "apply", "send the edited tables of a folder to the store", &runApply },
};

void printUsage(std::ostream& stream)
{
    stream << "usage: wagtailrack <subcommand> [options]\n\n";
    for (const Subcommand& subcommand : subcommands)
        stream << "  " << subcommand.name << std::string(12 - std::strlen(subcommand.name), ' ') << subcommand.summary
               << '\n';
    stream << "\nwagtailrack <subcommand> --help describes its options.\n";
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount >= 2) {
        const std::string name = arguments[1];
        for (const Subcommand& subcommand : subcommands) {
            if (name == subcommand.name)
                return static_cast<int>(subcommand.run(argumentCount - 1, arguments + 1));
        }
        if (name == "--help" || name == "-h" || name == "help") {
            printUsage(std::cout);
            return static_cast<int>(ExitCode::Success);
        }
        std::cerr << "wagtailrack: unknown subcommand " << name << '\n';
    }
    printUsage(std::cerr);
    return static_cast<int>(ExitCode::Usage);
}
