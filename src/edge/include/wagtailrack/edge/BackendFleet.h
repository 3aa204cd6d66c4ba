#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/edge/DepartedServers.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/edge/ServerCapacity.h>
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

// Registry record that a backend server publishes about itself.
struct ServerRecord {
    // New at each start of the server.
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    int64_t slots = 1;
    version::ServerState state = version::ServerState::Active;
    // Remaining cold-start time of the server when it wrote this record.
    int64_t coldRemainingMs = 0;
    // Start of the server process in Unix milliseconds; 0 if the record does not contain it.
    int64_t startedAtMs = 0;

    friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

// Result of an attempt to send a request to a server, as it counts for the server's failure rate.
enum class AttemptOutcome {
    Answered,
    // The server rejected the request without executing it.
    Shed,
    // The server itself responded with an error status.
    ErrorResponse,
    // The connection was reset, or the response was truncated or malformed.
    BrokenResponse,
    Unreachable,
};

// A backend server and the state that this instance keeps for it. Accessed only by the event loop's thread.
struct BackendServer {
    ServerRecord record;
    std::string region;
    uint64_t placementHash = 0;
    // Identifies the server in messages between instances.
    ServerKey key = 0;
    // The server gets no new requests: its record has been removed or replaced, it is draining, or another server
    // responded at its address.
    bool isLeaving = false;
    SteadyTime coldUntil;
    SteadyTime firstSeenAt;
    // When a server that is missing from the registry is removed, unless its record reappears first. The epoch means
    // that the record is present.
    SteadyTime removeAt;

    int64_t inFlight = 0;
    // Requests of other instances on this server: moving average of the server's own load reports, and the time of the
    // last report.
    double otherInstancesLoad = 0;
    SteadyTime otherInstancesLoadAt;
    // Requests of all instances on this server according to the hub, and the time of the last message from the hub.
    double totalLoad = 0;
    SteadyTime totalLoadAt;
    // Requests of this instance at its last report to the hub, which `totalLoad` includes.
    int64_t reportedInFlight = 0;
    // Results of attempts since the last report to the hub.
    ServerActivity unreportedActivity;
    // Ratio of recent attempts that failed, 0 to 1.
    double failureRate = 0;
    // Ratio of actual to expected response time, averaged; 1 for a server as fast as expected, and with
    // CapacityUse::Apply.
    double latencyRatio = 1;
    // The estimate that the choice of a server follows; the default value with CapacityUse::Observe.
    ServerCapacityEstimate capacity;
    ServerCapacityEstimate estimatedCapacity;
    // Logarithm of actual to expected duration, including what the servers of the service have in common.
    double durationLogRatio = 0;
    // Moving average of the expected processing time of the requests sent to this server.
    double averageProcessingMs = 0;
    int consecutiveUnreachable = 0;
    SteadyTime avoidUntil;
    // The server asked this instance to send it no requests before this time.
    SteadyTime pausedUntil;
    // Requests that this instance may have in flight on the server after a pause; grows with each answered request. 0:
    // not limited.
    int64_t resumeWindow = 0;
    // Objects that the server has handled and so probably has in its cache, with the time of the latest such
    // information.
    std::unordered_map<ObjectKey, SteadyTime> cachedObjects;
    // When an object was last added to `cachedObjects`.
    SteadyTime newestObjectAt;
    // Token bucket that limits requests to the server during its cold start.
    double coldTokens = 1;
    SteadyTime coldTokensRefilledAt;
};

// Returns whether the server's own wish to get no requests, or only few after a pause, allows one more request.
bool isAcceptingRequests(const BackendServer& server, SteadyTime now) noexcept;
// Number of requests that the server executes at the same time, as it tells; at least 1.
double slotsOf(const BackendServer& server) noexcept;
// Number of requests that the server processes at the same time without getting slower; at least 1.
double usableSlots(const BackendServer& server) noexcept;
// Processing time on the server with this number of requests, relative to a server of usual speed.
double processingFactor(const BackendServer& server, double load) noexcept;

using BackendServerPointer = std::shared_ptr<BackendServer>;

// All backend servers of the registry, by service, with the state that this instance derives from their responses and
// from the hub. Exists for the lifetime of the process; accessed only by the event loop's thread.
class BackendFleet {
public:
    // Reason of a server that becomes unusable because it said so; its process runs on.
    static constexpr const char* saidLeavingReason = "said-leaving";

    // Called once for each server when it becomes unusable.
    using LeavingHook = std::function<void(const BackendServer&, const char* reason)>;

    BackendFleet(const Clock& clock, std::map<std::string, std::string> regionOfDomain);

    void setCapacityUse(CapacityUse use) { this->capacityUse = use; }
    void setLeavingHook(LeavingHook hook) { this->leavingHook = std::move(hook); }

    // Applies a complete snapshot of the registry. Servers that are missing from it are removed at
    // `missingGraceUntil`, or at once if that time is not in the future.
    void applyRecords(const std::vector<ServerRecord>& records, SteadyTime missingGraceUntil);
    // Keeps servers that have left out of use although records of an older copy of the store say that they are ready;
    // those that may be running until `until`. See DepartedServers.
    void holdDepartedServers(SteadyTime until);
    // The same for the departures that a peer has seen.
    void holdDepartedServers(const std::vector<DepartedServers::Departure>& departures, SteadyTime until);
    std::vector<DepartedServers::Departure> heldDepartures() const;
    // Servers that are listed, but kept out of use because they had left.
    size_t heldServerCount() const noexcept { return this->heldRecords.size(); }
    // Removes missing servers whose grace period has expired, and adds servers that were held.
    void removeExpiredServers();
    // Sets the failure domains whose servers must not get requests. When the evacuation of a domain ends, its servers
    // are treated as cold for `coldAfterMs`.
    void setEvacuatedDomains(std::set<std::string> domains, int64_t coldAfterMs);

    // All servers of the service, including those that are not usable.
    const std::vector<BackendServerPointer>& servers(const std::string& service) const;
    const std::map<std::string, std::vector<BackendServerPointer>>& serversByService() const noexcept
    {
        return this->byService;
    }
    // Null if there is no server with this key.
    const BackendServer* findByKey(ServerKey key) const;
    // Returns the server that uses the address and has another id; null if there is none, or more than one.
    BackendServerPointer findOtherAt(const Endpoint& address, const std::string& id) const;
    bool isUsable(const BackendServer& server) const;
    bool isEvacuated(const BackendServer& server) const;
    size_t size() const noexcept { return this->byId.size(); }

    // Must be called in pairs around each attempt; `processingMs` is the expected processing time.
    void beginAttempt(BackendServer& server, double processingMs);
    void endAttempt(BackendServer& server, AttemptOutcome outcome);
    // Ends an attempt that was withdrawn before anything was sent, and so says nothing about the server.
    void withdrawAttempt(BackendServer& server);
    void recordDuration(BackendServer& server, const DurationSample& sample);
    // Records the server's own report: its running and waiting requests, including those of this instance.
    void recordLoadReport(BackendServer& server, int64_t running, int64_t waiting, int64_t slots);
    void recordCachedObject(BackendServer& server, ObjectKey object);
    void markLeaving(BackendServer& server, const char* reason);
    // Records that the server said it is leaving. Unlike markLeaving(), this holds for the rest of the server's
    // lifetime, whatever records appear, disappear or reappear. Returns false if it was recorded before.
    bool recordLeavingNotice(BackendServer& server);
    // Keeps the server out of use until `until`, also if its record disappears and reappears; of several pauses, the
    // one that ends last applies.
    void pause(BackendServer& server, SteadyTime until);

    // Builds the next report to the hub: the requests in flight on each server, and the results of attempts and the
    // objects handled since the previous report, whose counters are reset.
    InstanceLoadReport collectReport();
    // Applies the hub's status table, which combines the reports of all instances.
    void applyStatusTable(const ServerStatusTable& table);

    // Returns whether one more request may be sent to a cold server, and takes a token if so. `requestsPerSecond` is
    // the rate that the server accepts from all instances together, `senderCount` the number of instances that share
    // this rate.
    bool tryTakeColdToken(BackendServer& server, double requestsPerSecond, int senderCount);
    // Returns whether tryTakeColdToken() would return true.
    bool hasColdToken(const BackendServer& server, double requestsPerSecond, int senderCount) const;

private:
    void applyRecord(const ServerRecord& record);
    void updateServer(BackendServer& server, const ServerRecord& record);
    // Takes the estimates of servers without a hub's table from this instance's own samples.
    void applyOwnCapacities();
    void setCapacity(BackendServer& server, const ServerCapacityTracker::RelativeCapacity& capacity);
    // Derives the speeds of all servers from their duration ratios and the medians of their services.
    void updateSpeeds();
    // Returns the server of this lifetime that is in use now: another object than before if its record was missing for
    // some time. Null if there is none.
    BackendServerPointer findLifetime(const ServerRecord& record) const;
    bool hasLeavingNotice(const ServerRecord& record) const;
    void recordDeparture(const BackendServer& server, bool isFinal);
    void addDeparture(const DepartedServers::Departure& departure);
    // Returns whether any server was added.
    bool addReleasedServers();
    // Returns whether any server was removed.
    bool eraseExpiredServers();
    void rebuildIndexes();
    // Tokens at this moment.
    double refilledColdTokens(const BackendServer& server, double requestsPerSecond, int senderCount) const;
    static void addCachedObject(BackendServer& server, ObjectKey object, SteadyTime when);

    const Clock& clock;
    std::map<std::string, std::string> regionOfDomain;
    LeavingHook leavingHook;
    DepartedServers departed;
    // The newest records of the servers that are held.
    std::vector<ServerRecord> heldRecords;
    std::map<std::string, BackendServerPointer> byId;
    std::map<std::string, std::vector<BackendServerPointer>> byService;
    std::map<ServerKey, BackendServerPointer> byKey;
    // Objects that servers handled for this instance since the last report to the hub.
    std::set<CachedObject> unreportedCachedObjects;
    std::set<std::string> evacuatedDomains;
    ServerCapacityTracker ownCapacities;
    // A day with servers of unequal speeds (trial, docs/design/server-capacity.md) was served worse with Apply.
    CapacityUse capacityUse = CapacityUse::Observe;
    // Server lifetimes that said they are leaving, and when; the oldest are forgotten beyond a fixed number.
    std::map<DepartedServers::Lifetime, SteadyTime> leavingNotices;
    // Ends of the pauses that server lifetimes asked for; those that are over are removed at the next pause.
    std::map<DepartedServers::Lifetime, SteadyTime> pauses;
};

}
