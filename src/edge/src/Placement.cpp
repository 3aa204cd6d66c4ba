#include <wagtailrack/edge/Placement.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace wagtailrack::edge {

namespace {

// Objects handled longer ago than this are likely to have been replaced in the server's memory.
constexpr Milliseconds warmValidity(20000);
// Extra time counted for another failure domain of the region, so that equal servers nearby are preferred.
constexpr double otherDomainMs = 4;
// Work of a server that has just started, in relation to a warmed-up one.
constexpr double coldServerFactor = 2;
// Failures cost a repetition: this much of the route's target latency at a failure rate of 1.
constexpr double failureCost = 2.5;

// Part of the target latency that a request may wait although its work alone is longer than the target.
constexpr double leastWaitPart = 0.4;

// A run on a busy server delays those behind it; queues longer than this make no further difference.
constexpr double maximumOccupied = 3;

// Reports of load lose their weight in about this time.
constexpr double loadMemoryMs = 2500;

struct Candidate {
    BackendServerPointer server;
    uint64_t rank = 0;
    PlacementChoice choice;
};

// Delay of a region from which nothing was heard yet.
constexpr double assumedRegionDelayMs = 60;

// Work assumed until it was measured, in relation to the route's target latency, and at most to its timeout.
constexpr double assumedColdPart = 1.2;
constexpr double assumedWarmPart = 0.36;
constexpr double assumedTimeoutPart = 0.5;
// A send with less time than this part of the expected work cannot end well.
constexpr double leastWorkPart = 0.7;

struct Norm {
    double slowness = 1;
    double failureRate = 0;
};

uint64_t mix(uint64_t left, uint64_t right)
{
    uint64_t value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    return value;
}

bool isAllowed(const RouteRule& rule, const std::string& region)
{
    return rule.homeRegions.empty()
        || std::find(rule.homeRegions.begin(), rule.homeRegions.end(), region) != rule.homeRegions.end();
}

}

bool ColdSenders::include(uint64_t serverHash) const
{
    const uint64_t ownRank = mix(this->own, serverHash);
    const auto before = std::count_if(this->instances.begin(), this->instances.end(),
        [&](uint64_t instance) { return mix(instance, serverHash) > ownRank; });
    return static_cast<size_t>(before) < this->most;
}

int ColdSenders::count() const { return static_cast<int>(std::clamp<size_t>(this->instances.size(), 1, this->most)); }

uint64_t objectHashOf(const RouteRule& rule, const std::string& affinityKey)
{
    return hash64(affinityKey, hash64(rule.name));
}

double estimateLoad(const BackendServer& server, SteadyTime now)
{
    // An old report says little about this moment, but more than nothing.
    const double ageMs = std::chrono::duration<double, std::milli>(now - server.othersLoadAt).count();
    return static_cast<double>(server.inFlight) + server.othersLoad * std::exp(-ageMs / loadMemoryMs);
}

double estimateWaitMs(const BackendServer& server, const WorkEstimate& work, SteadyTime now)
{
    const double slots = static_cast<double>(std::max<int64_t>(server.record.slots, 1));
    const double ahead = estimateLoad(server, now) + 1 - slots;
    if (ahead <= 0)
        return 0;
    const double slotMs = server.averageWorkMs > 0 ? server.averageWorkMs : work.warmMs;
    return ahead / slots * slotMs;
}

WorkEstimate assumedWork(const RouteRule& rule)
{
    const auto target = static_cast<double>(rule.targetLatencyMs);
    const double most = assumedTimeoutPart * static_cast<double>(rule.timeoutMs);
    return { std::min(target * assumedColdPart, most), std::min(target * assumedWarmPart, most) };
}

bool isServable(const PlacementChoice& choice, const RouteRule& rule, double leftMs)
{
    if (choice.expectedWaitMs <= 0)
        return leftMs > 0;
    return choice.expectedWaitMs + leastWorkPart * choice.expectedWorkMs <= leftMs
        && choice.expectedWaitMs <= longestWaitMs(rule, choice.expectedWorkMs);
}

double longestWaitMs(const RouteRule& rule, double workMs)
{
    const auto target = static_cast<double>(rule.targetLatencyMs);
    return std::max(target - workMs, leastWaitPart * target);
}

// Servers that may run the request. Those that were out of reach a moment ago are left out where there are others.
static std::vector<Candidate> findCandidates(
    const BackendFleet& fleet, const PlacementRequest& request, uint64_t objectHash, SteadyTime now)
{
    std::vector<Candidate> candidates;
    for (const BackendServerPointer& server : fleet.servers(request.service.name)) {
        if (!fleet.mayUse(*server) || request.excluded.contains(server.get())
            || !isAllowed(request.rule, server->region))
            continue;
        candidates.push_back({ server, mix(objectHash, server->placementHash), {} });
    }
    const auto isAvoided = [now](const Candidate& candidate) { return candidate.server->avoidUntil > now; };
    if (!std::all_of(candidates.begin(), candidates.end(), isAvoided))
        std::erase_if(candidates, isAvoided);
    return candidates;
}

// What the best of the servers do: what all of them suffer speaks against none.
static Norm findNorm(const std::vector<Candidate>& candidates)
{
    Norm norm { candidates.front().server->slowness, candidates.front().server->failureRate };
    for (const Candidate& candidate : candidates) {
        norm.slowness = std::min(norm.slowness, candidate.server->slowness);
        norm.failureRate = std::min(norm.failureRate, candidate.server->failureRate);
    }
    norm.slowness = std::max(norm.slowness, 1.0);
    return norm;
}

static double delayTo(const PlacementRequest& request, const std::string& region)
{
    const auto found = request.regionDelaysMs.find(region);
    return found == request.regionDelaysMs.end() ? assumedRegionDelayMs : found->second;
}

// What a run on the server is expected to take and to cost others.
static PlacementChoice estimate(const Candidate& candidate, bool isPreferred, const Norm& norm,
    const PlacementRequest& request, const WorkEstimate& work, uint64_t objectHash, SteadyTime now)
{
    const BackendServer& server = *candidate.server;
    const auto handled = server.warmObjects.find(objectHash);
    const bool isWarm = !request.affinityKey.empty()
        && (isPreferred || (handled != server.warmObjects.end() && now - handled->second < warmValidity));
    double workMs = isWarm ? work.warmMs : work.coldMs;
    if (now < server.coldUntil)
        workMs *= coldServerFactor;
    workMs *= std::max(server.slowness / norm.slowness, 1.0);
    const double waitMs = estimateWaitMs(server, work, now);
    const double occupied = std::min(
        estimateLoad(server, now) / static_cast<double>(std::max<int64_t>(server.record.slots, 1)), maximumOccupied);
    double cost = waitMs + workMs * (1 + occupied);
    cost += (server.failureRate - norm.failureRate) * failureCost * static_cast<double>(request.rule.targetLatencyMs);
    if (server.region != request.region)
        cost += delayTo(request, server.region);
    else if (server.record.failureDomain != request.failureDomain)
        cost += otherDomainMs;
    return { candidate.server, cost, workMs, waitMs, objectHash, isWarm };
}

std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const WorkEstimate& work, SteadyTime now)
{
    const uint64_t objectHash = objectHashOf(request.rule, request.affinityKey);
    std::vector<Candidate> candidates = findCandidates(fleet, request, objectHash, now);
    if (candidates.empty())
        return std::nullopt;
    const Candidate* preferred = nullptr;
    const Candidate* preferredNearby = nullptr;
    for (const Candidate& candidate : candidates) {
        if (!preferred || candidate.rank > preferred->rank)
            preferred = &candidate;
        if (candidate.server->region == request.region && (!preferredNearby || candidate.rank > preferredNearby->rank))
            preferredNearby = &candidate;
    }
    const Norm norm = findNorm(candidates);
    for (Candidate& candidate : candidates) {
        const bool isPreferred = &candidate == preferred || (request.hasLocalCopy && &candidate == preferredNearby);
        candidate.choice = estimate(candidate, isPreferred, norm, request, work, objectHash, now);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.choice.cost != right.choice.cost ? left.choice.cost < right.choice.cost : left.rank > right.rank;
    });
    for (Candidate& candidate : candidates) {
        BackendServer& server = *candidate.server;
        if (server.coldUntil <= now)
            return candidate.choice;
        // Only its own region sends to a server while it is cold, so that the shares add up to what it bears.
        if (server.region == request.region && request.coldSenders.include(server.placementHash)
            && fleet.takeColdToken(server, request.service.coldRequestsPerSecond, request.coldSenders.count()))
            return candidate.choice;
    }
    return std::nullopt;
}

}
