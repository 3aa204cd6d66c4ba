#pragma once

#include "ChildProcess.h"

#include <wagtailrack/base/Error.h>
#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/version/Head.h>

#include <json/value.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace wagtailrack::testbed {

struct ControlInstance {
    std::string name;
    std::string failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    // Where this instance expects the store and the list; another address stands for a cut.
    Endpoint storeAddress;
    Endpoint listAddress;
    std::string settingsPath;
    std::string logPath;
    std::optional<ChildProcess> process;
};

// Entry instances with a simulated store and instance list as separate processes on loopback, without backend servers:
// for tests and measurements of membership and of the distribution of versions. Used by one thread. Ends all processes
// and removes its folder when it goes.
//
//     ControlCluster cluster("build");
//     cluster.start(cluster.add("a1", "fd-a"));
//     const version::VersionId id = cluster.edit();
//     cluster.waitUntil([&] { return cluster.isActiveEverywhere(id); });
class ControlCluster {
public:
    // `binaryFolder` holds wagtailrack and wagtailrack-testbed.
    explicit ControlCluster(const std::string& binaryFolder);
    ~ControlCluster();
    ControlCluster(const ControlCluster&) = delete;
    ControlCluster& operator=(const ControlCluster&) = delete;

    // Prepares an instance; start() runs it. Restarting it gives a new process of the same name.
    ControlInstance& add(const std::string& name, const std::string& failureDomain);
    void start(ControlInstance& instance);

    // Sets the platform's list to these instances.
    void publishList(const std::vector<const ControlInstance*>& listed);
    void publishAll();
    // Applies a fault control to the store, for example "outage?on=1".
    void controlStore(const std::string& command);
    std::string storeCounters();

    // Commits the next edit of the tables to the store and returns its version; generation 0 when the store refused.
    version::VersionId edit();
    const Endpoint& storeEndpoint() const noexcept { return this->storeAddress; }
    // The same with this text as the routes table, which may be invalid.
    version::VersionId editTo(const std::string& routes);
    // Version of the store's head; generation 0 without one.
    version::VersionId storedVersion() const;

    // Calls a method of an instance's peer service. Fails when it does not answer.
    Result<Json::Value> call(
        const ControlInstance& instance, const std::string& method, const Json::Value& parameters) const;
    // Generation 0 when the instance does not answer or has no version.
    version::VersionId activeVersion(const ControlInstance& instance) const;
    // What one instance tells of the members of a failure domain.
    std::map<std::string, process::Member> members(
        const ControlInstance& instance, const std::string& failureDomain) const;

    // Whether a line of the instance's log contains the text.
    static bool hasLogged(const ControlInstance& instance, const std::string& text);
    bool isActiveEverywhere(const version::VersionId& id) const;
    // Whether every running instance sees every running instance as alive, with one process id.
    bool hasConverged() const;

    // Whether `condition` becomes true before a generous deadline; no test decides by exact timing.
    static bool waitUntil(const std::function<bool()>& condition);

    std::deque<ControlInstance> instances;
    Endpoint storeAddress;
    Endpoint listAddress;
    // Number of client blocks in the tables; decides their size.
    int clientBlocks = 50;
    // When the last edit's write of the head was started.
    WallTime headWrittenAt {};

private:
    std::string send(
        const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body);

    const std::string binaryFolder;
    const std::string folder;
    std::optional<ChildProcess> store;
    std::optional<ChildProcess> list;
    version::Head head;
    uint64_t headVersion = 0;
};

}
