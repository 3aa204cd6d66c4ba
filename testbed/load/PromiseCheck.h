#pragma once

#include "CallRecord.h"
#include "LedgerCheck.h"

#include <harness/Deployment.h>

#include <map>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

enum class Stops {
    // Every stop was planned, so no request may be cut.
    Planned,
    // Processes died or paths failed: requests on them end with a closed connection.
    Unplanned,
};

// What happened during a run, as far as the checks depend on it.
struct RunFacts {
    Stops stops = Stops::Planned;
    // Servers by direct address with the wall-clock time in ms after which they may not start anything.
    std::map<std::string, long long> drainedServers;
    // Values of the tables.
    int64_t shiftStep = 20;
    int64_t shiftIntervalMs = 1000;
};

// Reads the ledgers of all backend servers of a deployment and checks P1 to P7. An empty answer means that every
// promise held. P8 needs the versions of the instances: see waitForGeneration().
std::vector<Violation> checkPromises(
    const Deployment& deployment, const std::vector<CallRecord>& records, const RunFacts& facts);

// Generation of the tables that an instance uses; 0 when it does not answer.
uint64_t generationOf(const RunningInstance& instance);
// Waits until all running instances use at least `generation`; the time it took, or nothing at the deadline.
std::optional<Milliseconds> waitForGeneration(Deployment& deployment, uint64_t generation, SteadyTime deadline);

// Sends a control request to a simulated process, such as PUT /control/drain; false when it fails.
bool sendControl(
    const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body = "");

long long wallMsNow();

}
