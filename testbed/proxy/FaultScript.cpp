#include "FaultScript.h"

#include <map>
#include <sstream>

namespace wagtailrack::testbed {

namespace {

struct CommandWords {
    std::string name;
    std::string direction;
    int64_t number = 0;
};

// Commands that change one direction; the value is the number after the direction.
void setDirection(DirectionFaults& faults, const CommandWords& words)
{
    if (words.name == "delay")
        faults.delayMs = words.number;
    else if (words.name == "bandwidth")
        faults.bytesPerSecond = words.number;
    else if (words.name == "truncate")
        faults.truncateAfterBytes = words.number;
    else
        faults.isCut = true;
}

using ProxyCommand = void (*)(FaultProxy&, const CommandWords&);

const std::map<std::string, ProxyCommand>& proxyCommands()
{
    static const std::map<std::string, ProxyCommand> commands = {
        { "cut",
            [](FaultProxy& proxy, const CommandWords&) {
                ProxyFaults faults = proxy.faults();
                faults.isCut = true;
                proxy.setFaults(faults);
            } },
        { "black-hole",
            [](FaultProxy& proxy, const CommandWords&) {
                ProxyFaults faults = proxy.faults();
                faults.isBlackHole = true;
                proxy.setFaults(faults);
                proxy.silenceConnections();
            } },
        { "silence", [](FaultProxy& proxy, const CommandWords&) { proxy.silenceConnections(); } },
        { "reset", [](FaultProxy& proxy, const CommandWords&) { proxy.resetConnections(); } },
        { "lose-replies", [](FaultProxy& proxy, const CommandWords& words) { proxy.loseReplies(words.number); } },
        { "heal", [](FaultProxy& proxy, const CommandWords&) { proxy.heal(); } },
    };
    return commands;
}

}

Result<std::vector<ScriptLine>> parseFaultScript(std::string_view text, const std::string& file)
{
    std::vector<ScriptLine> lines;
    std::istringstream stream { std::string(text) };
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        ScriptLine parsed;
        if (!(words >> parsed.afterMs) || !std::getline(words >> std::ws, parsed.command))
            return makeError(
                ErrorCode::SyntaxError, file + ":" + std::to_string(number), "expected <milliseconds> <command>");
        lines.push_back(std::move(parsed));
    }
    return lines;
}

Status applyFaultCommand(FaultProxy& proxy, const std::string& command)
{
    std::istringstream stream(command);
    CommandWords words;
    stream >> words.name;
    const bool isDirected
        = words.name == "delay" || words.name == "bandwidth" || words.name == "truncate" || words.name == "cut";
    if (isDirected && stream >> words.direction) {
        const bool needsNumber = words.name != "cut";
        ProxyFaults faults = proxy.faults();
        const bool isToServer = words.direction == "to-server";
        if ((isToServer || words.direction == "to-client") && (!needsNumber || stream >> words.number)) {
            setDirection(isToServer ? faults.toServer : faults.toClient, words);
            proxy.setFaults(faults);
            return success();
        }
    } else if (const auto found = proxyCommands().find(words.name); found != proxyCommands().end()) {
        if (words.name != "lose-replies" || stream >> words.number) {
            found->second(proxy, words);
            return success();
        }
    }
    return makeError(ErrorCode::SyntaxError, "fault script", "not a command: " + command);
}

}
