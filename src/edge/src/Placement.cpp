#include <wagtailrack/edge/Placement.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

namespace {

// Objects handled longer ago than this are likely to have been replaced in the server's memory.
constexpr Milliseconds cachedObjectValidity(20000);
// Work of a server that has just started, in relation to a warmed-up one.
constexpr double coldServerProcessingFactor = 2;

// A late answer in relation to one in time, as the users' sheets have it for every kind of request.
constexpr double lateAnswerScore = 0.2;
// The estimate of an answer's time is off by about this part of the target latency.
constexpr double latencyUncertaintyRatio = 0.15;
// Failures that all servers share count up to this rate.
constexpr double maximumCommonFailureRate = 0.9;
// A slot of a region without free slots could have served another request in time. The price of a run grows between
// these parts of the slots in use, waiting requests included.
constexpr double costFreeUtilisation = 0.6;
constexpr double fullCostUtilisation = 1.0;
constexpr double maximumSlotCost = 0.5;
// Other regions keep this part of their slots for requests of their own.
constexpr double otherRegionReservedRatio = 0.15;
// Of equally good servers the nearer and quicker one is taken: value lost for each millisecond of waiting and work, of
// the way to another region, whose bytes cost more, and for another failure domain.
constexpr double penaltyPerMs = 0.0002;
constexpr double penaltyPerOtherRegionMs = 0.0005;
constexpr double otherDomainPenalty = 0.01;

// Reports of load by servers lose their weight in about this time; beside totals of all instances, which are newer,
// sooner.
constexpr double loadReportDecayMs = 2500;
constexpr double loadReportDecayWithTotalsMs = 300;
// Totals are told more often than this while a hub is there.
constexpr Milliseconds totalLoadValidity(1000);
// The first servers of an object's order in the own region and in another one. Others are used only when these are so
// busy that one more server is worth learning the object.
constexpr size_t topRankedInOwnRegion = 3;
constexpr size_t topRankedInOtherRegion = 2;
constexpr double topRankedUncachedPenalty = 0.03;
constexpr double lowRankedUncachedPenalty = 0.08;
// Value of staying elsewhere while the region's requests return faster than they may.
constexpr double returnLimitBonus = 0.3;
// Servers that fail more often than this are no room.
constexpr double failingServerRate = 0.5;

// Round trip to a region from which nothing was heard yet.
constexpr double defaultRoundTripMs = 60;

// Work assumed until it was measured, in relation to the route's target latency, and at most to its timeout.
constexpr double initialUncachedTargetRatio = 1.2;
constexpr double initialCachedTargetRatio = 0.36;
constexpr double maximumInitialTimeoutRatio = 0.5;

struct Candidate {
    BackendServerPointer server;
    uint64_t rank = 0;
    double load = 0;
    bool isTopRanked = false;
    PlacementChoice choice;
};

// What the servers of a service have in common.
struct ServiceStatistics {
    // Slowness of the middle one and failures of the best one: what all of them suffer speaks against none.
    double medianLatencyRatio = 1;
    double lowestFailureRate = 0;
    // Price of a warm run, by region.
    std::map<std::string_view, double> slotCosts;
};

uint64_t combineHashes(uint64_t left, uint64_t right)
{
    uint64_t value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    return value;
}

bool isHomeRegion(const RouteRule& rule, const std::string& region)
{
    return rule.homeRegions.empty()
        || std::find(rule.homeRegions.begin(), rule.homeRegions.end(), region) != rule.homeRegions.end();
}

double slotsOf(const BackendServer& server) { return static_cast<double>(std::max<int64_t>(server.record.slots, 1)); }

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// Probability that a time with this margin before a limit is kept.
double probabilityOfMeetingLimit(double marginMs, double uncertainMs)
{
    return 1 / (1 + std::exp(-marginMs / uncertainMs));
}

double queueWaitMs(double load, const BackendServer& server, const ProcessingTimeEstimate& work)
{
    const double ahead = load + 1 - slotsOf(server);
    if (ahead <= 0)
        return 0;
    const double slotMs = server.averageProcessingMs > 0 ? server.averageProcessingMs : work.cachedMs;
    return ahead / slotsOf(server) * slotMs;
}

// Servers that may run the request, in the object's order. Those that were out of reach a moment ago are left out where
// there are others.
std::vector<Candidate> findCandidates(
    const BackendFleet& fleet, const PlacementRequest& request, uint64_t objectHash, SteadyTime now)
{
    std::vector<Candidate> candidates;
    for (const BackendServerPointer& server : fleet.servers(request.service.name)) {
        if (!fleet.isUsable(*server) || request.excludedServers.contains(server.get())
            || !isHomeRegion(request.rule, server->region))
            continue;
        candidates.push_back(
            { server, combineHashes(objectHash, server->placementHash), estimateLoad(*server, now), false, {} });
    }
    const auto isAvoided = [now](const Candidate& candidate) { return candidate.server->avoidUntil > now; };
    if (!std::all_of(candidates.begin(), candidates.end(), isAvoided))
        std::erase_if(candidates, isAvoided);
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.rank > right.rank; });
    std::map<std::string_view, size_t> counts;
    for (Candidate& candidate : candidates) {
        const std::string& region = candidate.server->region;
        candidate.isTopRanked
            = counts[region]++ < (region == request.ownRegion ? topRankedInOwnRegion : topRankedInOtherRegion);
    }
    return candidates;
}

// Leaves out the servers of other regions when no more requests may leave this one now.
void limitCandidatesToOwnRegion(std::vector<Candidate>& candidates, const PlacementRequest& request)
{
    double slots = 0;
    bool hasOwn = false;
    for (const Candidate& candidate : candidates) {
        if (candidate.server->region != request.ownRegion)
            continue;
        hasOwn = true;
        slots += candidate.server->failureRate < failingServerRate ? slotsOf(*candidate.server) : 0;
    }
    request.shiftLimiter.recordOwnRegionSlots(request.service.name, slots);
    if (hasOwn && !request.shiftLimiter.canSendCrossRegion(request.service.name))
        std::erase_if(candidates,
            [&request](const Candidate& candidate) { return candidate.server->region != request.ownRegion; });
}

ServiceStatistics computeServiceStatistics(const std::vector<Candidate>& candidates, const std::string& ownRegion)
{
    ServiceStatistics view;
    std::vector<double> slownesses;
    slownesses.reserve(candidates.size());
    view.lowestFailureRate = maximumCommonFailureRate;
    std::map<std::string_view, std::pair<double, double>> loadAndSlots;
    for (const Candidate& candidate : candidates) {
        slownesses.push_back(candidate.server->latencyRatio);
        view.lowestFailureRate = std::min(view.lowestFailureRate, candidate.server->failureRate);
        auto& [load, slots] = loadAndSlots[candidate.server->region];
        load += candidate.load;
        slots += slotsOf(*candidate.server);
    }
    const auto middle = slownesses.begin() + static_cast<std::ptrdiff_t>(slownesses.size() / 2);
    std::nth_element(slownesses.begin(), middle, slownesses.end());
    view.medianLatencyRatio = std::max(*middle, 1.0);
    for (const auto& [region, sums] : loadAndSlots) {
        const double utilisation = sums.first / sums.second + (region == ownRegion ? 0 : otherRegionReservedRatio);
        const double fullness = (utilisation - costFreeUtilisation) / (fullCostUtilisation - costFreeUtilisation);
        view.slotCosts[region] = maximumSlotCost * std::clamp(fullness, 0.0, 1.0);
    }
    return view;
}

double networkDelayMs(const PlacementRequest& request, const BackendServer& server)
{
    if (server.region == request.ownRegion)
        return 0;
    const auto found = request.roundTripsMs.find(server.region);
    const double roundTripMs = found == request.roundTripsMs.end() ? defaultRoundTripMs : found->second;
    return request.hasConnection(server) ? roundTripMs : 2 * roundTripMs;
}

// What a run on the server is expected to take and to be worth.
PlacementChoice scoreCandidate(const Candidate& candidate, bool isPreferred, const ServiceStatistics& view,
    const PlacementRequest& request, const ProcessingTimeEstimate& work, uint64_t objectHash, SteadyTime now)
{
    const BackendServer& server = *candidate.server;
    const auto handled = server.cachedObjects.find(objectKeyOf(objectHash));
    PlacementChoice choice;
    choice.server = candidate.server;
    choice.objectHash = objectHash;
    const bool isKnown = handled != server.cachedObjects.end() && now - handled->second < cachedObjectValidity;
    // Without a hub nothing is heard of what others sent; the preferred server then knows the object most likely.
    const bool isLikely = isPreferred && now - server.totalLoadAt >= totalLoadValidity;
    choice.isObjectCached = !request.affinityKey.empty() && (isKnown || isLikely);
    choice.expectedProcessingMs = choice.isObjectCached ? work.cachedMs : work.uncachedMs;
    if (now < server.coldUntil)
        choice.expectedProcessingMs *= coldServerProcessingFactor;
    choice.expectedProcessingMs *= std::max(server.latencyRatio / view.medianLatencyRatio, 1.0);
    choice.expectedWaitMs = queueWaitMs(candidate.load, server, work);

    const double delayMs = networkDelayMs(request, server);
    const double totalMs = delayMs + choice.expectedWaitMs + choice.expectedProcessingMs;
    const auto targetMs = static_cast<double>(request.rule.targetLatencyMs);
    const double uncertainMs = latencyUncertaintyRatio * targetMs;
    const double elapsedMs = millisecondsBetween(request.arrivedAt, now);
    const double beforeDeadline
        = probabilityOfMeetingLimit(millisecondsBetween(now, request.deadline) - totalMs, uncertainMs);
    const double inTime
        = std::min(probabilityOfMeetingLimit(targetMs - elapsedMs - totalMs, uncertainMs), beforeDeadline);
    const double success = std::min(1.0, (1 - server.failureRate) / (1 - view.lowestFailureRate));
    choice.score = success * (inTime + lateAnswerScore * (beforeDeadline - inTime));
    choice.score -= view.slotCosts.at(server.region) * choice.expectedProcessingMs / std::max(work.cachedMs, 1.0);
    choice.score
        -= penaltyPerMs * (choice.expectedWaitMs + choice.expectedProcessingMs) + penaltyPerOtherRegionMs * delayMs;
    if (server.record.failureDomain != request.ownFailureDomain)
        choice.score -= otherDomainPenalty;
    if (!choice.isObjectCached && !isPreferred)
        choice.score -= candidate.isTopRanked ? topRankedUncachedPenalty : lowRankedUncachedPenalty;
    if (server.region != request.ownRegion && choice.isObjectCached && request.shiftLimiter.isReturningTooFast())
        choice.score += returnLimitBonus;
    return choice;
}

}

bool ColdServerSenders::isSenderTo(uint64_t serverHash) const
{
    const uint64_t ownRank = combineHashes(this->ownHash, serverHash);
    const auto before = std::count_if(this->instanceHashes.begin(), this->instanceHashes.end(),
        [&](uint64_t instance) { return combineHashes(instance, serverHash) > ownRank; });
    return static_cast<size_t>(before) < this->maximumSenders;
}

int ColdServerSenders::count() const
{
    return static_cast<int>(std::clamp<size_t>(this->instanceHashes.size(), 1, this->maximumSenders));
}

uint64_t objectHashOf(const RouteRule& rule, const std::string& affinityKey)
{
    return hash64(affinityKey, hash64(rule.name));
}

double estimateLoad(const BackendServer& server, SteadyTime now)
{
    const double ageMs = millisecondsBetween(server.otherInstancesLoadAt, now);
    const bool hasTotal = now - server.totalLoadAt < totalLoadValidity;
    // An old report says little about this moment, but more than nothing.
    const double told
        = server.otherInstancesLoad * std::exp(-ageMs / (hasTotal ? loadReportDecayWithTotalsMs : loadReportDecayMs));
    const double others = hasTotal ? server.totalLoad - static_cast<double>(server.reportedInFlight) : 0;
    return static_cast<double>(server.inFlight) + std::max(others, told);
}

double estimateWaitMs(const BackendServer& server, const ProcessingTimeEstimate& work, SteadyTime now)
{
    return queueWaitMs(estimateLoad(server, now), server, work);
}

ProcessingTimeEstimate initialProcessingTime(const RouteRule& rule)
{
    const auto target = static_cast<double>(rule.targetLatencyMs);
    const double most = maximumInitialTimeoutRatio * static_cast<double>(rule.timeoutMs);
    return { std::min(target * initialUncachedTargetRatio, most), std::min(target * initialCachedTargetRatio, most) };
}

bool shouldSend(const PlacementChoice& choice) { return choice.expectedWaitMs <= 0 || choice.score > 0; }

std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const ProcessingTimeEstimate& work, SteadyTime now)
{
    if (now >= request.deadline)
        return std::nullopt;
    const uint64_t objectHash = objectHashOf(request.rule, request.affinityKey);
    std::vector<Candidate> candidates = findCandidates(fleet, request, objectHash, now);
    if (candidates.empty())
        return std::nullopt;
    limitCandidatesToOwnRegion(candidates, request);
    // An object is mostly asked for in one region, so the first server of the own one is taken to know it.
    const auto nearby = std::find_if(candidates.begin(), candidates.end(),
        [&request](const Candidate& candidate) { return candidate.server->region == request.ownRegion; });
    const Candidate* preferred = nearby == candidates.end() ? &candidates.front() : &*nearby;
    const ServiceStatistics view = computeServiceStatistics(candidates, request.ownRegion);
    for (Candidate& candidate : candidates)
        candidate.choice = scoreCandidate(candidate, &candidate == preferred, view, request, work, objectHash, now);
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.choice.score != right.choice.score ? left.choice.score > right.choice.score
                                                       : left.rank > right.rank;
    });
    for (Candidate& candidate : candidates) {
        BackendServer& server = *candidate.server;
        if (server.coldUntil <= now)
            return candidate.choice;
        // Only its own region sends to a server while it is cold, so that the shares add up to what it bears.
        if (server.region == request.ownRegion && request.coldServerSenders.isSenderTo(server.placementHash)
            && fleet.tryTakeColdToken(server, request.service.coldRequestsPerSecond, request.coldServerSenders.count()))
            return candidate.choice;
    }
    return std::nullopt;
}

}
