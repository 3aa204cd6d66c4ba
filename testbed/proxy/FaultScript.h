#pragma once

#include "FaultProxy.h"

#include <wagtailrack/base/Error.h>

#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::testbed {

// One line of a fault script: "<ms after start> <command>".
struct ScriptLine {
    int64_t afterMs = 0;
    std::string command;
};

// Reads a script; empty lines and lines that start with # are skipped. Fails with SyntaxError and the line.
Result<std::vector<ScriptLine>> parseFaultScript(std::string_view text, const std::string& file);

// Applies one command to a proxy:
//
//     delay to-server 55 | bandwidth to-client 500000 | cut | cut to-server | black-hole | silence | reset
//     truncate to-client 100 | lose-replies 1 | heal
//
// Fails with SyntaxError for anything else.
Status applyFaultCommand(FaultProxy& proxy, const std::string& command);

}
