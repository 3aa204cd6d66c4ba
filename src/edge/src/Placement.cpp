#include <wagtailrack/edge/Placement.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
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

struct Candidate {
    BackendServerPointer server;
    uint64_t rank = 0;
    PlacementChoice choice;
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

double estimateLoad(const BackendServer& server, SteadyTime now)
{
    const double others = now < server.othersLoadUntil ? server.othersLoad : server.othersLoad / 4;
    return static_cast<double>(server.inFlight) + others;
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

std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const WorkEstimate& work, SteadyTime now)
{
    const bool hasObject = !request.affinityKey.empty();
    const uint64_t objectHash = hash64(request.affinityKey, hash64(request.rule.name));
    std::vector<Candidate> nearby;
    std::vector<Candidate> remote;
    for (const BackendServerPointer& server : fleet.servers(request.service.name)) {
        if (!fleet.mayUse(*server) || request.excluded.contains(server.get())
            || !isAllowed(request.rule, server->region))
            continue;
        Candidate candidate { server, mix(objectHash, server->placementHash), {} };
        (server->region == request.region ? nearby : remote).push_back(std::move(candidate));
    }
    const bool isRemote = nearby.empty();
    std::vector<Candidate>& candidates = isRemote ? remote : nearby;
    // Servers that were out of reach a moment ago are used only when there is no other.
    const auto isAvoided = [now](const Candidate& candidate) { return candidate.server->avoidUntil > now; };
    if (!std::all_of(candidates.begin(), candidates.end(), isAvoided))
        std::erase_if(candidates, isAvoided);
    if (candidates.empty())
        return std::nullopt;
    const auto preferred = std::max_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.rank < right.rank; });
    for (Candidate& candidate : candidates) {
        const BackendServer& server = *candidate.server;
        const auto handled = server.warmObjects.find(objectHash);
        const bool isWarm = hasObject
            && (&candidate == &*preferred
                || (handled != server.warmObjects.end() && now - handled->second < warmValidity));
        double workMs = isWarm ? work.warmMs : work.coldMs;
        if (now < server.coldUntil)
            workMs *= coldServerFactor;
        workMs *= std::max(server.slowness, 0.5);
        double expected = estimateWaitMs(server, work, now) + workMs;
        expected += server.failureRate * failureCost * static_cast<double>(request.rule.targetLatencyMs);
        if (server.record.failureDomain != request.failureDomain)
            expected += otherDomainMs;
        candidate.choice = { candidate.server, expected, workMs, objectHash, isWarm };
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.choice.expectedMs != right.choice.expectedMs ? left.choice.expectedMs < right.choice.expectedMs
                                                                 : left.rank > right.rank;
    });
    for (Candidate& candidate : candidates) {
        BackendServer& server = *candidate.server;
        if (server.coldUntil <= now)
            return candidate.choice;
        // Only the server's own region sends to it while it is cold, so that the shares add up to what it bears.
        if (!isRemote
            && fleet.takeColdToken(server, request.service.coldRequestsPerSecond, request.sendersInRegion))
            return candidate.choice;
    }
    return std::nullopt;
}

}
