#include "TestbedCommand.h"
#include "load/LookupBench.h"
#include "load/RequestBench.h"
#include "load/measureControl.h"
#include "load/runLoad.h"
#include "proxy/runProxy.h"
#include "runDemo.h"
#include "standins/runBackend.h"
#include "standins/runInstanceList.h"
#include "standins/runStore.h"

#include <testbed/runPlatformServer.h>
#include <testbed/runPlatformStore.h>
#include <testbed/runSoak.h>

#include <iostream>
#include <string>
#include <vector>

using namespace wagtailrack::testbed;
using wagtailrack::platform::runPlatformServer;
using wagtailrack::platform::runPlatformStore;
using wagtailrack::platform::runSoak;

int main(int argumentCount, char** arguments)
{
    const std::vector<TestbedCommand> commands = {
        { "demo", "run the Verband's deployment on loopback under load", &runDemo },
        { "load", "send open-loop load and report what callers saw", &runLoad },
        { "proxy", "forward TCP connections and inject faults", &runProxy },
        { "backend", "runs one simulated backend server", &runBackend },
        { "store", "serve a simulated key-value store", &runStore },
        { "platform-store", "serve a fake of the platform's store", &runPlatformStore },
        { "platform-server", "run one fake backend server of the platform", &runPlatformServer },
        { "soak", "run instances of the platform under randomized faults", &runSoak },
        { "instance-list", "serve a simulated list of instances", &runInstanceList },
        { "measure-control", "measure the cost of the control plane", &measureControl },
        { "lookup-bench", "measures the look-ups of one running instance", &runLookupBench },
        { "request-bench", "measures the request path of one entry instance", &runRequestBench },
    };
    const std::string name = argumentCount >= 2 ? arguments[1] : "";
    for (const TestbedCommand& command : commands) {
        if (name == command.name)
            return command.run(argumentCount - 1, arguments + 1);
    }
    std::cerr << "usage: wagtailrack-testbed <subcommand> [options]\n";
    for (const TestbedCommand& command : commands)
        std::cerr << "  " << command.name << "  " << command.summary << '\n';
    return 2;
}
