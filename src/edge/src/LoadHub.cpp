#include <wagtailrack/edge/LoadHub.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailrack::edge {

namespace {

// In-flight counts of a sender that stopped sending soon become wrong: its requests last about this long.
constexpr Milliseconds reportValidity(1000);
constexpr Milliseconds summaryValidity(1000);
// Weight of one attempt in the moving averages; about the last ten attempts count.
constexpr double attemptSampleWeight = 0.15;
// Without new attempts, a high failure rate or latency ratio decays with this time constant.
constexpr double healthDecayMs = 4000;
// Consecutive attempts without a connection after which a server counts as unreachable, and for how long it does.
constexpr int unreachableAttemptsBeforeAvoidance = 2;
constexpr Milliseconds unreachableValidity(1500);
// Larger ratios of actual to expected duration count as this one.
constexpr double maximumLatencyRatio = 20;
// Objects that were not requested for this long have probably been evicted from the server's cache. Health records
// without new attempts are kept as long.
constexpr Milliseconds cachedObjectValidity(20000);
// A newly cached object is sent again after the first delay, in case the first datagram was lost, and as long as it
// stays in use at the interval of the group of receivers.
constexpr Milliseconds firstRepeatDelay(800);
constexpr Milliseconds instanceRepeatInterval(5000);
constexpr Milliseconds ownRegionRepeatInterval(6000);
constexpr Milliseconds otherRegionRepeatInterval(9000);
constexpr Milliseconds refusalDecayTime(1500);
// These limits keep a message below the usual packet size.
constexpr size_t maximumServersPerMessage = 90;
constexpr size_t maximumObjectsPerMessage = 80;
// Servers whose capacity is told to the hubs of other domains in one round: about 200 bytes.
constexpr size_t maximumCapacitiesPerRound = 8;
// Cached objects sent to a group of receivers at once; more follow in the next round.
constexpr size_t maximumObjectsPerRound = 320;

double decayed(double value, SteadyTime updatedAt, SteadyTime now)
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - updatedAt).count();
    return value * std::exp(-ageMs / healthDecayMs);
}

// Splits entries, sorted by server, into messages whose server ranges together cover all keys.
template <typename Message, typename Entry>
std::vector<Message> splitIntoMessages(const std::vector<Entry>& entries, const std::vector<CachedObject>& objects)
{
    std::vector<Message> messages;
    ServerKey first = 0;
    size_t begin = 0;
    do {
        const size_t end = std::min(begin + maximumServersPerMessage, entries.size());
        Message message;
        message.firstServer = first;
        message.lastServer = end == entries.size() ? ~ServerKey(0) : entries[end - 1].server;
        message.servers.assign(
            entries.begin() + static_cast<std::ptrdiff_t>(begin), entries.begin() + static_cast<std::ptrdiff_t>(end));
        first = message.lastServer + 1;
        begin = end;
        messages.push_back(std::move(message));
    } while (begin < entries.size());
    for (size_t sent = 0; sent < objects.size(); sent += maximumObjectsPerMessage) {
        // The first objects go into the message with the last servers, the others into messages with an empty server
        // range: the first key is above the last.
        if (sent > 0) {
            messages.emplace_back();
            messages.back().firstServer = 1;
        }
        const auto from = objects.begin() + static_cast<std::ptrdiff_t>(sent);
        const size_t count = std::min(maximumObjectsPerMessage, objects.size() - sent);
        messages.back().cachedObjects.assign(from, from + static_cast<std::ptrdiff_t>(count));
    }
    return messages;
}

}

LoadHub::LoadHub(const Clock& clock)
    : clock(clock)
    , serverCapacities(clock)
    , recentSends(CrossRegionRatios::recentDecayTime)
    , baselineSends(CrossRegionRatios::baselineDecayTime)
    , refusals(refusalDecayTime)
{
}

void LoadHub::recordSends(uint32_t inRegion, uint32_t crossRegion, uint32_t refused)
{
    const SteadyTime now = this->clock.now();
    this->recentSends.add(inRegion, crossRegion, now);
    this->baselineSends.add(inRegion, crossRegion, now);
    this->refusals.add(inRegion + crossRegion, refused, now);
}

void LoadHub::recordActivity(const ServerActivity& activity)
{
    const uint32_t attempts = activity.answeredAttempts + activity.failedAttempts + activity.unreachableAttempts;
    if (attempts == 0)
        return;
    const SteadyTime now = this->clock.now();
    ServerHealth& health = this->serverHealth[activity.server];
    const double weight = 1 - std::pow(1 - attemptSampleWeight, attempts);
    const double failureRatio = static_cast<double>(activity.failedAttempts + activity.unreachableAttempts) / attempts;
    health.failureRate = decayed(health.failureRate, health.sampledAt, now);
    health.failureRate += weight * (failureRatio - health.failureRate);
    this->serverCapacities.add(activity.server, activity.durations);
    if (activity.answeredAttempts > 0) {
        const double ratio
            = std::min(activity.latencyRatioSumPercent / 100.0 / activity.answeredAttempts, maximumLatencyRatio);
        const double answeredWeight = 1 - std::pow(1 - attemptSampleWeight, activity.answeredAttempts);
        const double previous
            = health.latencyRatio > 0 ? 1 + decayed(health.latencyRatio - 1, health.sampledAt, now) : ratio;
        health.latencyRatio = previous + answeredWeight * (ratio - previous);
    }
    health.sampledAt = now;
    if (activity.answeredAttempts + activity.failedAttempts > 0)
        health.consecutiveUnreachableAttempts = 0;
    else
        health.consecutiveUnreachableAttempts += static_cast<int>(activity.unreachableAttempts);
}

void LoadHub::recordCachedObject(const CachedObject& object, bool isUsedInDomain)
{
    CachedObjectState& state = this->cachedObjects[object];
    state.lastUsedAt = this->clock.now();
    state.isUsedInDomain = state.isUsedInDomain || isUsedInDomain;
}

void LoadHub::acceptReport(uint32_t sender, const InstanceLoadReport& report)
{
    SenderState& state = this->receivedReports[sender];
    state.receivedAt = this->clock.now();
    state.inFlight.clear();
    for (const ServerActivity& activity : report.servers) {
        if (activity.inFlight > 0)
            state.inFlight[activity.server] = activity.inFlight;
        this->recordActivity(activity);
    }
    for (const CachedObject& object : report.cachedObjects)
        this->recordCachedObject(object, true);
    this->recordSends(report.inRegionRequests, report.crossRegionRequests, report.refusedRequests);
    this->unpublishedInRegionRequests += report.inRegionRequests;
    this->unpublishedCrossRegionRequests += report.crossRegionRequests;
    this->unpublishedRefusedRequests += report.refusedRequests;
}

void LoadHub::acceptDomainSummary(uint32_t sender, const DomainLoadSummary& summary, bool isFromOwnRegion)
{
    SenderState& state = this->receivedSummaries[sender];
    state.receivedAt = this->clock.now();
    state.isFromOwnRegion = isFromOwnRegion;
    std::erase_if(state.inFlight, [&summary](const auto& entry) {
        return entry.first >= summary.firstServer && entry.first <= summary.lastServer;
    });
    for (const ServerInFlightCount& count : summary.servers)
        state.inFlight[count.server] = count.inFlight;
    for (const CachedObject& object : summary.cachedObjects)
        this->recordCachedObject(object, false);
    for (const ServerCapacitySummary& capacity : summary.capacities)
        this->serverCapacities.applySummary(sender, capacity);
    if (isFromOwnRegion)
        this->recordSends(summary.inRegionRequests, summary.crossRegionRequests, summary.refusedRequests);
}

LoadHub::InFlightCounts LoadHub::sumReportedInFlight() const
{
    InFlightCounts sum;
    for (const auto& [sender, report] : this->receivedReports) {
        for (const auto& [server, count] : report.inFlight)
            sum[server] += count;
    }
    return sum;
}

std::map<ServerKey, uint32_t> LoadHub::ownRegionInFlight() const
{
    InFlightCounts sum = this->sumReportedInFlight();
    for (const auto& [sender, summary] : this->receivedSummaries) {
        if (!summary.isFromOwnRegion)
            continue;
        for (const auto& [server, count] : summary.inFlight)
            sum[server] += count;
    }
    return sum;
}

std::vector<CachedObject> LoadHub::collectDueCachedObjects(
    PublishState CachedObjectState::*receivers, Milliseconds repeatInterval, bool isOwnDomainOnly)
{
    const SteadyTime now = this->clock.now();
    std::vector<CachedObject> due;
    for (auto& [object, state] : this->cachedObjects) {
        PublishState& publishState = state.*receivers;
        const bool isDue = publishState.publishCount == 0
            || (publishState.publishCount == 1 && now - publishState.lastPublishedAt >= firstRepeatDelay)
            || (now - publishState.lastPublishedAt >= repeatInterval
                && state.lastUsedAt > publishState.lastPublishedAt);
        if (!isDue || (isOwnDomainOnly && !state.isUsedInDomain))
            continue;
        due.push_back(object);
        publishState = { now, publishState.publishCount + 1 };
        if (due.size() >= maximumObjectsPerRound)
            break;
    }
    return due;
}

std::vector<DomainLoadSummary> LoadHub::domainSummaries(bool isForOwnRegion)
{
    this->removeExpired();
    std::vector<ServerInFlightCount> entries;
    for (const auto& [server, count] : this->sumReportedInFlight())
        entries.push_back({ server, count });
    std::vector<DomainLoadSummary> summaries = splitIntoMessages<DomainLoadSummary>(entries,
        this->collectDueCachedObjects(isForOwnRegion ? &CachedObjectState::publishedToOwnRegionHubs
                                                     : &CachedObjectState::publishedToOtherRegionHubs,
            isForOwnRegion ? ownRegionRepeatInterval : otherRegionRepeatInterval, true));
    if (isForOwnRegion) {
        summaries.back().inRegionRequests = std::exchange(this->unpublishedInRegionRequests, 0);
        summaries.back().crossRegionRequests = std::exchange(this->unpublishedCrossRegionRequests, 0);
        summaries.back().refusedRequests = std::exchange(this->unpublishedRefusedRequests, 0);
        this->capacitiesOfRound = this->serverCapacities.collectSummaries(maximumCapacitiesPerRound);
    }
    // The hubs of all regions are told about the same servers in a round.
    summaries.back().capacities = this->capacitiesOfRound;
    return summaries;
}

std::vector<ServerStatusTable> LoadHub::statusTables()
{
    this->removeExpired();
    const SteadyTime now = this->clock.now();
    std::map<ServerKey, ServerStatus> statuses;
    const auto add = [&statuses](const InFlightCounts& counts) {
        for (const auto& [server, count] : counts)
            statuses[server].totalInFlight += count;
    };
    add(this->sumReportedInFlight());
    for (const auto& [sender, summary] : this->receivedSummaries)
        add(summary.inFlight);
    for (const auto& [server, health] : this->serverHealth) {
        ServerStatus& status = statuses[server];
        const double latencyRatio
            = health.latencyRatio > 0 ? 1 + decayed(health.latencyRatio - 1, health.sampledAt, now) : 0;
        status.latencyRatioPercent = static_cast<uint32_t>(std::lround(100 * latencyRatio));
        status.failureRatePercent
            = static_cast<uint32_t>(std::lround(100 * decayed(health.failureRate, health.sampledAt, now)));
        status.isUnreachable = health.consecutiveUnreachableAttempts >= unreachableAttemptsBeforeAvoidance
            && now - health.sampledAt < unreachableValidity;
    }
    this->serverCapacities.forEach([&statuses](ServerKey server, const auto& capacity) {
        ServerStatus& status = statuses[server];
        status.durationRatioPercent = static_cast<uint32_t>(std::lround(100 * std::exp(capacity.logRatio)));
        status.kneePercent = static_cast<uint32_t>(std::lround(100 * capacity.knee));
        status.slowdownPercent = static_cast<uint32_t>(std::lround(100 * capacity.slowdown));
        status.confidencePercent = static_cast<uint32_t>(std::lround(100 * capacity.confidence));
    });
    std::vector<ServerStatus> entries;
    for (auto& [server, status] : statuses) {
        status.server = server;
        entries.push_back(status);
    }
    std::vector<ServerStatusTable> tables = splitIntoMessages<ServerStatusTable>(entries,
        this->collectDueCachedObjects(&CachedObjectState::publishedToInstances, instanceRepeatInterval, false));
    for (ServerStatusTable& table : tables) {
        table.recentCrossRegionPermille
            = static_cast<uint32_t>(std::lround(1000 * this->recentSends.crossRegionRatio()));
        table.baselineCrossRegionPermille
            = static_cast<uint32_t>(std::lround(1000 * this->baselineSends.crossRegionRatio()));
        table.refusedPermille = static_cast<uint32_t>(std::lround(1000 * this->refusals.crossRegionRatio()));
        table.isRegionStarting = this->baselineSends.isStarting(now);
    }
    return tables;
}

void LoadHub::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(
        this->receivedReports, [now](const auto& entry) { return now - entry.second.receivedAt > reportValidity; });
    std::erase_if(
        this->receivedSummaries, [now](const auto& entry) { return now - entry.second.receivedAt > summaryValidity; });
    std::erase_if(
        this->cachedObjects, [now](const auto& entry) { return now - entry.second.lastUsedAt > cachedObjectValidity; });
    this->serverCapacities.removeExpired();
    std::erase_if(
        this->serverHealth, [now](const auto& entry) { return now - entry.second.sampledAt > cachedObjectValidity; });
}

}
