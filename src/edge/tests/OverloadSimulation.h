#pragma once

#include <wagtailrack/edge/OverloadAdmission.h>

#include "ServiceSimulation.h"

#include <cmath>
#include <functional>

// Simulates one service under overload: routes of different priorities, workspaces, callers that return once after a
// refusal, and instances that decide with OverloadAdmission. Without a network and in simulated time.
namespace wagtailrack::edge::simulation {

// A route's requests, with the value of a response within the target latency.
struct OverloadRoute {
    RouteRule rule;
    double requestShare = 0;
    double processingMs = 0;
    double worth = 1;
};

enum class AdmissionPolicy {
    // shouldSend() alone.
    ScoreOnly,
    OverloadAdmission,
};

struct OverloadLoad {
    std::vector<OverloadRoute> routes;
    double requestsPerSecond = 500;
    int seconds = 24;
    int instancesPerDomain = 8;
    int serversPerDomain = 10;
    int workspaces = 0;
    // Multiplies the traffic of workspace 3 during [surgeFromSecond, surgeToSecond).
    double workspaceSurge = 1;
    int surgeFromSecond = 0;
    int surgeToSecond = 0;
    // Relative amplitude of the wave of the domains' demand, a third of a period apart.
    double waveAmplitude = 0;
    // Results count requests that begin in [measuredFromSecond, seconds).
    int measuredFromSecond = 6;
    AdmissionPolicy policy = AdmissionPolicy::OverloadAdmission;
    // Whether callers return after a quarter of the target latency, if this is shorter than a quarter of their
    // remaining time.
    bool isRetryAfterFromTarget = true;
};

struct KindResult {
    double asked = 0;
    double served = 0;
    double inTime = 0;
    double worth = 0;
    double possibleWorth = 0;

    double servedRatio() const { return this->asked > 0 ? this->served / this->asked : 1; }
    double worthRatio() const { return this->possibleWorth > 0 ? this->worth / this->possibleWorth : 1; }
};

struct OverloadResult {
    KindResult all;
    std::map<std::string, KindResult> byRoute;
    std::map<std::string, KindResult> byWorkspace;
};

inline OverloadRoute overloadRoute(const char* name, int64_t priority, int64_t targetMs, int64_t deadlineMs,
    double processingMs, double share, double worth)
{
    RouteRule rule = lookupRoute();
    rule.name = name;
    rule.priority = priority;
    rule.targetLatencyMs = targetMs;
    rule.timeoutMs = deadlineMs;
    return { rule, share, processingMs, worth };
}

class OverloadRun {
public:
    OverloadRun(const OverloadLoad& load, uint32_t seed)
        : load(load)
        , random(seed)
    {
        std::vector<ServerRecord> records;
        for (const std::string& domain : domains()) {
            for (int index = 0; index < load.serversPerDomain; ++index) {
                records.push_back(serverRecord(static_cast<int>(records.size()), domain));
                records.back().slots = static_cast<int64_t>(slots);
            }
        }
        this->servers.resize(records.size());
        for (size_t domain = 0; domain < domains().size(); ++domain) {
            this->roundTripsMs[regionOfDomain().at(domains()[domain])] = 110;
            for (int index = 0; index < load.instancesPerDomain; ++index) {
                EdgeSettings settings;
                settings.failureDomain = domains()[domain];
                settings.regionOfDomain = regionOfDomain();
                settings.region = settings.regionOfDomainIndex(domain);
                InstanceHeartbeat heartbeat;
                heartbeat.address = static_cast<uint32_t>(this->instances.size() + 1);
                heartbeat.domainIndex = static_cast<uint8_t>(domain);
                heartbeat.isReady = true;
                this->instances.push_back(std::make_unique<Instance>(this->clock, settings, heartbeat));
                this->instances.back()->base.fleet.applyRecords(records, this->clock.now());
            }
        }
    }

    OverloadResult execute()
    {
        this->exchangeHeartbeats();
        this->exchangeLoad();
        this->scheduleArrival();
        const double endMs = this->load.seconds * 1000.0 + 6000;
        while (!this->events.empty() && this->events.top().timeMs < endMs) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.advance(Milliseconds(static_cast<int64_t>(event.timeMs) - static_cast<int64_t>(this->nowMs)));
            this->nowMs = event.timeMs;
            event.action();
        }
        return this->result;
    }

private:
    static constexpr size_t slots = 6;
    static constexpr size_t queueCapacity = 18;
    static constexpr size_t cacheCapacity = 40;
    static constexpr double cachedRatio = 0.3;
    static constexpr int objectsPerRoute = 80;

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

    struct Instance {
        Instance(const Clock& clock, const EdgeSettings& settings, const InstanceHeartbeat& heartbeat)
            : base(clock, settings, heartbeat)
        {
        }
        SimulatedInstance base;
        OverloadAdmission admission;
    };

    // A caller's request over all its tries; times in simulated milliseconds.
    struct Request {
        const OverloadRoute* route = nullptr;
        std::string workspace;
        std::string object;
        size_t domain = 0;
        double firstAtMs = 0;
        double deadlineMs = 0;
        double arrivedAtMs = 0;
        bool isReturning = false;
        int sends = 0;
        std::set<const BackendServer*> excludedServers;
        Instance* instance = nullptr;
        AdmissionRequest admission;
        bool isBeyondWorkspaceShare = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Job {
        RequestPointer request;
        std::function<void(bool wasExecuted)> onFinished;
    };

    struct Server {
        std::deque<Job> queue;
        std::list<std::string> cachedObjects;
        size_t running = 0;
    };

    void scheduleAfter(double milliseconds, std::function<void()> action)
    {
        this->events.push({ this->nowMs + milliseconds, this->nextSequenceNumber++, std::move(action) });
    }

    void exchangeHeartbeats()
    {
        for (const auto& sender : this->instances) {
            const std::string heartbeat = sender->base.view.nextDatagram();
            for (const auto& receiver : this->instances) {
                if (receiver != sender)
                    receiver->base.view.receive(heartbeat);
            }
        }
        this->scheduleAfter(500, [this] { this->exchangeHeartbeats(); });
    }

    void exchangeLoad()
    {
        for (const auto& sender : this->instances) {
            const uint32_t address = sender->base.view.ownHeartbeat().address;
            for (const LoadExchange::Datagram& datagram : sender->base.exchange.collectDueDatagrams()) {
                SimulatedInstance& target = this->instances[datagram.target - 1]->base;
                const bool isSameRegion = target.settings.region == sender->base.settings.region;
                this->scheduleAfter(isSameRegion ? 1 : 55,
                    [&target, address, bytes = datagram.bytes] { target.exchange.receive(address, bytes); });
            }
        }
        this->scheduleAfter(50, [this] { this->exchangeLoad(); });
    }

    bool isSurge() const
    {
        return this->nowMs >= this->load.surgeFromSecond * 1000.0 && this->nowMs < this->load.surgeToSecond * 1000.0;
    }

    double workspaceWeight(int workspace) const
    {
        return std::pow(workspace + 1, -1.2) * (workspace == 3 && this->isSurge() ? this->load.workspaceSurge : 1);
    }

    void scheduleArrival()
    {
        double usual = 0;
        double now = 0;
        for (int workspace = 0; workspace < this->load.workspaces; ++workspace) {
            usual += std::pow(workspace + 1, -1.2);
            now += this->workspaceWeight(workspace);
        }
        const double rate = this->load.requestsPerSecond * (usual > 0 ? now / usual : 1);
        std::exponential_distribution<double> interarrivalMs(rate / 1000);
        this->scheduleAfter(interarrivalMs(this->random), [this] {
            if (this->nowMs >= this->load.seconds * 1000.0)
                return;
            this->handleArrival();
            this->scheduleArrival();
        });
    }

    void handleArrival()
    {
        const auto request = std::make_shared<Request>();
        std::vector<double> weights;
        for (size_t domain = 0; domain < domains().size(); ++domain)
            weights.push_back(1
                + this->load.waveAmplitude
                    * std::sin(2 * M_PI * (this->nowMs / 36000 + static_cast<double>(domain) / 3)));
        request->domain = std::discrete_distribution<size_t>(weights.begin(), weights.end())(this->random);
        weights.clear();
        for (const OverloadRoute& route : this->load.routes)
            weights.push_back(route.requestShare);
        request->route
            = &this->load.routes[std::discrete_distribution<size_t>(weights.begin(), weights.end())(this->random)];
        if (this->load.workspaces > 0) {
            weights.clear();
            for (int workspace = 0; workspace < this->load.workspaces; ++workspace)
                weights.push_back(this->workspaceWeight(workspace));
            request->workspace
                = "t" + std::to_string(std::discrete_distribution<int>(weights.begin(), weights.end())(this->random));
        }
        request->object = std::to_string(request->domain) + "/"
            + std::to_string(this->random() % static_cast<uint32_t>(objectsPerRoute));
        request->firstAtMs = this->nowMs;
        request->deadlineMs = this->nowMs + static_cast<double>(request->route->rule.timeoutMs);
        this->count(*request, [request](KindResult& kind) {
            kind.asked += 1;
            kind.possibleWorth += request->route->worth;
        });
        this->startTry(request);
    }

    void count(const Request& request, const std::function<void(KindResult&)>& change)
    {
        if (request.firstAtMs < this->load.measuredFromSecond * 1000.0)
            return;
        change(this->result.all);
        change(this->result.byRoute[request.route->rule.name]);
        if (!request.workspace.empty())
            change(this->result.byWorkspace[request.workspace]);
    }

    void startTry(const RequestPointer& request)
    {
        const size_t perDomain = static_cast<size_t>(this->load.instancesPerDomain);
        request->instance = this->instances[request->domain * perDomain + this->random() % perDomain].get();
        request->arrivedAtMs = this->nowMs;
        request->sends = 0;
        request->excludedServers.clear();
        request->admission = { "prices", request->route->rule.name, request->workspace, request->route->rule.priority,
            request->route->rule.targetLatencyMs, request->isReturning };
        request->isBeyondWorkspaceShare = request->instance->admission.recordArrival(request->admission);
        this->attempt(request);
    }

    SteadyTime deadlineOf(const Request& request) const
    {
        return this->clock.now() + Milliseconds(static_cast<int64_t>(request.deadlineMs - this->nowMs));
    }

    void attempt(const RequestPointer& request)
    {
        Instance& instance = *request->instance;
        const SteadyTime now = this->clock.now();
        const auto elapsed = Milliseconds(static_cast<int64_t>(this->nowMs - request->arrivedAtMs));
        const PlacementRequest placement { request->route->rule, this->service, request->object,
            instance.base.settings.region, instance.base.settings.failureDomain, this->roundTripsMs,
            [](const BackendServer&) { return true; }, now - elapsed, this->deadlineOf(*request),
            instance.base.shiftLimiter, this->coldServerSenders, request->excludedServers };
        const ProcessingTimeEstimate processingTime { request->route->processingMs,
            request->route->processingMs * cachedRatio };
        const std::optional<PlacementChoice> choice = chooseServer(instance.base.fleet, placement, processingTime, now);
        if (!choice || !this->isAdmitted(*request, *choice)) {
            this->refuse(request);
            return;
        }
        if (request->sends == 0)
            instance.admission.recordSend(request->admission);
        this->send(request, *choice);
    }

    bool isAdmitted(const Request& request, const PlacementChoice& choice) const
    {
        if (this->load.policy == AdmissionPolicy::ScoreOnly)
            return shouldSend(choice, request.isReturning);
        return request.instance->admission.decide(request.admission, request.isBeyondWorkspaceShare, choice).outcome
            == AdmissionOutcome::Send;
    }

    void refuse(const RequestPointer& request)
    {
        const double leftMs = request->deadlineMs - this->nowMs;
        if (request->isReturning || leftMs < 150)
            return;
        request->isReturning = true;
        const double targetMs
            = this->load.isRetryAfterFromTarget ? static_cast<double>(request->route->rule.targetLatencyMs) : leftMs;
        this->scheduleAfter(
            std::max(50.0, 0.25 * std::min(leftMs, targetMs)), [this, request] { this->startTry(request); });
    }

    void send(const RequestPointer& request, const PlacementChoice& choice)
    {
        const BackendServerPointer server = choice.server;
        BackendFleet& fleet = request->instance->base.fleet;
        const bool isLocal = server->region == request->instance->base.settings.region;
        fleet.beginAttempt(*server, choice.expectedProcessingMs);
        request->instance->base.shiftLimiter.recordSend(!isLocal);
        fleet.recordCachedObject(*server, objectKeyOf(choice.objectHash));
        request->excludedServers.insert(server.get());
        ++request->sends;
        const auto index = static_cast<size_t>(std::stoi(server->record.id.substr(1)));
        const auto finish = [this, request, server, index, isLocal, &fleet](bool wasExecuted) {
            Server& simulated = this->servers[index];
            fleet.recordLoadReport(
                *server, static_cast<int64_t>(simulated.running), static_cast<int64_t>(simulated.queue.size()), slots);
            fleet.endAttempt(*server, wasExecuted ? AttemptOutcome::Answered : AttemptOutcome::Shed);
            if (!wasExecuted) {
                if (request->sends >= 2)
                    this->refuse(request);
                else
                    this->attempt(request);
                return;
            }
            const double doneAtMs = this->nowMs + (isLocal ? 1 : 110);
            if (doneAtMs > request->deadlineMs)
                return;
            const bool isInTime
                = doneAtMs - request->firstAtMs <= static_cast<double>(request->route->rule.targetLatencyMs);
            this->count(*request, [&](KindResult& kind) {
                kind.served += 1;
                kind.inTime += isInTime ? 1 : 0;
                kind.worth += request->route->worth * (isInTime ? 1 : 0.2);
            });
        };
        Server& simulated = this->servers[index];
        if (simulated.running >= slots && simulated.queue.size() >= queueCapacity) {
            this->scheduleAfter(1, [finish] { finish(false); });
            return;
        }
        simulated.queue.push_back({ request, finish });
        this->startQueuedJobs(index);
    }

    double processingMs(Server& server, const Request& request)
    {
        const std::string key = request.route->rule.name + request.object;
        const auto found = std::find(server.cachedObjects.begin(), server.cachedObjects.end(), key);
        const bool isCached = found != server.cachedObjects.end();
        if (isCached)
            server.cachedObjects.erase(found);
        server.cachedObjects.push_front(key);
        if (server.cachedObjects.size() > cacheCapacity)
            server.cachedObjects.pop_back();
        std::lognormal_distribution<double> factor(0, 0.15);
        return request.route->processingMs * (isCached ? cachedRatio : 1) * factor(this->random);
    }

    void startQueuedJobs(size_t index)
    {
        Server& server = this->servers[index];
        while (server.running < slots && !server.queue.empty()) {
            const Job job = std::move(server.queue.front());
            server.queue.pop_front();
            ++server.running;
            const double milliseconds
                = job.request->deadlineMs <= this->nowMs ? 0 : this->processingMs(server, *job.request);
            this->scheduleAfter(milliseconds, [this, index, job] {
                --this->servers[index].running;
                job.onFinished(true);
                this->startQueuedJobs(index);
            });
        }
    }

    OverloadLoad load;
    std::mt19937 random;
    FakeClock clock;
    std::deque<Server> servers;
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Event> events;
    uint64_t nextSequenceNumber = 0;
    double nowMs = 0;
    ServiceSettings service { "prices", 330, 3000, 2.9 };
    std::map<std::string, double> roundTripsMs;
    ColdServerSenders coldServerSenders { { 1, 2, 3 }, 1, 5 };
    OverloadResult result;
};

}
