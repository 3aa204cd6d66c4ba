#include <wagtailrack/process/PeerNetwork.h>

#include "ExchangeTask.h"
#include "PeerTask.h"
#include "RelayTask.h"

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/base/Random.h>

#include <glog/logging.h>

#include <algorithm>

namespace wagtailrack::process {

namespace {

constexpr Milliseconds tickInterval { 200 };
// A tick that comes later than this means that the process was paused.
constexpr Milliseconds pauseThreshold { 1000 };
// A peer that does not take the news within this time learns it from the others.
constexpr Milliseconds leaveTimeout { 1000 };
constexpr Milliseconds leavePollInterval { 5 };

}

class PeerNetwork::Implementation {
public:
    Implementation(const Clock& clock, Membership& members, PeerTraffic& traffic, PeerHooks versionHooks)
        : hooks(std::move(versionHooks))
        , reachability(clock, members)
        , context { clock, members, traffic, this->hooks, this->reachability }
        , service(members, traffic, this->hooks, this->serviceCalls())
    {
    }

    PeerServiceCalls serviceCalls()
    {
        return { [this](const Member& target) { return this->probeOnce(target); },
            [this](const CrashNews& news, CrashRelay relay) { this->relayCrashes(news, relay); },
            [this](const std::vector<ReachabilityNews>& news) { this->reachability.merge(news); },
            [this] { return this->reachability.take(); } };
    }

    bool probeOnce(const Member& target)
    {
        PeerClient client(target.peerAddress, this->context.traffic);
        const auto answer = client.call(
            "probe", probeParameters(this->context, { target }), this->context.clock.now() + probeTimeout);
        return answer.has_value();
    }

    // Starts tasks for new peers and ends those of members that are forgotten.
    void reconcile()
    {
        const Member self = this->context.membership.self();
        std::set<std::string> wanted;
        for (const Member& member : this->context.membership.records(self.failureDomain)) {
            if (member.name != self.name)
                wanted.insert(member.name);
        }
        std::vector<std::unique_ptr<PeerTask>> ended;
        {
            const std::lock_guard lock(this->tasksMutex);
            for (const std::string& name : wanted) {
                if (!this->tasks.contains(name))
                    this->tasks[name] = std::make_unique<PeerTask>(this->context, name);
            }
            for (auto next = this->tasks.begin(); next != this->tasks.end();) {
                auto current = next++;
                if (wanted.contains(current->first))
                    continue;
                current->second->requestStop();
                ended.push_back(std::move(current->second));
                this->tasks.erase(current);
            }
        }
    }

    void tick()
    {
        SteadyTime last = this->context.clock.now();
        std::unique_lock lock(this->tickMutex);
        while (!this->tickWakeUp.wait_for(lock, tickInterval, [this] { return this->isStopping; })) {
            const SteadyTime now = this->context.clock.now();
            const auto gap = std::chrono::duration_cast<Milliseconds>(now - last);
            last = now;
            if (gap > pauseThreshold) {
                LOG(WARNING) << "event=resumed-after-pause pause_ms=" << gap.count();
                this->context.membership.extendSuspicions(gap);
            }
            this->context.membership.expire();
            this->reconcile();
        }
    }

    // Sends a message to all peers of the failure domain, or to `limit` random ones.
    void postToPeers(const std::string& method, const Json::Value& parameters, size_t limit = SIZE_MAX)
    {
        std::vector<Member> peers = livePeers(this->context.membership);
        for (size_t index = peers.size(); index > 1; --index)
            std::swap(peers[index - 1], peers[randomBelow(index)]);
        const std::lock_guard lock(this->tasksMutex);
        for (size_t index = 0; index < std::min(limit, peers.size()); ++index) {
            // A peer that was learned since the last tick has no task yet. Before start() and after stop() there is no
            // relay, and no task is started.
            std::unique_ptr<PeerTask>& task = this->tasks[peers[index].name];
            if (!task && this->relay)
                task = std::make_unique<PeerTask>(this->context, peers[index].name);
            if (task)
                task->post(method, parameters);
            else
                this->tasks.erase(peers[index].name);
        }
    }

    bool areTasksIdle()
    {
        const std::lock_guard lock(this->tasksMutex);
        return std::all_of(
            this->tasks.begin(), this->tasks.end(), [](const auto& entry) { return entry.second->isIdle(); });
    }

    void sendToOthers(const std::string& method, const Json::Value& parameters, std::vector<std::string> domains)
    {
        const std::lock_guard lock(this->tasksMutex);
        if (this->relay)
            this->relay->send(method, parameters, std::move(domains));
    }

    std::vector<std::string> otherFailureDomains() const
    {
        std::set<std::string> names;
        const std::string own = this->context.membership.self().failureDomain;
        for (const Member& member : this->context.membership.view()->members) {
            if (member.failureDomain != own && member.canTakeWork())
                names.insert(member.failureDomain);
        }
        return { names.begin(), names.end() };
    }

    // The other failure domains for which this instance ranks first among its peers, so that together they forward to
    // all.
    std::vector<std::string> ownShareOfFailureDomains() const
    {
        const std::string self = this->context.membership.self().name;
        const std::vector<Member> peers = livePeers(this->context.membership);
        std::vector<std::string> share = this->otherFailureDomains();
        std::erase_if(share, [&](const std::string& failureDomain) {
            const uint64_t own = hash64(self + ' ' + failureDomain);
            return std::any_of(peers.begin(), peers.end(), [&](const Member& peer) {
                return peer.status == MemberStatus::Alive && hash64(peer.name + ' ' + failureDomain) > own;
            });
        });
        return share;
    }

    static Json::Value crashParameters(const CrashNews& news, CrashRelay relay)
    {
        Json::Value parameters(Json::objectValue);
        parameters["fingerprints"] = encodeCrashes(news);
        parameters["relay"] = static_cast<unsigned>(relay);
        return parameters;
    }

    void relayCrashes(const CrashNews& news, CrashRelay relay)
    {
        if (relay == CrashRelay::Origin)
            this->sendToOthers("crashes", crashParameters(news, CrashRelay::Entry), this->ownShareOfFailureDomains());
        else if (relay == CrashRelay::Entry)
            this->postToPeers("crashes", crashParameters(news, CrashRelay::Last));
    }

    const PeerHooks hooks;
    Reachability reachability;
    PeerContext context;
    PeerService service;
    std::mutex tasksMutex;
    std::map<std::string, std::unique_ptr<PeerTask>> tasks;
    std::unique_ptr<RelayTask> relay;
    std::unique_ptr<ExchangeTask> exchange;
    std::mutex tickMutex;
    std::condition_variable tickWakeUp;
    bool isStopping = false;
    std::thread ticker;
};

PeerNetwork::PeerNetwork(const Clock& clock, Membership& membership, PeerTraffic& traffic, PeerHooks hooks)
    : implementation(std::make_unique<Implementation>(clock, membership, traffic, std::move(hooks)))
{
}

PeerNetwork::~PeerNetwork() { this->stop(); }

PeerService& PeerNetwork::service() noexcept { return this->implementation->service; }

void PeerNetwork::start(InstanceList& list, std::vector<Endpoint> seeds)
{
    Implementation& state = *this->implementation;
    {
        const std::lock_guard lock(state.tasksMutex);
        state.relay = std::make_unique<RelayTask>(state.context);
    }
    state.exchange = std::make_unique<ExchangeTask>(state.context, list, std::move(seeds));
    state.ticker = std::thread([&state] { state.tick(); });
}

void PeerNetwork::stop()
{
    Implementation& state = *this->implementation;
    {
        const std::lock_guard lock(state.tickMutex);
        state.isStopping = true;
        state.tickWakeUp.notify_all();
    }
    if (state.ticker.joinable())
        state.ticker.join();
    state.exchange.reset();
    std::unique_ptr<RelayTask> relay;
    std::map<std::string, std::unique_ptr<PeerTask>> tasks;
    {
        const std::lock_guard lock(state.tasksMutex);
        relay = std::move(state.relay);
        tasks.swap(state.tasks);
    }
    // All threads are told to end before the first one is joined.
    for (const auto& [name, task] : tasks)
        task->requestStop();
}

void PeerNetwork::announce(const version::VersionId& id)
{
    Implementation& state = *this->implementation;
    Json::Value parameters(Json::objectValue);
    setVersion(parameters, id);
    parameters["from"] = state.context.membership.self().name;
    state.postToPeers("announce", parameters, announcedPeers);
    const std::vector<std::string> others = state.otherFailureDomains();
    if (!others.empty())
        state.sendToOthers("announce", parameters, { others[randomBelow(others.size())] });
}

void PeerNetwork::tellCrashes(const CrashNews& news)
{
    Implementation& state = *this->implementation;
    state.postToPeers("crashes", Implementation::crashParameters(news, CrashRelay::Origin));
    state.relayCrashes(news, CrashRelay::Origin);
}

void PeerNetwork::leave()
{
    Implementation& state = *this->implementation;
    state.context.membership.leave();
    const Member self = state.context.membership.self();
    state.postToPeers("probe", probeParameters(state.context, { self }));
    Json::Value parameters(Json::objectValue);
    parameters["from"] = encodeMember(self);
    parameters["digests"] = Json::Value(Json::objectValue);
    setVersion(parameters, state.hooks.activeVersion());
    state.sendToOthers("digests", parameters, state.otherFailureDomains());
    const SteadyTime deadline = state.context.clock.now() + leaveTimeout;
    while (!state.areTasksIdle() && state.context.clock.now() < deadline)
        std::this_thread::sleep_for(leavePollInterval);
}

}
