#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/RoutingTable.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Work of a route's requests as this instance measures it, on servers that have handled the object before and on
// others.
struct ProcessingTimeEstimate {
    double uncachedMs = 0;
    double cachedMs = 0;

    friend bool operator==(const ProcessingTimeEstimate&, const ProcessingTimeEstimate&) = default;
};

// Which instances of a region send to a server while it is cold: a few for each server, the same as every instance sees
// it, since each one may have a request in hand at the same moment.
struct ColdServerSenders {
    // Hashes of the region's instances, this one included, and of this one.
    std::vector<uint64_t> instanceHashes;
    uint64_t ownHash = 0;
    size_t maximumSenders = 1;

    bool isSenderTo(uint64_t serverHash) const;
    int count() const;
};

// Work of a route of which nothing was measured yet.
ProcessingTimeEstimate initialProcessingTime(const RouteRule& rule);

// What the choice of a server for one request depends on, beside the fleet.
struct PlacementRequest {
    const RouteRule& rule;
    const ServiceSettings& service;
    // Empty when the request names no object.
    std::string affinityKey;
    // Region of this instance, the one that callers reach it from.
    std::string ownRegion;
    std::string ownFailureDomain;
    // Round trips to other regions.
    const std::map<std::string, double>& roundTripsMs;
    // Whether a request can be sent to the server without connecting first. Asked for servers of other regions only.
    std::function<bool(const BackendServer&)> hasConnection;
    SteadyTime arrivedAt;
    SteadyTime deadline;
    // Bounds how fast requests leave this region.
    ShiftLimiter& shiftLimiter;
    // Instances that send to cold servers of this region.
    const ColdServerSenders& coldServerSenders;
    // Servers that must not be chosen again.
    const std::set<const BackendServer*>& excludedServers;
};

// Identifies the object that a request concerns.
uint64_t objectHashOf(const RouteRule& rule, const std::string& affinityKey);
inline ObjectKey objectKeyOf(uint64_t objectHash) { return static_cast<ObjectKey>(objectHash); }

struct PlacementChoice {
    BackendServerPointer server;
    // What the answer is expected to be worth to its caller, 1 within the target latency, less what the run keeps
    // others from.
    double score = 0;
    double expectedProcessingMs = 0;
    double expectedWaitMs = 0;
    uint64_t objectHash = 0;
    bool isObjectCached = false;
};

// Estimated waiting time for a slot of the server.
double estimateWaitMs(const BackendServer& server, const ProcessingTimeEstimate& work, SteadyTime now);

// Requests on the server: this instance's own and those of others, as the hub or the server itself told them.
double estimateLoad(const BackendServer& server, SteadyTime now);

// Whether the request is to be sent. Without a queue it always is: the estimate of work may be wrong, and a route whose
// requests were all rejected would never be measured.
bool shouldSend(const PlacementChoice& choice);

// Chooses the server with the largest expected value. Each object has its own order of servers (rendezvous hashing),
// the same on every instance; the first one of the own region is taken to know the object. Nothing when no server may
// be used or the deadline has passed. May take a token of a cold server.
std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const ProcessingTimeEstimate& work, SteadyTime now);

}
