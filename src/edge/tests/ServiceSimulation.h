#pragma once

#include <wagtailrack/edge/LoadExchange.h>
#include <wagtailrack/edge/Placement.h>

#include "FakeClock.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <numbers>
#include <numeric>
#include <queue>
#include <random>

// Simulates a service of small servers, and instances that send requests to it, in simulated time and without a
// network.
namespace wagtailrack::edge::simulation {

constexpr int defaultSlots = 3;

inline std::map<std::string, std::string> regionOfDomain()
{
    return { { "north-a", "north" }, { "south-a", "south" }, { "west-a", "west" } };
}

inline const std::vector<std::string>& domains()
{
    static const std::vector<std::string> names { "north-a", "south-a", "west-a" };
    return names;
}

inline ServerRecord serverRecord(int index, const std::string& domain, int slots = defaultSlots)
{
    ServerRecord record;
    record.id = "s" + std::to_string(index);
    record.service = "prices";
    record.address = { "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 8080 };
    record.failureDomain = domain;
    record.slots = slots;
    return record;
}

// Servers spread evenly over the failure domains.
inline std::vector<ServerRecord> serverRecords(int count)
{
    std::vector<ServerRecord> list;
    list.reserve(static_cast<size_t>(count));
    for (int index = 0; index < count; ++index)
        list.push_back(serverRecord(index, domains()[static_cast<size_t>(index) % domains().size()]));
    return list;
}

inline RouteRule lookupRoute()
{
    RouteRule rule;
    rule.name = "lookup";
    rule.pathPrefix = "/";
    rule.weightedServices = { { "prices", 1 } };
    rule.idempotency = version::Idempotency::Idempotent;
    rule.timeoutMs = 2000;
    rule.targetLatencyMs = 400;
    rule.maxAttempts = 2;
    rule.hasAffinity = true;
    return rule;
}

// Number of instances and servers of one failure domain, and its weight in the distribution of requests.
struct DomainSize {
    int instances = 3;
    int servers = 4;
    double requestWeight = 1;
};

struct Workload {
    double requestsPerSecond = 100;
    int objects = 24;
    int seconds = 30;
    // The request rate is tripled from the first of these seconds until the second.
    int surgeFromSecond = -1;
    int surgeToSecond = -1;
    // All instances are replaced by new ones, which know nothing, at the beginning of this second; the servers keep
    // their caches.
    int restartSecond = -1;
    // Whether the new instances know that the system was running before.
    bool isRestartKnown = true;
    // Servers that join each failure domain at the beginning of this second.
    int joinSecond = -1;
    int joiningServers = 0;
    // One entry for each failure domain, in the order of domains().
    std::vector<DomainSize> domainSizes { {}, {}, {} };
    // Whether the callers of each failure domain request different objects.
    bool hasObjectsPerDomain = false;
    double interRegionRoundTripMs = 40;
    int64_t targetLatencyMs = 400;
    // Whether requests to other regions are under way, and in flight for the instance, for the round-trip time.
    bool hasNetworkDelay = false;
    // The requests of each failure domain vary by this ratio of their mean, a third of a period apart.
    double waveAmplitude = 0;
    double wavePeriodSeconds = 36;
    // From the first of these seconds until the second, the servers of the failure domain are gone.
    int lostDomain = -1;
    int lostFromSecond = -1;
    int lostToSecond = -1;
    // From the first of these seconds until the second, nothing passes between the region of the failure domain and
    // the others.
    int cutDomain = -1;
    int cutFromSecond = -1;
    int cutToSecond = -1;
    // No load messages are exchanged from the first of these seconds until the second.
    int silentFromSecond = -1;
    int silentToSecond = -1;
    // Slots of each server; its queue has three times as many places.
    int slots = defaultSlots;
    // Processing time on a server relative to usual, by its index, the time and the number of requests that it
    // executes, including the one that begins. Null: 1.
    std::function<double(size_t server, double nowMs, size_t running)> processingFactor {};
    // As above, of the machine of the server: told in the load header of each response.
    std::function<double(size_t server, double nowMs)> machineFactor {};
    // What the oracle knows about a server.
    std::function<ServerCapacityEstimate(size_t server, double nowMs)> trueCapacity {};
};

enum class Policy {
    // chooseServer(), with load and cached objects exchanged between the instances.
    Placement,
    // The same without region shares.
    PlacementWithoutShares,
    // chooseServer(), where each instance knows only its own requests.
    PlacementWithoutExchange,
    // chooseServer() with the true capacities of the servers.
    PlacementWithOracle,
    // chooseServer() with a neutral capacity of all servers.
    PlacementWithoutCapacity,
    // The server of the own region that has the fewest requests of this instance in flight.
    LeastRequests,
};

struct Result {
    std::vector<int> requestsBySecond;
    std::vector<int> inTimeBySecond;
    // The same by region of the callers.
    std::map<std::string, std::vector<int>> requestsByRegion;
    std::map<std::string, std::vector<int>> inTimeByRegion;
    // Requests sent in each half second: by region of the callers, half second and region of the server.
    std::map<std::string, std::vector<std::map<std::string, int>>> sendsByRegion;
    // Requests sent to each server, by index.
    std::vector<int> sendsByServer;
    // Durations of the requests that were answered, and when they were sent.
    std::vector<std::pair<double, double>> sentAtAndDurationMs;

    // 99th percentile of the durations of requests sent in this time.
    double p99Ms(double fromMs, double toMs) const
    {
        std::vector<double> durations;
        for (const auto& [sentAt, duration] : this->sentAtAndDurationMs) {
            if (sentAt >= fromMs && sentAt < toMs)
                durations.push_back(duration);
        }
        if (durations.empty())
            return 0;
        const auto at = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() * 99 / 100);
        std::nth_element(durations.begin(), at, durations.end());
        return *at;
    }

    // Largest ratio of a region's requests whose server region changed from one window of 2 s to the next, of the
    // windows that begin in `fromSecond` or later.
    double largestShift(const std::string& region, size_t fromSecond = 0) const
    {
        const auto& halfSeconds = this->sendsByRegion.at(region);
        const auto window = [&halfSeconds](size_t from) {
            std::map<std::string, double> sum;
            double all = 0;
            for (size_t halfSecond = from; halfSecond < from + 4; ++halfSecond) {
                for (const auto& [target, count] : halfSeconds[halfSecond]) {
                    sum[target] += count;
                    all += count;
                }
            }
            for (auto& [target, count] : sum)
                count /= std::max(all, 1.0);
            return sum;
        };
        double largest = 0;
        for (size_t from = 2 * fromSecond; from + 8 <= halfSeconds.size(); ++from) {
            const std::map<std::string, double> first = window(from);
            double shiftedRatio = 0;
            for (const auto& [target, ratio] : window(from + 4)) {
                const auto firstRatio = first.find(target);
                shiftedRatio += std::max(0.0, ratio - (firstRatio == first.end() ? 0 : firstRatio->second));
            }
            largest = std::max(largest, shiftedRatio);
        }
        return largest;
    }

    double inTimeRatioBetween(size_t from, size_t to) const
    {
        int requestCount = 0;
        int inTimeCount = 0;
        for (size_t second = from; second < std::min(to, this->requestsBySecond.size()); ++second) {
            requestCount += this->requestsBySecond[second];
            inTimeCount += this->inTimeBySecond[second];
        }
        return requestCount > 0 ? static_cast<double>(inTimeCount) / requestCount : 0;
    }

    double inTimeRatioOf(const std::string& region, size_t from, size_t to) const
    {
        const std::vector<int>& requests = this->requestsByRegion.at(region);
        const std::vector<int>& inTime = this->inTimeByRegion.at(region);
        const auto sum = [from, to](const std::vector<int>& counts) {
            return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(from),
                counts.begin() + static_cast<std::ptrdiff_t>(std::min(to, counts.size())), 0.0);
        };
        return sum(inTime) / std::max(sum(requests), 1.0);
    }

    double inTimeRatio() const { return this->inTimeRatioBetween(0, this->requestsBySecond.size()); }
};

// Simulated server with a queue and an LRU cache of objects.
class SimulatedServer {
public:
    static constexpr double uncachedMs = 640;
    static constexpr double cachedMs = 190;
    static constexpr size_t objectCacheCapacity = 25;

    struct Job {
        int object = 0;
        std::function<void(bool wasExecuted)> onFinished;
    };

    std::deque<Job> queue;
    size_t running = 0;

    double processingMs(int object)
    {
        const auto found = std::find(this->cachedObjects.begin(), this->cachedObjects.end(), object);
        const bool isCached = found != this->cachedObjects.end();
        if (isCached)
            this->cachedObjects.erase(found);
        this->cachedObjects.push_front(object);
        if (this->cachedObjects.size() > objectCacheCapacity)
            this->cachedObjects.pop_back();
        return isCached ? cachedMs : uncachedMs;
    }

private:
    std::list<int> cachedObjects;
};

// Simulated instance with the state that it needs for placement.
struct SimulatedInstance {
    SimulatedInstance(const Clock& clock, const EdgeSettings& edgeSettings, const InstanceHeartbeat& heartbeat)
        : settings(edgeSettings)
        , view(clock, heartbeat)
        , fleet(clock, regionOfDomain())
        , shiftLimiter(clock)
        , regionShares(clock, edgeSettings.region)
        , exchange(clock, this->settings, this->fleet, this->shiftLimiter, this->view, &this->regionShares)
    {
        this->fleet.setCapacityUse(CapacityUse::Apply);
    }

    EdgeSettings settings;
    InstanceMembership view;
    BackendFleet fleet;
    ShiftLimiter shiftLimiter;
    RegionShares regionShares;
    LoadExchange exchange;
};

class SimulationRun {
public:
    SimulationRun(Policy policy, const Workload& load, uint32_t seed)
        : policy(policy)
        , workload(load)
        , random(seed)
    {
        this->result.requestsBySecond.resize(static_cast<size_t>(load.seconds));
        this->result.inTimeBySecond.resize(static_cast<size_t>(load.seconds));
        this->rule.targetLatencyMs = load.targetLatencyMs;
        for (const std::string& domain : domains()) {
            this->result.requestsByRegion[regionOfDomain().at(domain)].resize(static_cast<size_t>(load.seconds));
            this->result.inTimeByRegion[regionOfDomain().at(domain)].resize(static_cast<size_t>(load.seconds));
        }
        for (const std::string& domain : domains())
            this->roundTripsMs[regionOfDomain().at(domain)] = load.interRegionRoundTripMs;
        std::vector<ServerRecord> all;
        for (size_t domain = 0; domain < domains().size(); ++domain) {
            for (int index = 0; index < load.domainSizes[domain].servers; ++index)
                all.push_back(serverRecord(static_cast<int>(all.size()), domains()[domain], load.slots));
            for (int index = 0; index < load.domainSizes[domain].instances; ++index)
                this->addInstance(domain);
        }
        this->servers.resize(all.size());
        this->records = std::move(all);
        this->publishRecords();
    }

    Result execute()
    {
        this->exchangeHeartbeats();
        if (this->policy != Policy::PlacementWithoutExchange && this->policy != Policy::LeastRequests)
            this->exchangeLoad();
        for (const int second : { this->workload.lostFromSecond, this->workload.lostToSecond }) {
            if (second >= 0)
                this->scheduleAfter(second * 1000.0, [this] { this->publishRecords(); });
        }
        this->scheduleArrival();
        if (this->workload.restartSecond >= 0)
            this->scheduleAfter(this->workload.restartSecond * 1000.0, [this] { this->restartInstances(); });
        if (this->workload.joinSecond >= 0)
            this->scheduleAfter(this->workload.joinSecond * 1000.0, [this] { this->addJoiningServers(); });
        const double endMs = this->workload.seconds * 1000.0 + 5000;
        while (!this->events.empty() && this->events.top().timeMs < endMs) {
            const Event event = this->events.top();
            this->events.pop();
            const auto stepMs = static_cast<int64_t>(event.timeMs) - static_cast<int64_t>(this->nowMs);
            this->clock.advance(Milliseconds(stepMs));
            this->nowMs = event.timeMs;
            event.action();
        }
        return this->result;
    }

private:
    static constexpr double sameRegionRoundTripMs = 1;

    struct Event {
        double timeMs = 0;
        uint64_t sequenceNumber = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return this->timeMs != other.timeMs ? this->timeMs > other.timeMs
                                                : this->sequenceNumber > other.sequenceNumber;
        }
    };

    void addInstance(size_t domain)
    {
        EdgeSettings settings;
        settings.failureDomain = domains()[domain];
        settings.regionOfDomain = regionOfDomain();
        settings.region = settings.regionOfDomainIndex(domain);
        InstanceHeartbeat heartbeat;
        heartbeat.address = static_cast<uint32_t>(this->instances.size() + 1);
        heartbeat.domainIndex = static_cast<uint8_t>(domain);
        heartbeat.isReady = true;
        this->instances.push_back(std::make_unique<SimulatedInstance>(this->clock, settings, heartbeat));
        this->instancesByDomain[domain].push_back(this->instances.back().get());
    }

    bool isBetween(int fromSecond, int toSecond) const
    {
        return fromSecond >= 0 && this->nowMs >= fromSecond * 1000.0 && this->nowMs < toSecond * 1000.0;
    }

    bool isCut(const std::string& left, const std::string& right) const
    {
        if (left == right || !this->isBetween(this->workload.cutFromSecond, this->workload.cutToSecond))
            return false;
        const std::string cut = regionOfDomain().at(domains()[static_cast<size_t>(this->workload.cutDomain)]);
        return left == cut || right == cut;
    }

    void publishRecords()
    {
        this->result.sendsByServer.resize(this->records.size());
        std::vector<ServerRecord> present = this->records;
        if (this->workload.lostDomain >= 0
            && this->isBetween(this->workload.lostFromSecond, this->workload.lostToSecond)) {
            const std::string& lost = domains()[static_cast<size_t>(this->workload.lostDomain)];
            std::erase_if(present, [&lost](const ServerRecord& record) { return record.failureDomain == lost; });
        }
        for (const auto& instance : this->instances)
            instance->fleet.applyRecords(present, this->clock.now());
    }

    // The former instances are kept until the end, because responses to their requests are still under way.
    void restartInstances()
    {
        for (auto& instance : this->instances)
            this->formerInstances.push_back(std::move(instance));
        this->instances.clear();
        this->instancesByDomain.clear();
        for (size_t domain = 0; domain < domains().size(); ++domain) {
            for (int index = 0; index < this->workload.domainSizes[domain].instances; ++index)
                this->addInstance(domain);
        }
        this->isAfterRestart = this->workload.isRestartKnown;
        this->publishRecords();
    }

    void addJoiningServers()
    {
        for (const std::string& domain : domains()) {
            for (int index = 0; index < this->workload.joiningServers; ++index)
                this->records.push_back(
                    serverRecord(static_cast<int>(this->records.size()), domain, this->workload.slots));
        }
        this->servers.resize(this->records.size());
        this->publishRecords();
    }

    void scheduleAfter(double milliseconds, std::function<void()> action)
    {
        this->events.push({ this->nowMs + milliseconds, this->nextSequenceNumber++, std::move(action) });
    }

    void countSend(const std::string& from, const std::string& to)
    {
        auto& halfSeconds = this->result.sendsByRegion[from];
        halfSeconds.resize(static_cast<size_t>(this->workload.seconds) * 2);
        ++halfSeconds[std::min(static_cast<size_t>(this->nowMs / 500), halfSeconds.size() - 1)][to];
    }

    void exchangeHeartbeats()
    {
        for (const auto& sender : this->instances) {
            const std::string heartbeat = sender->view.nextDatagram();
            for (const auto& receiver : this->instances) {
                if (receiver != sender && !this->isCut(receiver->settings.region, sender->settings.region))
                    receiver->view.receive(heartbeat);
            }
        }
        this->scheduleAfter(500, [this] { this->exchangeHeartbeats(); });
    }

    void exchangeLoad()
    {
        for (const auto& sender : this->instances) {
            const uint32_t address = sender->view.ownHeartbeat().address;
            for (const LoadExchange::Datagram& datagram : sender->exchange.collectDueDatagrams()) {
                SimulatedInstance& target = *this->instances[datagram.target - 1];
                const bool isSameRegion = target.settings.region == sender->settings.region;
                if (this->isCut(target.settings.region, sender->settings.region)
                    || this->isBetween(this->workload.silentFromSecond, this->workload.silentToSecond))
                    continue;
                this->scheduleAfter(isSameRegion ? sameRegionRoundTripMs : this->workload.interRegionRoundTripMs / 2,
                    [&target, address, bytes = datagram.bytes] { target.exchange.receive(address, bytes); });
            }
        }
        this->scheduleAfter(50, [this] { this->exchangeLoad(); });
    }

    void scheduleArrival()
    {
        const auto second = static_cast<int>(this->nowMs / 1000);
        const bool isSurge = second >= this->workload.surgeFromSecond && second < this->workload.surgeToSecond;
        const double rate = this->workload.requestsPerSecond * (isSurge ? 3 : 1);
        std::exponential_distribution<double> interarrivalMs(rate / 1000);
        this->scheduleAfter(interarrivalMs(this->random), [this] {
            if (this->nowMs >= this->workload.seconds * 1000.0)
                return;
            this->handleArrival();
            this->scheduleArrival();
        });
    }

    void handleArrival()
    {
        std::vector<double> weights;
        weights.reserve(this->workload.domainSizes.size());
        for (const DomainSize& size : this->workload.domainSizes) {
            const double phase = this->nowMs / 1000 / this->workload.wavePeriodSeconds
                + static_cast<double>(weights.size()) / static_cast<double>(this->workload.domainSizes.size());
            const double wave = std::sin(2 * std::numbers::pi * phase);
            weights.push_back(size.requestWeight * (1 + this->workload.waveAmplitude * wave));
        }
        std::discrete_distribution<size_t> chooseDomain(weights.begin(), weights.end());
        const size_t domain = chooseDomain(this->random);
        int object = static_cast<int>(this->random() % static_cast<uint32_t>(this->workload.objects));
        if (this->workload.hasObjectsPerDomain)
            object += static_cast<int>(domain) * this->workload.objects;
        const std::vector<SimulatedInstance*>& instancesOfDomain = this->instancesByDomain[domain];
        SimulatedInstance& instance = *instancesOfDomain[this->random() % instancesOfDomain.size()];
        const auto second = static_cast<size_t>(this->nowMs / 1000);
        ++this->result.requestsBySecond[second];
        ++this->result.requestsByRegion.at(instance.settings.region)[second];
        this->send(instance, object, second);
    }

    void send(SimulatedInstance& instance, int object, size_t second, bool isRetry = false)
    {
        BackendFleet& fleet = instance.fleet;
        const std::optional<PlacementChoice> choice = this->chooseServerFor(instance, object);
        if (!choice || !shouldSend(*choice)) {
            instance.shiftLimiter.recordRefusal();
            return;
        }
        const BackendServerPointer server = choice->server;
        const double roundTripMs = server->region == instance.settings.region ? sameRegionRoundTripMs
                                                                              : this->workload.interRegionRoundTripMs;
        const double startedAt = this->nowMs;
        if (this->isCut(server->region, instance.settings.region)) {
            fleet.beginAttempt(*server, choice->expectedProcessingMs);
            this->scheduleAfter(200, [this, &instance, &fleet, server, object, second, isRetry] {
                fleet.endAttempt(*server, AttemptOutcome::Unreachable);
                if (!isRetry)
                    this->send(instance, object, second, true);
            });
            return;
        }
        fleet.beginAttempt(*server, choice->expectedProcessingMs);
        instance.shiftLimiter.recordSend(server->region != instance.settings.region);
        this->countSend(instance.settings.region, server->region);
        fleet.recordCachedObject(*server, objectKeyOf(choice->objectHash));
        const auto index = static_cast<size_t>(std::stoi(server->record.id.substr(1)));
        ++this->result.sendsByServer[index];
        const double delayMs = this->workload.hasNetworkDelay ? roundTripMs / 2 : 0;
        const double baseMs = choice->isObjectCached ? this->processingTime.cachedMs : this->processingTime.uncachedMs;
        const DurationSample expected { 0, choice->expectedWaitMs + baseMs,
            (choice->load + 1) / static_cast<double>(this->workload.slots), 1 };
        const auto onAnswered = [this, &instance, &fleet, server, index, startedAt, roundTripMs, delayMs, second,
                                    expected](bool wasExecuted, int64_t running, int64_t waiting) {
            fleet.recordLoadReport(*server, running, waiting, this->workload.slots);
            fleet.endAttempt(*server, wasExecuted ? AttemptOutcome::Answered : AttemptOutcome::Shed);
            const double durationMs = this->nowMs - startedAt + (delayMs > 0 ? 0 : roundTripMs);
            if (wasExecuted) {
                this->result.sentAtAndDurationMs.emplace_back(startedAt, durationMs);
                DurationSample sample = expected;
                sample.durationMs = durationMs - roundTripMs;
                sample.machineFactor = this->machineFactorOf(index);
                sample.loadRatio = measuredLoadRatio(expected.loadRatio, { running, waiting, this->workload.slots });
                if (this->policy != Policy::PlacementWithoutCapacity && this->policy != Policy::PlacementWithOracle)
                    fleet.recordDuration(*server, sample);
            }
            if (wasExecuted && durationMs <= static_cast<double>(this->rule.targetLatencyMs)) {
                ++this->result.inTimeBySecond[second];
                ++this->result.inTimeByRegion.at(instance.settings.region)[second];
            }
        };
        const SimulatedServer::Job job { object, [this, index, delayMs, onAnswered](bool wasExecuted) {
                                            const SimulatedServer& simulated = this->servers[index];
                                            const auto running = static_cast<int64_t>(simulated.running);
                                            const auto waiting = static_cast<int64_t>(simulated.queue.size());
                                            this->after(delayMs, [onAnswered, wasExecuted, running, waiting] {
                                                onAnswered(wasExecuted, running, waiting);
                                            });
                                        } };
        this->after(delayMs, [this, index, job] { this->submit(index, job); });
    }

    // Without a delay, the action takes place at once.
    void after(double milliseconds, const std::function<void()>& action)
    {
        if (milliseconds > 0)
            this->scheduleAfter(milliseconds, action);
        else
            action();
    }

    double machineFactorOf(size_t index) const
    {
        return this->workload.machineFactor ? this->workload.machineFactor(index, this->nowMs) : 1;
    }

    void setTrueCapacities(BackendFleet& fleet)
    {
        for (const BackendServerPointer& server : fleet.servers("prices")) {
            const auto index = static_cast<size_t>(std::stoi(server->record.id.substr(1)));
            server->capacity = this->workload.trueCapacity(index, this->nowMs);
        }
    }

    std::optional<PlacementChoice> chooseServerFor(SimulatedInstance& instance, int object)
    {
        if (this->policy == Policy::PlacementWithOracle && this->workload.trueCapacity)
            this->setTrueCapacities(instance.fleet);
        if (this->policy != Policy::LeastRequests) {
            const SteadyTime now = this->clock.now();
            const PlacementRequest request { this->rule, this->service, std::to_string(object),
                instance.settings.region, instance.settings.failureDomain, this->roundTripsMs,
                [](const BackendServer&) { return true; }, now, now + Milliseconds(this->rule.timeoutMs),
                instance.shiftLimiter, this->coldServerSenders, this->excludedServers, this->isAfterRestart,
                this->policy == Policy::PlacementWithoutShares || this->policy == Policy::PlacementWithoutExchange
                    ? nullptr
                    : &instance.regionShares };
            return chooseServer(instance.fleet, request, this->processingTime, now);
        }
        PlacementChoice choice;
        for (const BackendServerPointer& server : instance.fleet.servers("prices")) {
            if (server->region == instance.settings.region
                && (!choice.server || server->inFlight < choice.server->inFlight))
                choice.server = server;
        }
        return choice;
    }

    void submit(size_t index, SimulatedServer::Job job)
    {
        SimulatedServer& server = this->servers[index];
        const auto slots = static_cast<size_t>(this->workload.slots);
        if (server.running >= slots && server.queue.size() >= 3 * slots) {
            this->scheduleAfter(1, [job] { job.onFinished(false); });
            return;
        }
        server.queue.push_back(std::move(job));
        this->startQueuedJobs(index);
    }

    void startQueuedJobs(size_t index)
    {
        SimulatedServer& server = this->servers[index];
        while (server.running < static_cast<size_t>(this->workload.slots) && !server.queue.empty()) {
            const SimulatedServer::Job job = std::move(server.queue.front());
            server.queue.pop_front();
            ++server.running;
            std::lognormal_distribution<double> processingTimeFactor(0, 0.15);
            double durationMs = server.processingMs(job.object) * processingTimeFactor(this->random);
            durationMs *= this->machineFactorOf(index);
            if (this->workload.processingFactor)
                durationMs *= this->workload.processingFactor(index, this->nowMs, server.running);
            this->scheduleAfter(durationMs, [this, index, job] {
                --this->servers[index].running;
                job.onFinished(true);
                this->startQueuedJobs(index);
            });
        }
    }

    Policy policy;
    Workload workload;
    std::mt19937 random;
    FakeClock clock;
    // A deque, because servers that join must not move the others.
    std::deque<SimulatedServer> servers;
    std::vector<ServerRecord> records;
    std::vector<std::unique_ptr<SimulatedInstance>> instances;
    std::vector<std::unique_ptr<SimulatedInstance>> formerInstances;
    bool isAfterRestart = false;
    std::map<size_t, std::vector<SimulatedInstance*>> instancesByDomain;
    std::priority_queue<Event> events;
    uint64_t nextSequenceNumber = 0;
    double nowMs = 0;
    RouteRule rule = lookupRoute();
    ServiceSettings service { "prices", 330, 3000, 2.9 };
    std::map<std::string, double> roundTripsMs;
    std::set<const BackendServer*> excludedServers;
    ColdServerSenders coldServerSenders { { 1, 2, 3 }, 1, 5 };
    ProcessingTimeEstimate processingTime { SimulatedServer::uncachedMs, SimulatedServer::cachedMs };
    Result result;
};

inline Result run(Policy policy, const Workload& load, uint32_t seed)
{
    return SimulationRun(policy, load, seed).execute();
}

}
