#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/version/Pool.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailrack::edge {

// What a backend server says of itself in the registry.
struct ServerRecord {
    // New at each start.
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    int64_t slots = 1;
    version::ServerState state = version::ServerState::Active;
    // How much longer the server stays cold, from the time of its record.
    int64_t coldRemainingMs = 0;
    // Start of the process in Unix milliseconds; 0 when not told.
    int64_t startedAtMs = 0;

    friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

// How an attempt at a server ended, as far as the server's standing is concerned.
enum class AttemptOutcome {
    Answered,
    // The server refused the request without running it.
    Shed,
    // A failure answer of the server's own.
    ErrorResponse,
    // Reset, truncated or unreadable.
    BrokenResponse,
    Unreachable,
};

// A backend server and what this instance has seen of it. Only the event loop's thread touches it.
struct BackendServer {
    ServerRecord record;
    std::string region;
    uint64_t placementHash = 0;
    // Names the server in messages between instances.
    ServerKey key = 0;
    // Not to be used: its record is gone, it is draining, or another server answered at its address.
    bool isLeaving = false;
    SteadyTime coldUntil;
    SteadyTime firstSeenAt;
    // Missing from the registry; removed at this time when it has not come back. Epoch: not missing.
    SteadyTime removeAt;

    int64_t inFlight = 0;
    // Requests of other instances on this server, from its own load reports, and the time of the last one.
    double otherInstancesLoad = 0;
    SteadyTime otherInstancesLoadAt;
    // Requests of all instances on this server as the hub told last, and when.
    double totalLoad = 0;
    SteadyTime totalLoadAt;
    // This instance's part of that.
    int64_t reportedInFlight = 0;
    // Ends of attempts since the last report to the hub.
    ServerActivity unreportedActivity;
    // Part of recent attempts that failed, 0 to 1.
    double failureRate = 0;
    // Time of its answers in relation to those expected, 1 for a normal server.
    double latencyRatio = 1;
    // Work that the requests sent to it are expected to be.
    double averageProcessingMs = 0;
    int consecutiveUnreachable = 0;
    SteadyTime avoidUntil;
    // Objects that the server is known to have handled, with the time when that was heard last.
    std::unordered_map<ObjectKey, SteadyTime> cachedObjects;
    // Admission while cold.
    double coldTokens = 1;
    SteadyTime coldTokensRefilledAt;
};

using BackendServerPointer = std::shared_ptr<BackendServer>;

// All backend servers that the registry names, by service, with what this instance learned from their answers. Lives
// for the process; used by the event loop's thread only.
class BackendFleet {
public:
    // Called once for each server that may not be used any more.
    using LeavingHook = std::function<void(const BackendServer&, const char* reason)>;

    BackendFleet(const Clock& clock, std::map<std::string, std::string> regionOfDomain);

    void setLeavingHook(LeavingHook hook) { this->leavingHook = std::move(hook); }

    // Takes a whole reading of the registry. Servers that are missing are gone at once, or, with `missingGraceUntil`
    // in the future, at that time.
    void applyRecords(const std::vector<ServerRecord>& records, SteadyTime missingGraceUntil);
    // Removes servers whose grace has passed.
    void removeExpiredServers();
    // The failure domains whose servers must get no requests. Servers of a domain that is taken back count as cold for
    // `coldAfterMs`.
    void setEvacuatedDomains(std::set<std::string> domains, int64_t coldAfterMs);

    // Servers of the service in any state.
    const std::vector<BackendServerPointer>& servers(const std::string& service) const;
    bool isUsable(const BackendServer& server) const;
    size_t size() const noexcept { return this->byId.size(); }

    // Bookkeeping around an attempt with this much expected work.
    void beginAttempt(BackendServer& server, double workMs);
    void endAttempt(BackendServer& server, AttemptOutcome outcome);
    // `durationMs` of an attempt that was expected to take `expectedMs`.
    void recordDuration(BackendServer& server, double durationMs, double expectedMs);
    // The server's own report: running and waiting requests, this instance's included.
    void recordLoadReport(BackendServer& server, int64_t running, int64_t waiting, int64_t slots);
    void recordCachedObject(BackendServer& server, ObjectKey object);
    void markLeaving(BackendServer& server, const char* reason);

    // What is to be told to the hub: all requests in flight, and what happened since the last report.
    InstanceLoadReport collectReport();
    // Takes what the hub tells of all instances together.
    void applyStatusTable(const ServerStatusTable& table);

    // Whether one more request may go to a cold server; takes a token. `senders` is the number of instances that send
    // to it, `perSecond` what it bears in all.
    bool tryTakeColdToken(BackendServer& server, double perSecond, int senders);

private:
    void updateServer(BackendServer& server, const ServerRecord& record);
    // Whether any server went.
    bool eraseExpiredServers();
    void rebuildIndexes();
    static void addCachedObject(BackendServer& server, ObjectKey object, SteadyTime when);

    const Clock& clock;
    std::map<std::string, std::string> regionOfDomain;
    LeavingHook leavingHook;
    std::map<std::string, BackendServerPointer> byId;
    std::map<std::string, std::vector<BackendServerPointer>> byService;
    std::map<ServerKey, BackendServerPointer> byKey;
    // Objects that this instance had servers handle since the last report.
    std::set<CachedObject> unreportedCachedObjects;
    std::set<std::string> evacuatedDomains;
};

}
