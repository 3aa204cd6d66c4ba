#include <wagtailrack/edge/LoadHub.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailrack::edge {

namespace {

// Counts of a sender that went silent are wrong soon: its requests last about this long.
constexpr Milliseconds reportValidity(1000);
constexpr Milliseconds digestValidity(1000);
// Weight of one attempt in the moving averages; about the last ten count.
constexpr double attemptSampleWeight = 0.15;
// Without new attempts a bad record is forgiven in about this time.
constexpr double forgivenessMs = 4000;
// Attempts in a row that reached no server before it counts as out of reach, and for how long.
constexpr int unreachableAttemptsBeforeAvoidance = 2;
constexpr Milliseconds unreachableValidity(1500);
// Largest ratio of a duration to the expected one that counts.
constexpr double maximumLatencyRatio = 20;
// Copies that nobody used for this long are likely to be replaced in the server's memory.
constexpr Milliseconds copyValidity(20000);
// A new copy is told once more soon, in case the datagram is lost; one that stays in use, this often.
constexpr Milliseconds repeatCopyInterval(800);
constexpr Milliseconds instanceCopyInterval(5000);
constexpr Milliseconds nearbyCopyInterval(6000);
constexpr Milliseconds remoteCopyInterval(9000);
// Entries in one message, so that it stays below the usual packet size.
constexpr size_t maximumServers = 90;
constexpr size_t copiesInMessage = 80;
// Copies told at once; more follow in the next round.
constexpr size_t maximumCopies = 320;

double forgive(double value, SteadyTime since, SteadyTime now)
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - since).count();
    return value * std::exp(-ageMs / forgivenessMs);
}

// Divides sorted entries into messages that together cover all servers.
template <typename Message, typename Entry>
std::vector<Message> divide(const std::vector<Entry>& entries, const std::vector<CachedObject>& copies)
{
    std::vector<Message> messages;
    ServerKey first = 0;
    size_t begin = 0;
    do {
        const size_t end = std::min(begin + maximumServers, entries.size());
        Message message;
        message.firstServer = first;
        message.lastServer = end == entries.size() ? ~ServerKey(0) : entries[end - 1].server;
        message.servers.assign(
            entries.begin() + static_cast<std::ptrdiff_t>(begin), entries.begin() + static_cast<std::ptrdiff_t>(end));
        first = message.lastServer + 1;
        begin = end;
        messages.push_back(std::move(message));
    } while (begin < entries.size());
    for (size_t told = 0; told < copies.size(); told += copiesInMessage) {
        // The first part goes with the last servers, the others in messages that cover no server.
        if (told > 0) {
            messages.emplace_back();
            messages.back().firstServer = 1;
        }
        const auto from = copies.begin() + static_cast<std::ptrdiff_t>(told);
        const size_t count = std::min(copiesInMessage, copies.size() - told);
        messages.back().cachedObjects.assign(from, from + static_cast<std::ptrdiff_t>(count));
    }
    return messages;
}

}

LoadHub::LoadHub(const Clock& clock)
    : clock(clock)
    , recentSends(CrossRegionRatios::recentDecayTime)
    , baselineSends(CrossRegionRatios::baselineDecayTime)
{
}

void LoadHub::recordSends(uint32_t here, uint32_t elsewhere)
{
    const SteadyTime now = this->clock.now();
    this->recentSends.add(here, elsewhere, now);
    this->baselineSends.add(here, elsewhere, now);
}

void LoadHub::recordActivity(const ServerActivity& activity)
{
    const uint32_t attempts = activity.answeredAttempts + activity.failedAttempts + activity.unreachableAttempts;
    if (attempts == 0)
        return;
    const SteadyTime now = this->clock.now();
    ServerHealth& known = this->serverHealth[activity.server];
    const double weight = 1 - std::pow(1 - attemptSampleWeight, attempts);
    const double failed = static_cast<double>(activity.failedAttempts + activity.unreachableAttempts) / attempts;
    known.failureRate = forgive(known.failureRate, known.sampledAt, now);
    known.failureRate += weight * (failed - known.failureRate);
    if (activity.answeredAttempts > 0) {
        const double ratio
            = std::min(activity.latencyRatioSumPercent / 100.0 / activity.answeredAttempts, maximumLatencyRatio);
        const double answeredWeight = 1 - std::pow(1 - attemptSampleWeight, activity.answeredAttempts);
        const double former
            = known.latencyRatio > 0 ? 1 + forgive(known.latencyRatio - 1, known.sampledAt, now) : ratio;
        known.latencyRatio = former + answeredWeight * (ratio - former);
    }
    known.sampledAt = now;
    if (activity.answeredAttempts + activity.failedAttempts > 0)
        known.consecutiveUnreachableAttempts = 0;
    else
        known.consecutiveUnreachableAttempts += static_cast<int>(activity.unreachableAttempts);
}

void LoadHub::recordCachedObject(const CachedObject& copy, bool isOwn)
{
    CachedObjectState& known = this->cachedObjects[copy];
    known.usedAt = this->clock.now();
    known.isUsedInDomain = known.isUsedInDomain || isOwn;
}

void LoadHub::acceptReport(uint32_t sender, const InstanceLoadReport& report)
{
    SenderState& known = this->receivedReports[sender];
    known.heardAt = this->clock.now();
    known.inFlight.clear();
    for (const ServerActivity& activity : report.servers) {
        if (activity.inFlight > 0)
            known.inFlight[activity.server] = activity.inFlight;
        this->recordActivity(activity);
    }
    for (const CachedObject& copy : report.cachedObjects)
        this->recordCachedObject(copy, true);
    this->recordSends(report.inRegionRequests, report.crossRegionRequests);
    this->unpublishedInRegionRequests += report.inRegionRequests;
    this->unpublishedCrossRegionRequests += report.crossRegionRequests;
}

void LoadHub::acceptDomainSummary(uint32_t sender, const DomainLoadSummary& digest, bool isNearby)
{
    SenderState& known = this->receivedSummaries[sender];
    known.heardAt = this->clock.now();
    std::erase_if(known.inFlight,
        [&digest](const auto& entry) { return entry.first >= digest.firstServer && entry.first <= digest.lastServer; });
    for (const ServerInFlightCount& count : digest.servers)
        known.inFlight[count.server] = count.inFlight;
    for (const CachedObject& copy : digest.cachedObjects)
        this->recordCachedObject(copy, false);
    if (isNearby)
        this->recordSends(digest.inRegionRequests, digest.crossRegionRequests);
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

std::vector<CachedObject> LoadHub::collectDueCachedObjects(
    PublishState CachedObjectState::*audience, Milliseconds interval, bool onlyOwn)
{
    const SteadyTime now = this->clock.now();
    std::vector<CachedObject> due;
    for (auto& [copy, known] : this->cachedObjects) {
        PublishState& told = known.*audience;
        const bool isDue = told.publishCount == 0
            || (told.publishCount == 1 && now - told.lastPublishedAt >= repeatCopyInterval)
            || (now - told.lastPublishedAt >= interval && known.usedAt > told.lastPublishedAt);
        if (!isDue || (onlyOwn && !known.isUsedInDomain))
            continue;
        due.push_back(copy);
        told = { now, told.publishCount + 1 };
        if (due.size() >= maximumCopies)
            break;
    }
    return due;
}

std::vector<DomainLoadSummary> LoadHub::domainSummaries(bool isNearby)
{
    this->removeExpired();
    std::vector<ServerInFlightCount> entries;
    for (const auto& [server, count] : this->sumReportedInFlight())
        entries.push_back({ server, count });
    std::vector<DomainLoadSummary> digests = divide<DomainLoadSummary>(entries,
        this->collectDueCachedObjects(
            isNearby ? &CachedObjectState::publishedToRegionHubs : &CachedObjectState::publishedToRemoteHubs,
            isNearby ? nearbyCopyInterval : remoteCopyInterval, true));
    if (isNearby) {
        digests.back().inRegionRequests = std::exchange(this->unpublishedInRegionRequests, 0);
        digests.back().crossRegionRequests = std::exchange(this->unpublishedCrossRegionRequests, 0);
    }
    return digests;
}

std::vector<ServerStatusTable> LoadHub::statusTables()
{
    this->removeExpired();
    const SteadyTime now = this->clock.now();
    std::map<ServerKey, ServerStatus> standings;
    const auto add = [&standings](const InFlightCounts& counts) {
        for (const auto& [server, count] : counts)
            standings[server].totalInFlight += count;
    };
    add(this->sumReportedInFlight());
    for (const auto& [sender, digest] : this->receivedSummaries)
        add(digest.inFlight);
    for (const auto& [server, known] : this->serverHealth) {
        ServerStatus& standing = standings[server];
        const double slowness = known.latencyRatio > 0 ? 1 + forgive(known.latencyRatio - 1, known.sampledAt, now) : 0;
        standing.failureRatePercent
            = static_cast<uint32_t>(std::lround(100 * forgive(known.failureRate, known.sampledAt, now)));
        standing.latencyRatioPercent = static_cast<uint32_t>(std::lround(100 * slowness));
        standing.isUnreachable = known.consecutiveUnreachableAttempts >= unreachableAttemptsBeforeAvoidance
            && now - known.sampledAt < unreachableValidity;
    }
    std::vector<ServerStatus> entries;
    for (auto& [server, standing] : standings) {
        standing.server = server;
        entries.push_back(standing);
    }
    std::vector<ServerStatusTable> tables = divide<ServerStatusTable>(
        entries, this->collectDueCachedObjects(&CachedObjectState::publishedToInstances, instanceCopyInterval, false));
    for (ServerStatusTable& table : tables) {
        table.recentCrossRegionPermille
            = static_cast<uint32_t>(std::lround(1000 * this->recentSends.crossRegionRatio()));
        table.baselineCrossRegionPermille
            = static_cast<uint32_t>(std::lround(1000 * this->baselineSends.crossRegionRatio()));
        table.isRegionStarting = this->baselineSends.isStarting(now);
    }
    return tables;
}

void LoadHub::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(
        this->receivedReports, [now](const auto& entry) { return now - entry.second.heardAt > reportValidity; });
    std::erase_if(
        this->receivedSummaries, [now](const auto& entry) { return now - entry.second.heardAt > digestValidity; });
    std::erase_if(this->cachedObjects, [now](const auto& entry) { return now - entry.second.usedAt > copyValidity; });
    std::erase_if(this->serverHealth, [now](const auto& entry) { return now - entry.second.sampledAt > copyValidity; });
}

}
