#include <wagtailrack/edge/Placement.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

namespace {

// Objects that a server handled longer ago than this have probably been evicted from its cache.
constexpr Milliseconds cachedObjectValidity(20000);

// Score of a response after the target latency, relative to one within it. The users rate late responses so for every
// kind of request.
constexpr double lateAnswerScore = 0.2;
// Typical error of the response-time estimate, as a fraction of the target latency.
constexpr double latencyUncertaintyRatio = 0.15;
// Limit of the failure rate that is attributed to the service as a whole rather than to single servers.
constexpr double maximumCommonFailureRate = 0.9;
// Opportunity cost of a slot: in a region without free slots, the slot could have served another request in time. The
// cost grows from zero to the maximum between these two utilisations (requests per slot, including waiting requests).
constexpr double costFreeUtilisation = 0.6;
constexpr double fullCostUtilisation = 1.0;
constexpr double maximumSlotCost = 0.5;
// Fraction of the slots of other regions that is reserved for the requests of those regions.
constexpr double otherRegionReservedRatio = 0.15;
// Penalties that make the nearer and faster of otherwise equal servers win: for each millisecond of waiting and
// processing, for each millisecond of network delay to another region (higher, because traffic between regions costs
// more), and for another failure domain.
constexpr double penaltyPerMs = 0.0002;
constexpr double penaltyPerOtherRegionMs = 0.0005;
constexpr double otherDomainPenalty = 0.01;

// Decay times of the weight of a server's own load report. The decay is faster while the hub's totals over all
// instances are available, because these are newer.
constexpr double loadReportDecayMs = 2500;
constexpr double loadReportDecayWithTotalsMs = 300;
// The hub sends totals more often than this, so older totals mean that there is no hub.
constexpr Milliseconds totalLoadValidity(1000);
// Number of top-ranked servers of an object in its region and in each other region. The object is sent to further
// servers only when the top-ranked ones are so busy that one more uncached execution costs less than waiting. The
// penalties apply to servers that do not have the object in their cache.
constexpr size_t topRankedInObjectRegion = 3;
constexpr size_t topRankedInOtherRegion = 2;
constexpr double topRankedUncachedPenalty = 0.03;
constexpr double lowRankedUncachedPenalty = 0.08;
// Score bonus for staying in another region that has the object in a cache, while traffic returns to the own region
// faster than the limit.
constexpr double returnLimitBonus = 0.3;
// Lowest score at which the request of a caller that was rejected before is sent: it is served late rather than
// rejected a second time, after which callers give up.
constexpr double returningScoreThreshold = -0.5;
// A server that has handled less than this fraction of the objects that a server of its region has on average is given
// objects that prefer it although other servers have them cached, one in each interval: servers that were added take
// their share of the load without many uncached executions at once.
constexpr double underusedObjectRatio = 0.5;
constexpr Milliseconds underusedFillInterval(2000);
constexpr double underusedFillBonus = 1;
// Servers with a higher failure rate do not count as capacity.
constexpr double failingServerRate = 0.5;

// Round-trip time assumed for a region without a measurement.
constexpr double defaultRoundTripMs = 60;

// Processing times assumed for a route without measurements, as fractions of the route's target latency, and their
// upper limit as a fraction of the route's timeout.
constexpr double initialUncachedTargetRatio = 1.2;
constexpr double initialCachedTargetRatio = 0.36;
constexpr double maximumInitialTimeoutRatio = 0.5;

using Candidate = PlacementCandidate;

// Statistics over all candidate servers of a service.
struct ServiceStatistics {
    // Baselines that the servers are compared with: median latency ratio and lowest failure rate. Slowness and failures
    // that affect all servers must not count against any single one.
    double medianLatencyRatio = 1;
    double lowestFailureRate = 0;
    // Whether any server is known to have handled the object of the request.
    bool isObjectKnown = false;
    // Opportunity cost of executing a request for a cached object, by region.
    std::map<std::string_view, double> slotCosts;
    // Requests per slot, by region.
    std::map<std::string_view, double> utilisations;
};

uint64_t combineHashes(uint64_t left, uint64_t right)
{
    uint64_t hash = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6) + (left >> 2));
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

bool isHomeRegion(const RouteRule& rule, const std::string& region)
{
    return rule.homeRegions.empty()
        || std::find(rule.homeRegions.begin(), rule.homeRegions.end(), region) != rule.homeRegions.end();
}

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// Probability that an event happens before a limit when it is expected `marginMs` earlier (logistic distribution).
double probabilityOfMeetingLimit(double marginMs, double uncertaintyMs)
{
    return 1 / (1 + std::exp(-marginMs / uncertaintyMs));
}

double queueWaitMs(double load, const BackendServer& server, const ProcessingTimeEstimate& processingTime)
{
    const double requestsBeyondSlots = load + 1 - usableSlots(server);
    if (requestsBeyondSlots <= 0)
        return 0;
    const double processingMs = server.averageProcessingMs > 0 ? server.averageProcessingMs : processingTime.cachedMs;
    return requestsBeyondSlots / usableSlots(server) * processingMs;
}

// Returns the region that the object belongs to, among the regions of the servers that may execute the request: the own
// region unless it has less room than its callers need.
std::string regionOfObject(const RankingRequest& request, uint64_t objectHash)
{
    const std::vector<RegionShare>& shares = request.regionShares;
    if (shares.empty() || request.affinityKey.empty())
        return request.ownRegion;
    const size_t found = RegionShares::regionOf(
        objectHash, shares, [&request](const std::string& region) { return isHomeRegion(request.rule, region); });
    return found == shares.size() ? request.ownRegion : shares[found].region;
}

// Returns why the server is left out, whatever the other servers are like.
ServerExclusion exclusionOf(
    const BackendFleet& fleet, const RankingRequest& request, const BackendServer& server, SteadyTime now)
{
    if (!fleet.isUsable(server))
        return server.isLeaving ? ServerExclusion::Leaving : ServerExclusion::Evacuated;
    if (!isHomeRegion(request.rule, server.region))
        return ServerExclusion::OtherHomeRegion;
    if (!isAcceptingRequests(server, now))
        return server.pausedUntil > now ? ServerExclusion::Pausing : ServerExclusion::Resuming;
    if (request.excludedServers.contains(&server))
        return ServerExclusion::AlreadyTried;
    return ServerExclusion::None;
}

// Removes the candidates for which `isExcluded` returns true and adds them to `excluded`, if that is not null.
template <typename IsExcluded>
void removeCandidates(std::vector<Candidate>& candidates, ServerExclusion reason, const IsExcluded& isExcluded,
    std::vector<ExcludedServer>* excluded)
{
    std::erase_if(candidates, [&](const Candidate& candidate) {
        if (!isExcluded(candidate))
            return false;
        if (excluded)
            excluded->push_back({ candidate.server, reason });
        return true;
    });
}

// Returns the servers that may execute the request, in the object's rendezvous order. Servers that were recently
// unreachable are left out unless all of them were. Adds to `pausingSlots` the slots of the servers of the own region
// that accept no request because of a pause.
std::vector<Candidate> findCandidates(const BackendFleet& fleet, const RankingRequest& request,
    const std::string& objectRegion, uint64_t objectHash, SteadyTime now, std::vector<ExcludedServer>* excluded,
    double& pausingSlots)
{
    std::vector<Candidate> candidates;
    for (const BackendServerPointer& server : fleet.servers(request.service.name)) {
        const ServerExclusion exclusion = exclusionOf(fleet, request, *server, now);
        if (exclusion != ServerExclusion::None) {
            const bool isPause = exclusion == ServerExclusion::Pausing || exclusion == ServerExclusion::Resuming;
            pausingSlots += isPause && server->region == request.ownRegion ? slotsOf(*server) : 0;
            if (excluded)
                excluded->push_back({ server, exclusion });
            continue;
        }
        candidates.push_back(
            { server, combineHashes(objectHash, server->placementHash), estimateLoad(*server, now), false, {} });
    }
    const auto isAvoided = [now](const Candidate& candidate) { return candidate.server->avoidUntil > now; };
    if (!std::all_of(candidates.begin(), candidates.end(), isAvoided))
        removeCandidates(candidates, ServerExclusion::Avoided, isAvoided, excluded);
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.rank > right.rank; });
    std::map<std::string_view, size_t> serversByRegion;
    for (Candidate& candidate : candidates) {
        const std::string& region = candidate.server->region;
        candidate.isTopRanked
            = serversByRegion[region]++ < (region == objectRegion ? topRankedInObjectRegion : topRankedInOtherRegion);
    }
    return candidates;
}

// Removes the servers of other regions than the own and the object's if the shift limiter currently allows no further
// cross-region requests and the own region has a candidate or pausing servers. The regions of objects change slowly
// enough by themselves. Servers that pause are not lost: the limit also applies when all of them pause at once, and
// what cannot be sent then is refused. Returns the slots of the own region's candidates and pausing servers.
double limitCandidatesToOwnRegion(std::vector<Candidate>& candidates, const RankingRequest& request,
    const std::string& objectRegion, double pausingSlots, std::vector<ExcludedServer>* excluded)
{
    double slots = pausingSlots;
    bool hasOwnRegionCandidate = pausingSlots > 0;
    for (const Candidate& candidate : candidates) {
        if (candidate.server->region != request.ownRegion)
            continue;
        hasOwnRegionCandidate = true;
        // All slots, not those up to the knee: servers that are found to have a knee are not lost ones, for which the
        // limit of shifts is suspended.
        slots += candidate.server->failureRate < failingServerRate ? slotsOf(*candidate.server) : 0;
    }
    if (hasOwnRegionCandidate && !request.shiftLimiter.canSendCrossRegion(request.service.name, slots)) {
        const auto isElsewhere = [&](const Candidate& candidate) {
            return candidate.server->region != request.ownRegion && candidate.server->region != objectRegion;
        };
        removeCandidates(candidates, ServerExclusion::ShiftLimit, isElsewhere, excluded);
    }
    return slots;
}

bool hasRecentlyHandled(const BackendServer& server, uint64_t objectHash, SteadyTime now)
{
    const auto object = server.cachedObjects.find(objectKeyOf(objectHash));
    return object != server.cachedObjects.end() && now - object->second < cachedObjectValidity;
}

ServiceStatistics computeServiceStatistics(const std::vector<Candidate>& candidates, const std::string& ownRegion,
    const std::string& objectRegion, uint64_t objectHash, SteadyTime now)
{
    ServiceStatistics statistics;
    statistics.lowestFailureRate = maximumCommonFailureRate;
    std::vector<double> latencyRatios;
    latencyRatios.reserve(candidates.size());
    std::map<std::string_view, std::pair<double, double>> loadAndSlots;
    for (const Candidate& candidate : candidates) {
        latencyRatios.push_back(candidate.server->latencyRatio);
        statistics.isObjectKnown = statistics.isObjectKnown || hasRecentlyHandled(*candidate.server, objectHash, now);
        statistics.lowestFailureRate = std::min(statistics.lowestFailureRate, candidate.server->failureRate);
        auto& [load, slots] = loadAndSlots[candidate.server->region];
        load += candidate.load;
        slots += usableSlots(*candidate.server);
    }
    const auto median = latencyRatios.begin() + static_cast<std::ptrdiff_t>(latencyRatios.size() / 2);
    std::nth_element(latencyRatios.begin(), median, latencyRatios.end());
    statistics.medianLatencyRatio = std::max(*median, 1.0);
    for (const auto& [region, regionLoadAndSlots] : loadAndSlots) {
        const double utilisation = regionLoadAndSlots.first / regionLoadAndSlots.second;
        statistics.utilisations[region] = utilisation;
        const double reserved = region == ownRegion || region == objectRegion ? 0 : otherRegionReservedRatio;
        const double costFraction
            = (utilisation + reserved - costFreeUtilisation) / (fullCostUtilisation - costFreeUtilisation);
        statistics.slotCosts[region] = maximumSlotCost * std::clamp(costFraction, 0.0, 1.0);
    }
    return statistics;
}

double networkDelayMs(const RankingRequest& request, const BackendServer& server)
{
    if (server.region == request.ownRegion)
        return 0;
    const auto found = request.roundTripsMs.find(server.region);
    const double roundTripMs = found == request.roundTripsMs.end() ? defaultRoundTripMs : found->second;
    return request.hasConnection(server) ? roundTripMs : 2 * roundTripMs;
}

// Estimates the waiting and processing time on the candidate server and computes its score.
PlacementChoice scoreCandidate(const Candidate& candidate, bool isPreferred, bool isInObjectRegion,
    const ServiceStatistics& statistics, const RankingRequest& request, const ProcessingTimeEstimate& processingTime,
    uint64_t objectHash, SteadyTime now)
{
    const BackendServer& server = *candidate.server;
    PlacementChoice choice;
    choice.server = candidate.server;
    choice.objectHash = objectHash;
    // Without a hub, this instance does not know what other instances sent to the server. The preferred server is then
    // the one most likely to have the object in its cache.
    const bool isProbablyCached = isPreferred
        && (now - server.totalLoadAt >= totalLoadValidity
            || (request.isPreferredServerWarm && !statistics.isObjectKnown));
    choice.isObjectCached
        = !request.affinityKey.empty() && (hasRecentlyHandled(server, objectHash, now) || isProbablyCached);
    choice.expectedProcessingMs = choice.isObjectCached ? processingTime.cachedMs : processingTime.uncachedMs;
    if (now < server.coldUntil)
        choice.expectedProcessingMs *= coldServerProcessingFactor;
    choice.expectedProcessingMs *= std::max(server.latencyRatio / statistics.medianLatencyRatio, 1.0);
    choice.load = candidate.load;
    // Beyond the knee, a request takes longer on slots that are otherwise left unused. Counting that time as a cost
    // sent requests for cached objects to servers that had to execute them uncached, until all servers were beyond the
    // knee.
    const double costMs = choice.expectedProcessingMs * processingFactor(server, 0);
    choice.expectedProcessingMs *= processingFactor(server, candidate.load + 1);
    choice.expectedWaitMs = queueWaitMs(candidate.load, server, processingTime);

    const double delayMs = networkDelayMs(request, server);
    const double totalMs = delayMs + choice.expectedWaitMs + choice.expectedProcessingMs;
    const auto targetMs = static_cast<double>(request.rule.targetLatencyMs);
    const double uncertaintyMs = latencyUncertaintyRatio * targetMs;
    const double elapsedMs = millisecondsBetween(request.arrivedAt, now);
    const double probabilityBeforeDeadline
        = probabilityOfMeetingLimit(millisecondsBetween(now, request.deadline) - totalMs, uncertaintyMs);
    const double probabilityInTime
        = std::min(probabilityOfMeetingLimit(targetMs - elapsedMs - totalMs, uncertaintyMs), probabilityBeforeDeadline);
    const double successProbability = std::min(1.0, (1 - server.failureRate) / (1 - statistics.lowestFailureRate));
    choice.score
        = successProbability * (probabilityInTime + lateAnswerScore * (probabilityBeforeDeadline - probabilityInTime));
    // The first execution of an object in its region is needed anyway, so that it counts like a later one.
    const double occupiedMs = isPreferred && isInObjectRegion ? std::min(costMs, processingTime.cachedMs) : costMs;
    choice.score -= statistics.slotCosts.at(server.region) * occupiedMs / std::max(processingTime.cachedMs, 1.0);
    choice.score -= penaltyPerMs * (choice.expectedWaitMs + costMs);
    // The object's region was chosen with its distance in mind.
    if (!isInObjectRegion)
        choice.score -= penaltyPerOtherRegionMs * delayMs;
    if (server.record.failureDomain != request.ownFailureDomain && !isInObjectRegion)
        choice.score -= otherDomainPenalty;
    if (!choice.isObjectCached && !isPreferred)
        choice.score -= candidate.isTopRanked ? topRankedUncachedPenalty : lowRankedUncachedPenalty;
    if (server.region != request.ownRegion && (choice.isObjectCached || (isPreferred && isInObjectRegion))
        && request.shiftLimiter.isReturningTooFast())
        choice.score += returnLimitBonus;
    return choice;
}

}

namespace {

size_t recentObjectCount(const BackendServer& server, SteadyTime now)
{
    return static_cast<size_t>(std::count_if(server.cachedObjects.begin(), server.cachedObjects.end(),
        [now](const auto& object) { return now - object.second < cachedObjectValidity; }));
}

// Returns whether the preferred server should execute an object for the first time, because it has few objects.
bool shouldFillPreferredServer(const Candidate& preferred, const std::vector<Candidate>& candidates,
    const std::string& affinityKey, SteadyTime now)
{
    const BackendServer& server = *preferred.server;
    // Only within the region: a request that would run in another one must not change its region for this.
    const auto best = std::max_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.choice.score < right.choice.score; });
    if (best->server->region != server.region)
        return false;
    if (affinityKey.empty() || preferred.choice.isObjectCached || preferred.choice.expectedWaitMs > 0
        || server.coldUntil > now || server.failureRate > 0 || now - server.newestObjectAt < underusedFillInterval)
        return false;
    size_t serverCount = 0;
    size_t objectCount = 0;
    for (const Candidate& candidate : candidates) {
        if (candidate.server->region != server.region)
            continue;
        ++serverCount;
        objectCount += recentObjectCount(*candidate.server, now);
    }
    return static_cast<double>(recentObjectCount(server, now) * serverCount)
        < underusedObjectRatio * static_cast<double>(objectCount);
}

}

bool ColdServerSenders::isSenderTo(uint64_t serverHash) const
{
    if (!this->isSettled)
        return false;
    const uint64_t ownRank = combineHashes(this->ownHash, serverHash);
    const auto higherRankedInstances = std::count_if(this->instanceHashes.begin(), this->instanceHashes.end(),
        [&](uint64_t instance) { return combineHashes(instance, serverHash) > ownRank; });
    return static_cast<size_t>(higherRankedInstances) < this->maximumSenders;
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
    // An old report carries little information about the current load, so its weight decays instead of ending abruptly.
    const double reportedByServer
        = server.otherInstancesLoad * std::exp(-ageMs / (hasTotal ? loadReportDecayWithTotalsMs : loadReportDecayMs));
    const double includedInTotal = hasTotal ? server.totalLoad - static_cast<double>(server.reportedInFlight) : 0;
    return static_cast<double>(server.inFlight) + std::max(includedInTotal, reportedByServer);
}

double estimateWaitMs(const BackendServer& server, const ProcessingTimeEstimate& processingTime, SteadyTime now)
{
    return queueWaitMs(estimateLoad(server, now), server, processingTime);
}

bool isObjectProbablyCached(const BackendServer& server, uint64_t objectHash, SteadyTime now)
{
    return hasRecentlyHandled(server, objectHash, now);
}

double estimateNetworkMs(const RankingRequest& request, const BackendServer& server)
{
    return networkDelayMs(request, server);
}

ProcessingTimeEstimate initialProcessingTime(const RouteRule& rule)
{
    const auto targetMs = static_cast<double>(rule.targetLatencyMs);
    const double maximumMs = maximumInitialTimeoutRatio * static_cast<double>(rule.timeoutMs);
    return { std::min(targetMs * initialUncachedTargetRatio, maximumMs),
        std::min(targetMs * initialCachedTargetRatio, maximumMs) };
}

std::optional<SteadyTime> earliestPauseEnd(
    const BackendFleet& fleet, const std::string& service, const RouteRule& rule, SteadyTime now)
{
    std::optional<SteadyTime> earliest;
    for (const BackendServerPointer& server : fleet.servers(service)) {
        if (!fleet.isUsable(*server) || !isHomeRegion(rule, server->region))
            continue;
        if (server->pausedUntil <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(server->pausedUntil), server->pausedUntil);
    }
    return earliest;
}

bool shouldSend(const PlacementChoice& choice, bool isReturning)
{
    return choice.expectedWaitMs <= 0 || choice.score > (isReturning ? returningScoreThreshold : 0);
}

const char* toString(ServerExclusion exclusion) noexcept
{
    switch (exclusion) {
    case ServerExclusion::None:
        return "none";
    case ServerExclusion::Leaving:
        return "leaving";
    case ServerExclusion::Evacuated:
        return "evacuated";
    case ServerExclusion::OtherHomeRegion:
        return "not-home-region";
    case ServerExclusion::AlreadyTried:
        return "already-tried";
    case ServerExclusion::Pausing:
        return "pausing";
    case ServerExclusion::Resuming:
        return "resuming";
    case ServerExclusion::Avoided:
        return "unreachable";
    case ServerExclusion::ShiftLimit:
        return "shift-limit";
    case ServerExclusion::ColdOtherSender:
        return "cold-other-sender";
    case ServerExclusion::ColdWithoutToken:
        return "cold-no-token";
    }
    return "unknown";
}

ServerRanking rankServers(const BackendFleet& fleet, const RankingRequest& request,
    const ProcessingTimeEstimate& processingTime, SteadyTime now, std::vector<ExcludedServer>* excluded)
{
    ServerRanking ranking;
    const uint64_t objectHash = objectHashOf(request.rule, request.affinityKey);
    ranking.objectHash = objectHash;
    ranking.objectRegion = regionOfObject(request, objectHash);
    const std::string& objectRegion = ranking.objectRegion;
    double pausingSlots = 0;
    ranking.candidates = findCandidates(fleet, request, objectRegion, objectHash, now, excluded, pausingSlots);
    std::vector<Candidate>& candidates = ranking.candidates;
    if (candidates.empty())
        return ranking;
    ranking.ownRegionSlots = limitCandidatesToOwnRegion(candidates, request, objectRegion, pausingSlots, excluded);
    if (candidates.empty())
        return ranking;
    // The preferred server is the first one of the object's region, or else of the own region, or else of all.
    const auto firstInRegion = [&candidates](const std::string& region) {
        return std::find_if(candidates.begin(), candidates.end(),
            [&region](const Candidate& candidate) { return candidate.server->region == region; });
    };
    auto first = firstInRegion(objectRegion);
    if (first == candidates.end() && objectRegion != request.ownRegion)
        first = firstInRegion(request.ownRegion);
    Candidate* preferred = first == candidates.end() ? &candidates.front() : &*first;
    const bool isObjectElsewhere = objectRegion != request.ownRegion;
    ServiceStatistics statistics
        = computeServiceStatistics(candidates, request.ownRegion, objectRegion, objectHash, now);
    for (Candidate& candidate : candidates)
        candidate.choice = scoreCandidate(candidate, &candidate == preferred,
            isObjectElsewhere && candidate.server->region == objectRegion, statistics, request, processingTime,
            objectHash, now);
    if (shouldFillPreferredServer(*preferred, candidates, request.affinityKey, now))
        preferred->choice.score += underusedFillBonus;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.choice.score != right.choice.score ? left.choice.score > right.choice.score
                                                       : left.rank > right.rank;
    });
    ranking.utilisations = std::move(statistics.utilisations);
    return ranking;
}

namespace {

// Returns the first candidate that is not cold, or for which `takeColdToken` returns true.
template <typename TakeColdToken>
std::optional<PlacementChoice> selectServer(const RankingRequest& request, const ServerRanking& ranking, SteadyTime now,
    const TakeColdToken& takeColdToken, std::vector<ExcludedServer>* skipped)
{
    for (const Candidate& candidate : ranking.candidates) {
        BackendServer& server = *candidate.server;
        // Only instances of the server's own region send to it during its cold start, so that the shares of all senders
        // add up to the rate that the server accepts.
        const bool isSender = server.coldUntil <= now
            || (server.region == request.ownRegion && request.coldServerSenders.isSenderTo(server.placementHash));
        if (isSender && (server.coldUntil <= now || takeColdToken(server))) {
            PlacementChoice choice = candidate.choice;
            choice.utilisation = ranking.utilisations.at(server.region);
            return choice;
        }
        if (skipped)
            skipped->push_back(
                { candidate.server, isSender ? ServerExclusion::ColdWithoutToken : ServerExclusion::ColdOtherSender });
    }
    return std::nullopt;
}

}

std::optional<PlacementChoice> previewChoice(const BackendFleet& fleet, const RankingRequest& request,
    const ServerRanking& ranking, SteadyTime now, std::vector<ExcludedServer>* skipped)
{
    if (now >= request.deadline)
        return std::nullopt;
    const auto hasColdToken = [&](const BackendServer& server) {
        return fleet.hasColdToken(server, request.service.coldRequestsPerSecond, request.coldServerSenders.count());
    };
    return selectServer(request, ranking, now, hasColdToken, skipped);
}

std::optional<PlacementChoice> chooseServer(
    BackendFleet& fleet, const PlacementRequest& request, const ProcessingTimeEstimate& processingTime, SteadyTime now)
{
    if (now >= request.deadline)
        return std::nullopt;
    static const std::vector<RegionShare> noShares;
    const std::vector<RegionShare>& shares = request.regionShares && !request.affinityKey.empty()
        ? request.regionShares->sharesOf(
            fleet, request.service.name, request.roundTripsMs, request.shiftLimiter.isStarting())
        : noShares;
    const RankingRequest rankingRequest { request.rule, request.service, request.affinityKey, request.ownRegion,
        request.ownFailureDomain, request.roundTripsMs, request.hasConnection, request.arrivedAt, request.deadline,
        request.shiftLimiter, request.coldServerSenders, request.excludedServers, request.isPreferredServerWarm,
        shares };
    const ServerRanking ranking = rankServers(fleet, rankingRequest, processingTime, now);
    if (ranking.candidates.empty())
        return std::nullopt;
    request.shiftLimiter.recordOwnRegionSlots(request.service.name, ranking.ownRegionSlots);
    const auto takeColdToken = [&](BackendServer& server) {
        return fleet.tryTakeColdToken(server, request.service.coldRequestsPerSecond, request.coldServerSenders.count());
    };
    return selectServer(rankingRequest, ranking, now, takeColdToken, nullptr);
}

}
