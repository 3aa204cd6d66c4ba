#include <wagtailrack/edge/BackendFleet.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Weight of a new sample in the moving averages, which cover about the last ten attempts.
constexpr double attemptSampleWeight = 0.15;
// Weight of a new load report in the moving average of reports.
constexpr double loadReportWeight = 0.6;
// A server that is unreachable twice in a row is avoided; the time doubles with each further unreachable
// attempt, up to the maximum below.
constexpr int unreachableAttemptsBeforeAvoidance = 2;
constexpr Milliseconds initialAvoidance(1000);
constexpr int maximumAvoidanceDoublings = 2;
// Objects recorded for each server; limits the memory use of an instance.
constexpr size_t maximumCachedObjects = 256;
// Upper limit of a single latency ratio sample, so that one very slow response does not dominate the average.
constexpr double maximumLatencyRatio = 20;
// A server's estimate comes from a status table until the table is this old; hubs send tables far more often.
constexpr Milliseconds statusTableValidity(1000);
// Deviations from the median within this (in logarithms, about 65%) count as chance: busy neighbours on the machines
// and objects that were evicted from caches make the means of healthy servers differ. 0.25 took healthy servers for
// slow ones when all servers were equally slow.
constexpr double insignificantDeviation = 0.5;
// Bounds of the speed relative to the median. Servers do not count as faster than the median: chance differences
// attracted requests for objects that these servers do not have in their caches, and busy neighbours cost a tenth of
// the responses in time.
constexpr double minimumSpeed = 0.05;
constexpr double maximumSpeed = 1;
// Maximum number of objects in one report to the hub. Objects beyond it are not reported until they are used again.
constexpr size_t maximumReportedObjects = 60;
// How long a server is avoided after the hub reported that other instances cannot reach it.
constexpr Milliseconds hubReportedAvoidance(1000);
// Server lifetimes that are remembered as leaving, and as pausing; several times the servers of the largest planned
// deployment.
constexpr size_t maximumNotices = 8192;

double updatedAverage(double average, double sample, double weight) { return average + weight * (sample - average); }

DepartedServers::Lifetime departureLifetimeOf(const ServerRecord& record) { return { record.id, record.startedAtMs }; }

// Removes the earliest entry if there are too many.
void limitNotices(std::map<DepartedServers::Lifetime, SteadyTime>& notices)
{
    if (notices.size() > maximumNotices)
        notices.erase(std::min_element(notices.begin(), notices.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
}

}

double slotsOf(const BackendServer& server) noexcept
{
    return static_cast<double>(std::max<int64_t>(server.record.slots, 1));
}

bool isAcceptingRequests(const BackendServer& server, SteadyTime now) noexcept
{
    return server.pausedUntil <= now && (server.resumeWindow == 0 || server.inFlight < server.resumeWindow);
}

double usableSlots(const BackendServer& server) noexcept
{
    return std::max(1.0, std::floor(slotsOf(server) * server.capacity.knee));
}

double processingFactor(const BackendServer& server, double load) noexcept
{
    const double slowdown = load > usableSlots(server) ? server.capacity.slowdown : 1;
    return slowdown / server.capacity.speed;
}

BackendFleet::BackendFleet(const Clock& clock, std::map<std::string, std::string> regionOfDomain)
    : clock(clock)
    , regionOfDomain(std::move(regionOfDomain))
    , ownCapacities(clock)
{
}

void BackendFleet::updateServer(BackendServer& server, const ServerRecord& record)
{
    const SteadyTime now = this->clock.now();
    const bool isChangedRecord = !(server.record == record);
    server.removeAt = {};
    if (isChangedRecord && record.coldRemainingMs > 0)
        server.coldUntil = std::max(server.coldUntil, now + Milliseconds(record.coldRemainingMs));
    const bool wasLeaving = server.isLeaving;
    server.record = record;
    if (record.state == version::ServerState::Draining && !wasLeaving)
        this->markLeaving(server, "draining");
}

void BackendFleet::applyRecord(const ServerRecord& record)
{
    const SteadyTime now = this->clock.now();
    BackendServerPointer& server = this->byId[record.id];
    // A server that restarted under the same id is a new server: the state of the former process, such as its cache, is
    // lost.
    const bool isRestart = server && record.startedAtMs != server->record.startedAtMs;
    if (!server || isRestart || server->record.service != record.service || server->record.address != record.address) {
        if (server) {
            if (isRestart)
                this->recordDeparture(*server, true);
            this->markLeaving(*server, "replaced");
        }
        server = std::make_shared<BackendServer>();
        server->firstSeenAt = now;
        server->coldTokensRefilledAt = now;
        server->placementHash = hash64(record.id);
        // A restart under the same id has another key, so that estimates and caches of the former process, which peers
        // may still tell about, are not taken for those of the new one.
        server->key = static_cast<ServerKey>(record.startedAtMs == 0
                ? server->placementHash
                : hash64(std::to_string(record.startedAtMs), server->placementHash));
        const auto paused = this->pauses.find(departureLifetimeOf(record));
        if (paused != this->pauses.end() && paused->second > now) {
            server->pausedUntil = paused->second;
            server->resumeWindow = 1;
        }
    }
    const auto region = this->regionOfDomain.find(record.failureDomain);
    server->region = region == this->regionOfDomain.end() ? std::string() : region->second;
    this->updateServer(*server, record);
    if (this->hasLeavingNotice(record))
        this->markLeaving(*server, saidLeavingReason);
}

void BackendFleet::applyRecords(const std::vector<ServerRecord>& records, SteadyTime missingGraceUntil)
{
    const SteadyTime now = this->clock.now();
    this->heldRecords.clear();
    std::set<std::string> present;
    for (const ServerRecord& record : records) {
        present.insert(record.id);
        if (this->departed.isHeld({ record.id, record.startedAtMs }, now))
            this->heldRecords.push_back(record);
        else
            this->applyRecord(record);
    }
    for (auto& [id, server] : this->byId) {
        if (present.contains(id))
            continue;
        if (server->removeAt == SteadyTime() || missingGraceUntil < server->removeAt)
            server->removeAt = std::max(missingGraceUntil, now);
    }
    this->eraseExpiredServers();
    this->rebuildIndexes();
}

bool BackendFleet::eraseExpiredServers()
{
    const SteadyTime now = this->clock.now();
    const size_t erased = std::erase_if(this->byId, [this, now](const auto& entry) {
        BackendServer& server = *entry.second;
        if (server.removeAt == SteadyTime() || server.removeAt > now)
            return false;
        this->recordDeparture(server, server.isLeaving);
        this->markLeaving(server, "gone");
        return true;
    });
    return erased > 0;
}

void BackendFleet::removeExpiredServers()
{
    const bool wasErased = this->eraseExpiredServers();
    if (this->addReleasedServers() || wasErased)
        this->rebuildIndexes();
}

void BackendFleet::recordDeparture(const BackendServer& server, bool isFinal)
{
    this->departed.record({ { server.record.id, server.record.startedAtMs }, isFinal }, this->clock.now());
}

void BackendFleet::holdDepartedServers(SteadyTime until)
{
    const SteadyTime now = this->clock.now();
    for (const auto& [id, server] : this->byId) {
        if (server->isLeaving)
            this->recordDeparture(*server, true);
    }
    this->departed.beginHold(now, until);
}

void BackendFleet::addDeparture(const DepartedServers::Departure& departure)
{
    const auto found = this->byId.find(departure.server.id);
    if (found != this->byId.end() && found->second->record.startedAtMs == departure.server.startedAtMs) {
        if (departure.isFinal) {
            this->markLeaving(*found->second, "left-earlier");
        } else if (!found->second->isLeaving) {
            // Known here from the older copy alone; it may be running, and is not marked as leaving.
            this->heldRecords.push_back(found->second->record);
            this->byId.erase(found);
        }
    }
    this->departed.record(departure, this->clock.now());
}

void BackendFleet::holdDepartedServers(const std::vector<DepartedServers::Departure>& departures, SteadyTime until)
{
    for (const DepartedServers::Departure& departure : departures)
        this->addDeparture(departure);
    this->rebuildIndexes();
    this->holdDepartedServers(until);
}

std::vector<DepartedServers::Departure> BackendFleet::heldDepartures() const
{
    return this->departed.heldDepartures(this->clock.now());
}

bool BackendFleet::addReleasedServers()
{
    if (this->heldRecords.empty())
        return false;
    const SteadyTime now = this->clock.now();
    const size_t heldBefore = this->heldRecords.size();
    std::erase_if(this->heldRecords, [this, now](const ServerRecord& record) {
        if (this->departed.isHeld({ record.id, record.startedAtMs }, now))
            return false;
        this->applyRecord(record);
        return true;
    });
    return this->heldRecords.size() < heldBefore;
}

void BackendFleet::rebuildIndexes()
{
    this->byService.clear();
    this->byKey.clear();
    for (const auto& [id, server] : this->byId) {
        this->byService[server->record.service].push_back(server);
        this->byKey[server->key] = server;
    }
}

void BackendFleet::setEvacuatedDomains(std::set<std::string> domains, int64_t coldAfterMs)
{
    const SteadyTime now = this->clock.now();
    for (const auto& [id, server] : this->byId) {
        const std::string& domain = server->record.failureDomain;
        // The caches of an evacuated domain may be lost, so traffic to its servers resumes slowly.
        if (this->evacuatedDomains.contains(domain) && !domains.contains(domain))
            server->coldUntil = std::max(server->coldUntil, now + Milliseconds(coldAfterMs));
    }
    this->evacuatedDomains = std::move(domains);
}

const std::vector<BackendServerPointer>& BackendFleet::servers(const std::string& service) const
{
    static const std::vector<BackendServerPointer> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
}

const BackendServer* BackendFleet::findByKey(ServerKey key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second.get();
}

BackendServerPointer BackendFleet::findOtherAt(const Endpoint& address, const std::string& id) const
{
    BackendServerPointer other;
    for (const auto& [otherId, server] : this->byId) {
        if (otherId == id || server->isLeaving || !(server->record.address == address))
            continue;
        if (other)
            return nullptr;
        other = server;
    }
    return other;
}

BackendServerPointer BackendFleet::findLifetime(const ServerRecord& record) const
{
    const auto found = this->byId.find(record.id);
    return found == this->byId.end() || found->second->record.startedAtMs != record.startedAtMs ? nullptr
                                                                                                : found->second;
}

bool BackendFleet::isUsable(const BackendServer& server) const
{
    return !server.isLeaving && !this->isEvacuated(server);
}

bool BackendFleet::isEvacuated(const BackendServer& server) const
{
    return this->evacuatedDomains.contains(server.record.failureDomain);
}

void BackendFleet::beginAttempt(BackendServer& server, double processingMs)
{
    ++server.inFlight;
    if (server.averageProcessingMs <= 0)
        server.averageProcessingMs = processingMs;
    server.averageProcessingMs = updatedAverage(server.averageProcessingMs, processingMs, attemptSampleWeight);
}

void BackendFleet::endAttempt(BackendServer& server, AttemptOutcome outcome)
{
    const SteadyTime now = this->clock.now();
    --server.inFlight;
    const bool isFailure = outcome != AttemptOutcome::Answered;
    if (outcome == AttemptOutcome::Unreachable)
        ++server.unreportedActivity.unreachableAttempts;
    else if (isFailure)
        ++server.unreportedActivity.failedAttempts;
    server.failureRate = updatedAverage(server.failureRate, isFailure ? 1 : 0, attemptSampleWeight);
    // After a pause, each answered request allows one more at a time, until the server takes as many as usual.
    if (outcome == AttemptOutcome::Answered && server.resumeWindow > 0 && server.pausedUntil <= now)
        server.resumeWindow = server.resumeWindow < server.record.slots ? server.resumeWindow + 1 : 0;
    if (outcome != AttemptOutcome::Unreachable) {
        server.consecutiveUnreachable = 0;
        return;
    }
    if (++server.consecutiveUnreachable < unreachableAttemptsBeforeAvoidance)
        return;
    const int doublings
        = std::min(server.consecutiveUnreachable - unreachableAttemptsBeforeAvoidance, maximumAvoidanceDoublings);
    server.avoidUntil = now + initialAvoidance * (1 << doublings);
}

void BackendFleet::withdrawAttempt(BackendServer& server) { --server.inFlight; }

void BackendFleet::recordDuration(BackendServer& server, const DurationSample& sample)
{
    ++server.unreportedActivity.answeredAttempts;
    const double ratio = std::clamp(sample.durationMs / std::max(sample.expectedMs, 1.0), 0.2, maximumLatencyRatio);
    if (this->capacityUse == CapacityUse::Observe)
        server.latencyRatio = updatedAverage(server.latencyRatio, ratio, attemptSampleWeight);
    server.unreportedActivity.latencyRatioSumPercent += static_cast<uint32_t>(std::lround(100 * ratio));
    const LoadBandSamples added = loadBandSamplesOf(sample);
    if (added.band >= loadBandCount)
        return;
    this->ownCapacities.add(server.key, { added });
    std::vector<LoadBandSamples>& unreported = server.unreportedActivity.durations;
    const auto sameBand = std::find_if(unreported.begin(), unreported.end(),
        [&added](const LoadBandSamples& samples) { return samples.band == added.band; });
    if (sameBand == unreported.end()) {
        unreported.push_back(added);
        return;
    }
    sameBand->weightTenths += added.weightTenths;
    sameBand->logRatioSumPercent += added.logRatioSumPercent;
}

void BackendFleet::setCapacity(BackendServer& server, const ServerCapacityTracker::RelativeCapacity& capacity)
{
    server.durationLogRatio = capacity.logRatio;
    server.estimatedCapacity.knee = capacity.knee;
    server.estimatedCapacity.slowdown = capacity.slowdown;
    server.estimatedCapacity.confidence = capacity.confidence;
    server.estimatedCapacity.sampledAt = this->clock.now();
}

void BackendFleet::applyOwnCapacities()
{
    const SteadyTime now = this->clock.now();
    bool hasChanged = false;
    for (const auto& [key, server] : this->byKey) {
        if (now - server->totalLoadAt < statusTableValidity)
            continue;
        this->setCapacity(*server, this->ownCapacities.estimate(key));
        hasChanged = true;
    }
    this->ownCapacities.removeExpired();
    if (hasChanged)
        this->updateSpeeds();
}

void BackendFleet::updateSpeeds()
{
    for (const auto& [service, members] : this->byService) {
        std::vector<double> logRatios;
        logRatios.reserve(members.size());
        for (const BackendServerPointer& server : members)
            logRatios.push_back(server->durationLogRatio);
        const double median = medianLogRatio(logRatios);
        for (const BackendServerPointer& server : members) {
            const double deviation = median - server->durationLogRatio;
            server->estimatedCapacity.speed = std::abs(deviation) < insignificantDeviation
                ? 1
                : std::clamp(std::exp(deviation), minimumSpeed, maximumSpeed);
            if (this->capacityUse == CapacityUse::Apply)
                server->capacity = server->estimatedCapacity;
        }
    }
}

void BackendFleet::recordLoadReport(BackendServer& server, int64_t running, int64_t waiting, int64_t slots)
{
    // The report comes with a response: the server no longer counts the finished request, but `inFlight` still does.
    // The added 1 compensates for this.
    const double others = std::max<double>(0, static_cast<double>(running + waiting - server.inFlight + 1));
    server.otherInstancesLoad = updatedAverage(server.otherInstancesLoad, others, loadReportWeight);
    server.otherInstancesLoadAt = this->clock.now();
    if (slots > 0)
        server.record.slots = slots;
}

void BackendFleet::addCachedObject(BackendServer& server, ObjectKey object, SteadyTime when)
{
    const auto [found, isNew] = server.cachedObjects.insert_or_assign(object, when);
    if (!isNew)
        return;
    server.newestObjectAt = when;
    if (server.cachedObjects.size() <= maximumCachedObjects)
        return;
    const auto oldest = std::min_element(server.cachedObjects.begin(), server.cachedObjects.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    server.cachedObjects.erase(oldest);
}

void BackendFleet::recordCachedObject(BackendServer& server, ObjectKey object)
{
    addCachedObject(server, object, this->clock.now());
    if (this->unreportedCachedObjects.size() < maximumReportedObjects)
        this->unreportedCachedObjects.insert({ object, server.key });
}

InstanceLoadReport BackendFleet::collectReport()
{
    this->applyOwnCapacities();
    InstanceLoadReport report;
    for (const auto& [key, server] : this->byKey) {
        server->reportedInFlight = server->inFlight;
        ServerActivity activity = server->unreportedActivity;
        activity.server = key;
        activity.inFlight = static_cast<uint32_t>(std::max<int64_t>(server->inFlight, 0));
        server->unreportedActivity = {};
        if (!(activity == ServerActivity { key }))
            report.servers.push_back(activity);
    }
    report.cachedObjects.assign(this->unreportedCachedObjects.begin(), this->unreportedCachedObjects.end());
    this->unreportedCachedObjects.clear();
    return report;
}

void BackendFleet::applyStatusTable(const ServerStatusTable& table)
{
    const SteadyTime now = this->clock.now();
    for (auto entry = this->byKey.lower_bound(table.firstServer);
         entry != this->byKey.end() && entry->first <= table.lastServer; ++entry) {
        entry->second->totalLoad = 0;
        entry->second->totalLoadAt = now;
        this->setCapacity(*entry->second, {});
    }
    for (const ServerStatus& status : table.servers) {
        const auto found = this->byKey.find(status.server);
        if (found == this->byKey.end())
            continue;
        BackendServer& server = *found->second;
        server.totalLoad = status.totalInFlight;
        server.failureRate = status.failureRatePercent / 100.0;
        if (status.latencyRatioPercent > 0 && this->capacityUse == CapacityUse::Observe)
            server.latencyRatio = status.latencyRatioPercent / 100.0;
        if (status.durationRatioPercent > 0)
            this->setCapacity(server,
                { std::log(status.durationRatioPercent / 100.0), status.kneePercent / 100.0,
                    status.slowdownPercent / 100.0, status.confidencePercent / 100.0 });
        if (status.isUnreachable)
            server.avoidUntil = std::max(server.avoidUntil, now + hubReportedAvoidance);
    }
    for (const CachedObject& copy : table.cachedObjects) {
        const auto found = this->byKey.find(copy.server);
        if (found != this->byKey.end())
            addCachedObject(*found->second, copy.object, now);
    }
    this->updateSpeeds();
}

void BackendFleet::markLeaving(BackendServer& server, const char* reason)
{
    if (server.isLeaving)
        return;
    server.isLeaving = true;
    if (this->leavingHook)
        this->leavingHook(server, reason);
}

bool BackendFleet::hasLeavingNotice(const ServerRecord& record) const
{
    // An earlier process of the same id, which an older copy of the store may name, does not return either.
    const auto found = this->leavingNotices.lower_bound(departureLifetimeOf(record));
    return found != this->leavingNotices.end() && found->first.id == record.id;
}

bool BackendFleet::recordLeavingNotice(BackendServer& server)
{
    const bool isNew = this->leavingNotices.try_emplace(departureLifetimeOf(server.record), this->clock.now()).second;
    limitNotices(this->leavingNotices);
    this->markLeaving(server, saidLeavingReason);
    if (const BackendServerPointer current = this->findLifetime(server.record))
        this->markLeaving(*current, saidLeavingReason);
    return isNew;
}

void BackendFleet::pause(BackendServer& server, SteadyTime until)
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->pauses, [now](const auto& entry) { return entry.second <= now; });
    SteadyTime& end = this->pauses[departureLifetimeOf(server.record)];
    end = std::max(end, until);
    const SteadyTime latest = end;
    limitNotices(this->pauses);
    const BackendServerPointer current = this->findLifetime(server.record);
    for (BackendServer* paused : { &server, current.get() }) {
        if (!paused)
            continue;
        paused->pausedUntil = latest;
        paused->resumeWindow = 1;
    }
}

double BackendFleet::refilledColdTokens(const BackendServer& server, double requestsPerSecond, int senderCount) const
{
    const double elapsed = std::chrono::duration<double>(this->clock.now() - server.coldTokensRefilledAt).count();
    const double refill = elapsed * requestsPerSecond / std::max(senderCount, 1);
    return std::min(1.0, server.coldTokens + refill);
}

bool BackendFleet::hasColdToken(const BackendServer& server, double requestsPerSecond, int senderCount) const
{
    return this->refilledColdTokens(server, requestsPerSecond, senderCount) >= 1;
}

bool BackendFleet::tryTakeColdToken(BackendServer& server, double requestsPerSecond, int senderCount)
{
    server.coldTokens = this->refilledColdTokens(server, requestsPerSecond, senderCount);
    server.coldTokensRefilledAt = this->clock.now();
    if (server.coldTokens < 1)
        return false;
    server.coldTokens -= 1;
    return true;
}

}
