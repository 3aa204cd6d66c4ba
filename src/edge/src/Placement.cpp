#include <wagtailrack/edge/Placement.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <map>
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

double longestWaitMs(const RouteRule& rule, double workMs)
{
    const auto target = static_cast<double>(rule.targetLatencyMs);
    return std::max(target - workMs, leastWaitPart * target);
}

// Candidates by region. Servers that were out of reach a moment ago are left out where a region has others.
static std::map<std::string, std::vector<Candidate>> findCandidates(
    const BackendFleet& fleet, const PlacementRequest& request, uint64_t objectHash, SteadyTime now)
{
    std::map<std::string, std::vector<Candidate>> byRegion;
    for (const BackendServerPointer& server : fleet.servers(request.service.name)) {
        if (!fleet.mayUse(*server) || request.excluded.contains(server.get())
            || !isAllowed(request.rule, server->region))
            continue;
        // Only its own region sends to a server while it is cold, so that the shares add up to what it bears.
        if (now < server->coldUntil && server->region != request.region)
            continue;
        byRegion[server->region].push_back({ server, mix(objectHash, server->placementHash), {} });
    }
    const auto isAvoided = [now](const Candidate& candidate) { return candidate.server->avoidUntil > now; };
    for (auto& [region, candidates] : byRegion) {
        if (!std::all_of(candidates.begin(), candidates.end(), isAvoided))
            std::erase_if(candidates, isAvoided);
    }
    return byRegion;
}

// Fills in what each candidate of a region is expected to take and sorts them, best first.
static void rankCandidates(std::vector<Candidate>& candidates, const PlacementRequest& request,
    const WorkEstimate& work, uint64_t objectHash, SteadyTime now)
{
    const auto preferred = std::max_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.rank < right.rank; });
    for (Candidate& candidate : candidates) {
        const BackendServer& server = *candidate.server;
        const auto handled = server.warmObjects.find(objectHash);
        const bool isWarm = !request.affinityKey.empty()
            && (&candidate == &*preferred
                || (handled != server.warmObjects.end() && now - handled->second < warmValidity));
        double workMs = isWarm ? work.warmMs : work.coldMs;
        if (now < server.coldUntil)
            workMs *= coldServerFactor;
        workMs *= std::max(server.slowness, 0.5);
        const double waitMs = estimateWaitMs(server, work, now);
        double expected = waitMs + workMs;
        expected += server.failureRate * failureCost * static_cast<double>(request.rule.targetLatencyMs);
        if (server.region != request.region)
            expected += request.otherRegionMs;
        else if (server.record.failureDomain != request.failureDomain)
            expected += otherDomainMs;
        candidate.choice = { candidate.server, expected, workMs, waitMs, objectHash, isWarm };
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.choice.expectedMs != right.choice.expectedMs ? left.choice.expectedMs < right.choice.expectedMs
                                                                 : left.rank > right.rank;
    });
}

std::optional<PlacementChoice> chooseServer(BackendFleet& fleet, RegionShares& shares, const PlacementRequest& request,
    const WorkEstimate& work, SteadyTime now)
{
    const uint64_t objectHash = hash64(request.affinityKey, hash64(request.rule.name));
    auto byRegion = findCandidates(fleet, request, objectHash, now);
    if (byRegion.empty())
        return std::nullopt;
    std::vector<RegionOffer> offers;
    for (auto& [region, candidates] : byRegion) {
        rankCandidates(candidates, request, work, objectHash, now);
        double slots = 0;
        for (const Candidate& candidate : candidates)
            slots += static_cast<double>(candidate.server->record.slots);
        offers.push_back({ region, candidates.front().choice.expectedMs, slots });
    }
    const std::string& region = shares.choose(offers, now);
    for (Candidate& candidate : byRegion[region]) {
        BackendServer& server = *candidate.server;
        if (server.coldUntil <= now
            || fleet.takeColdToken(server, request.service.coldRequestsPerSecond, request.sendersInRegion))
            return candidate.choice;
    }
    return std::nullopt;
}

}
