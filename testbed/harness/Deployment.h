#pragma once

#include "ChildProcess.h"
#include "DeploymentShape.h"

#include <proxy/FaultProxy.h>
#include <wagtailrack/base/Error.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

enum class ProxyUse {
    // Processes talk to each other directly.
    None,
    // A FaultProxy stands in front of each instance, each backend server, and of the store for each instance.
    Everywhere,
};

enum class FirstTables {
    // Written to the store by the harness.
    Published,
    // Sent with `wagtailrack apply`.
    Applied,
};

struct DeploymentOptions {
    // Holds wagtailrack and wagtailrack-testbed.
    std::string binaryFolder;
    std::string routesText;
    std::string poolsText;
    std::vector<InstanceDescription> instances;
    ProxyUse proxyUse = ProxyUse::None;
    FirstTables firstTables = FirstTables::Published;
    int64_t lookupValidityMs = 2000;
    int64_t orderKeyValidityMs = 2000;
    // Options for the backend servers of a pool, such as --service-ms.
    std::map<std::string, std::vector<std::string>> backendArguments;

    // All of a shape's processes.
    static DeploymentOptions of(const DeploymentShape& shape, const std::string& binaryFolder);
};

struct RunningInstance {
    InstanceDescription description;
    // Source address of its connections.
    std::string host;
    // As others are told; these are the proxies' when there are proxies.
    Endpoint callerAddress;
    Endpoint peerAddress;
    std::string settingsPath;
    std::unique_ptr<FaultProxy> callerProxy;
    std::unique_ptr<FaultProxy> peerProxy;
    std::unique_ptr<FaultProxy> storeProxy;
    std::optional<ChildProcess> process;
};

struct RunningBackend {
    std::string pool;
    std::string failureDomain;
    // As in the tables; the proxy's when there is one.
    Endpoint address;
    // Where the server listens; for its /control paths.
    Endpoint directAddress;
    std::unique_ptr<FaultProxy> proxy;
    std::optional<ChildProcess> process;
};

// A whole deployment as separate processes on loopback, with its files in a temporary folder. Used by one thread.
// Ends all processes when it goes; the folder stays after a failed start, for its logs.
//
//     Deployment deployment(DeploymentOptions::of(smallShape(), "build"));
//     if (auto status = deployment.start(std::chrono::steady_clock::now() + std::chrono::seconds(20)); !status)
//         return status.error();
class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Starts everything, puts the tables into the store and waits until all instances are ready. Fails with NotReady.
    Status start(SteadyTime deadline);

    // Sends SIGTERM to all instances, then to the rest; true when each instance ended with exit code 0 in time.
    bool stop(SteadyTime deadline);

    // Runs a `wagtailrack` subcommand; its output goes to command.log. Returns the exit code.
    int runCommand(const std::vector<std::string>& arguments, SteadyTime deadline);
    // `wagtailrack get`, then `wagtailrack apply` with these tables; returns the exit code.
    int applyTables(const std::string& routes, const std::string& pools);

    void startInstance(RunningInstance& instance);
    void startBackend(RunningBackend& backend);
    void startStore();
    Status waitUntilReady(SteadyTime deadline);

    // Cuts all traffic between the failure domains of `side` and all others. The store is on the other side unless
    // its failure domain, the first one, is in `side`. Needs proxies.
    void separate(const std::set<std::string>& side);
    // Sets the latencies of a shape on all proxies. Needs proxies.
    void setLatencies(const DeploymentShape& shape);
    void heal();

    std::deque<RunningInstance> instances;
    std::deque<RunningBackend> backends;
    std::optional<ChildProcess> store;
    std::optional<ChildProcess> instanceList;
    Endpoint storeAddress;
    Endpoint instanceListAddress;
    // The tables as applied first, with the addresses of this deployment.
    std::string routesText;
    std::string poolsText;
    const std::string folder;

private:
    Status publishTables();
    void prepareBackends();
    void prepareInstances();
    // Sets the platform's list to all instances.
    void announceInstances() const;
    void writeSettings(const RunningInstance& instance) const;
    std::string testbedProgram() const;
    std::string logPath(const std::string& name) const;
    // Faults of the path between two failure domains, applied by the proxies of the second one.
    template <typename FaultsBetween> void setAllFaults(const FaultsBetween& faultsBetween);

    DeploymentOptions options;
};

// Writes a whole file; aborts the program when it cannot.
void writeFile(const std::string& path, const std::string& text);

}
