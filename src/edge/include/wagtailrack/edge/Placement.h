#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/RegionShares.h>
#include <wagtailrack/edge/RoutingTable.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Processing time on a server in its cold start, relative to a server after it.
inline constexpr double coldServerProcessingFactor = 2;

// Processing time of a route's requests as this instance measures it: `cachedMs` on servers that have handled the
// request's object before, `uncachedMs` on other servers.
struct ProcessingTimeEstimate {
    double uncachedMs = 0;
    double cachedMs = 0;

    friend bool operator==(const ProcessingTimeEstimate&, const ProcessingTimeEstimate&) = default;
};

// Selects the instances of a region that may send requests to a server during its cold start. The number is limited
// because each of these instances may have a request in flight at the same moment. The selection is by hash, so that
// all instances with the same membership list agree on it.
struct ColdServerSenders {
    // Hashes of all instances of the region, including this instance.
    std::vector<uint64_t> instanceHashes;
    uint64_t ownHash = 0;
    size_t maximumSenders = 1;
    // Whether the list of instances is complete. An instance that does not know the others yet would take the whole
    // rate of a cold server for itself, as would all others that started or resumed at the same moment.
    bool isSettled = true;

    bool isSenderTo(uint64_t serverHash) const;
    int count() const;
};

// Estimate for a route without measurements, derived from the route's target latency and timeout.
ProcessingTimeEstimate initialProcessingTime(const RouteRule& rule);

// Inputs of the server selection for one request, in addition to the fleet.
struct PlacementRequest {
    const RouteRule& rule;
    const ServiceSettings& service;
    // Empty when the request names no object.
    std::string affinityKey;
    // Region of this instance. Callers reach the instance from the same region.
    std::string ownRegion;
    std::string ownFailureDomain;
    // Round-trip times to other regions, by region name.
    const std::map<std::string, double>& roundTripsMs;
    // Returns whether an open connection to the server can be reused. Called for servers of other regions only.
    std::function<bool(const BackendServer&)> hasConnection;
    SteadyTime arrivedAt;
    SteadyTime deadline;
    // Limits how fast the ratio of cross-region requests of this region changes.
    ShiftLimiter& shiftLimiter;
    // Selects the instances that may send to cold servers of this region.
    const ColdServerSenders& coldServerSenders;
    // Servers that must not be chosen for this request again.
    const std::set<const BackendServer*>& excludedServers;
    // Whether an object of which nothing is known is probably in the cache of its preferred server: this process
    // replaces one that sent it there, and has not heard yet what other instances know.
    bool isPreferredServerWarm = false;
    // Null: all objects belong to the own region.
    RegionShares* regionShares = nullptr;
};

// Inputs of rankServers(): those of a PlacementRequest, without the objects that a decision changes. The referenced
// objects must outlive it.
struct RankingRequest {
    const RouteRule& rule;
    const ServiceSettings& service;
    const std::string& affinityKey;
    const std::string& ownRegion;
    const std::string& ownFailureDomain;
    const std::map<std::string, double>& roundTripsMs;
    const std::function<bool(const BackendServer&)>& hasConnection;
    SteadyTime arrivedAt;
    SteadyTime deadline;
    const ShiftLimiter& shiftLimiter;
    const ColdServerSenders& coldServerSenders;
    const std::set<const BackendServer*>& excludedServers;
    bool isPreferredServerWarm = false;
    // Empty: all objects belong to the own region.
    const std::vector<RegionShare>& regionShares;
};

// Identifies the object of a request: a hash of the route's name and the affinity key.
uint64_t objectHashOf(const RouteRule& rule, const std::string& affinityKey);
inline ObjectKey objectKeyOf(uint64_t objectHash) { return static_cast<ObjectKey>(objectHash); }

struct PlacementChoice {
    BackendServerPointer server;
    // Expected utility of the response for the caller (1 if it arrives within the target latency), minus the cost of
    // occupying a slot that other requests could use, and minus penalties for latency and distance.
    double score = 0;
    double expectedProcessingMs = 0;
    double expectedWaitMs = 0;
    // Estimated number of requests on the server, without this one.
    double load = 0;
    // Requests per slot on the candidate servers of the server's region, including waiting requests.
    double utilisation = 0;
    uint64_t objectHash = 0;
    bool isObjectCached = false;
};

// Why a server of the service cannot be chosen for a request.
enum class ServerExclusion {
    None,
    // The server leaves or has left.
    Leaving,
    // Its failure domain is being evacuated.
    Evacuated,
    // The route or the workspace does not allow its region.
    OtherHomeRegion,
    // The request was sent there before.
    AlreadyTried,
    // The server asked for a pause.
    Pausing,
    // After a pause, the server already has the requests that may be in flight on it.
    Resuming,
    // It was unreachable a short time ago, and others were not.
    Avoided,
    // The shift limiter allows no further requests to other regions now.
    ShiftLimit,
    // During a cold start: this instance is not among those that may send to the server, or has no token left.
    ColdOtherSender,
    ColdWithoutToken,
};

const char* toString(ServerExclusion exclusion) noexcept;

// A server that may execute a request, with its score.
struct PlacementCandidate {
    BackendServerPointer server;
    // Position in the object's rendezvous order; the highest is the first.
    uint64_t rank = 0;
    double load = 0;
    bool isTopRanked = false;
    PlacementChoice choice;
};

struct ExcludedServer {
    BackendServerPointer server;
    ServerExclusion reason = ServerExclusion::None;
};

// Result of rankServers().
struct ServerRanking {
    uint64_t objectHash = 0;
    std::string objectRegion;
    // Ordered by score, the best first.
    std::vector<PlacementCandidate> candidates;
    // Requests per slot, by region. The keys refer to servers of `candidates`.
    std::map<std::string_view, double> utilisations;
    // Usable slots of the candidates of the own region, before the shift limit is applied.
    double ownRegionSlots = 0;
};

// Estimated time that a new request waits for a free slot of the server.
double estimateWaitMs(const BackendServer& server, const ProcessingTimeEstimate& processingTime, SteadyTime now);

// Estimated number of requests on the server: those of this instance, plus those of other instances according to the
// hub or to the server's own load reports.
double estimateLoad(const BackendServer& server, SteadyTime now);

// Returns whether the server has handled the object recently enough to have it in its cache.
bool isObjectProbablyCached(const BackendServer& server, uint64_t objectHash, SteadyTime now);

// Estimated time on the network to the server and back; twice that if a connection has to be opened.
double estimateNetworkMs(const RankingRequest& request, const BackendServer& server);

// Returns the time at which the first of the servers that could be chosen ends the pause that it asked for; nothing
// unless all of them pause.
std::optional<SteadyTime> earliestPauseEnd(
    const BackendFleet& fleet, const std::string& service, const RouteRule& rule, SteadyTime now);

// Returns whether the request should be sent rather than rejected. A request that finds a free slot is always sent: the
// processing-time estimate may be wrong, and it would never be corrected if all requests of the route were rejected.
bool shouldSend(const PlacementChoice& choice, bool isReturning = false);

// Scores the servers that may execute the request; changes nothing. `excluded`, if it is not null, gets the other
// servers of the service, each with one reason.
ServerRanking rankServers(const BackendFleet& fleet, const RankingRequest& request,
    const ProcessingTimeEstimate& processingTime, SteadyTime now, std::vector<ExcludedServer>* excluded = nullptr);

// Returns what chooseServer() would return for this ranking, without taking a token. `skipped`, if it is not null, gets
// the servers with higher scores, which are in their cold start.
std::optional<PlacementChoice> previewChoice(const BackendFleet& fleet, const RankingRequest& request,
    const ServerRanking& ranking, SteadyTime now, std::vector<ExcludedServer>* skipped = nullptr);

// Chooses the server with the highest score. Rendezvous hashing gives each object its own order of servers, the same on
// every instance; the first server of the object's region is its preferred server. That is the own region, unless it
// has less room than its callers need (RegionShares). Returns nothing when no server may be used or the deadline has
// passed. Takes a token if the chosen server is in its cold start.
std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const ProcessingTimeEstimate& processingTime, SteadyTime now);

}
