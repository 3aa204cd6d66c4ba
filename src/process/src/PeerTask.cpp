#include "PeerTask.h"

#include "ReachabilityMessages.h"

#include <wagtailrack/base/Random.h>
#include <wagtailrack/connection/JsonRpc.h>

#include <glog/logging.h>

#include <algorithm>

namespace wagtailrack::process {

namespace {

// Every member sends one probe in this time, whatever the number of peers.
constexpr Milliseconds probeInterval { 1000 };
// A dead member is asked less often: after a pause or a partition its process may still run.
constexpr Milliseconds deadProbeInterval { 10'000 };
constexpr size_t indirectProbes = 2;
// Messages to a peer that does not answer are dropped beyond this number.
constexpr size_t maxQueuedMessages = 64;
// A call that took this much longer than its deadline means that this process was paused; its result says nothing
// about the peer.
constexpr Milliseconds pauseTolerance { 1000 };

}

std::vector<Member> livePeers(const Membership& membership)
{
    const Member self = membership.self();
    std::vector<Member> peers = membership.records(self.failureDomain);
    std::erase_if(
        peers, [&](const Member& member) { return member.name == self.name || member.status == MemberStatus::Dead; });
    return peers;
}

Json::Value probeParameters(PeerContext& context, const std::vector<Member>& updates)
{
    Json::Value parameters(Json::objectValue);
    parameters["from"] = context.membership.self().name;
    setVersion(parameters, context.hooks.activeVersion());
    parameters["updates"] = encodeMembers(updates);
    if (const auto told = context.reachability.take(); !told.empty())
        parameters["domains"] = encodeReachability(told);
    return parameters;
}

PeerTask::PeerTask(PeerContext& sharedContext, std::string name)
    : context(sharedContext)
    , peerName(std::move(name))
    , thread([this] { this->run(); })
{
}

PeerTask::~PeerTask()
{
    this->requestStop();
    this->thread.join();
}

void PeerTask::requestStop() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    if (this->client)
        this->client->cancel();
    this->wakeUp.notify_all();
}

void PeerTask::post(std::string method, Json::Value parameters)
{
    const std::lock_guard lock(this->mutex);
    if (this->queue.size() >= maxQueuedMessages)
        return;
    this->queue.push_back({ std::move(method), std::move(parameters) });
    this->wakeUp.notify_all();
}

bool PeerTask::isIdle()
{
    const std::lock_guard lock(this->mutex);
    return this->queue.empty() && !this->isSending;
}

void PeerTask::run()
{
    // Spreads the probes of all peers over the period.
    const auto period = static_cast<uint64_t>(this->probePeriod().count());
    SteadyTime nextProbe = this->context.clock.now() + Milliseconds(randomBelow(period));
    while (true) {
        Posted message;
        {
            std::unique_lock lock(this->mutex);
            this->isSending = false;
            this->wakeUp.wait_until(lock, nextProbe, [this] { return this->isStopping || !this->queue.empty(); });
            if (this->isStopping)
                return;
            if (!this->queue.empty()) {
                message = std::move(this->queue.front());
                this->queue.pop_front();
                this->isSending = true;
            }
        }
        if (!message.method.empty()) {
            this->send(message);
            continue;
        }
        this->probe();
        nextProbe = this->context.clock.now() + this->probePeriod();
    }
}

Milliseconds PeerTask::probePeriod() const
{
    const auto target = this->context.membership.recordOf(this->peerName);
    const auto peers = static_cast<int64_t>(livePeers(this->context.membership).size());
    const Milliseconds period = probeInterval * std::max<int64_t>(peers, 1);
    if (!target.empty() && target[0].status == MemberStatus::Dead)
        return std::max(period, deadProbeInterval);
    // A suspect is asked every second, so that it learns of the suspicion and can refute it in time.
    return target.empty() || target[0].status == MemberStatus::Suspect ? probeInterval : period;
}

PeerClient& PeerTask::clientFor(const Endpoint& endpoint)
{
    const std::lock_guard lock(this->mutex);
    if (!this->client || this->client->endpoint() != endpoint) {
        this->client = std::make_shared<PeerClient>(endpoint, this->context.traffic);
        this->isUnknownToPeer = true;
        if (this->isStopping)
            this->client->cancel();
    }
    return *this->client;
}

void PeerTask::send(const Posted& message)
{
    const auto target = this->context.membership.recordOf(this->peerName);
    if (target.empty() || target[0].status == MemberStatus::Dead)
        return;
    PeerClient& peer = this->clientFor(target[0].peerAddress);
    const auto answer = peer.call(message.method, message.parameters, this->context.clock.now() + probeTimeout);
    if (!answer)
        LOG(INFO) << "event=peer-message-lost peer=" << this->peerName << " method=" << message.method
                  << " error=" << toString(answer.error().code);
}

void PeerTask::probe()
{
    const auto record = this->context.membership.recordOf(this->peerName);
    if (record.empty())
        return;
    const Member& target = record[0];
    const SteadyTime latest
        = this->context.clock.now() + probeTimeout * 2 + indirectProbeTimeout * indirectProbes + pauseTolerance;
    const auto answer = this->probeDirectly(target);
    if (answer && this->acceptAnswer(answer.value(), target))
        return;
    if (target.status == MemberStatus::Dead)
        return;
    const bool isAlive = this->probeIndirectly(target);
    const bool wasPaused = this->context.clock.now() > latest;
    {
        const std::lock_guard lock(this->mutex);
        if (isAlive || wasPaused || this->isStopping)
            return;
    }
    this->context.membership.suspect(target.name, target.incarnation);
}

Result<Json::Value> PeerTask::probeDirectly(const Member& target)
{
    std::vector<Member> updates = this->context.membership.takeUpdates(PeerService::maxUpdates);
    // The peer has to know when it is not seen as alive, so that it can refute.
    if (target.status != MemberStatus::Alive)
        updates.push_back(target);
    PeerClient& peer = this->clientFor(target.peerAddress);
    if (this->isUnknownToPeer)
        updates.push_back(this->context.membership.self());
    const Json::Value parameters = probeParameters(this->context, updates);
    auto answer = peer.call("probe", parameters, this->context.clock.now() + probeTimeout);
    // A kept connection may have been closed by the peer's idle limit; a new one decides.
    if (!answer && answer.error().code == ErrorCode::ConnectionLost)
        answer = peer.call("probe", parameters, this->context.clock.now() + probeTimeout);
    return answer;
}

bool PeerTask::acceptAnswer(const Json::Value& answer, const Member& target)
{
    try {
        const version::VersionId id = versionOf(answer);
        const std::vector<Member> updates = decodeMembers(field(answer, "updates"));
        const std::vector<ReachabilityNews> domains = decodeReachability(field(answer, "domains"));
        this->isUnknownToPeer = field(answer, "unknown") == Json::Value(true);
        this->context.membership.merge(updates);
        this->context.reachability.merge(domains);
        this->context.hooks.onVersionSeen(id, target.peerAddress);
        return true;
    } catch (const connection::JsonRpcFailure& failure) {
        LOG(WARNING) << "event=peer-answer-invalid peer=" << target.name << " detail=\"" << failure.message << '"';
        return false;
    }
}

bool PeerTask::probeIndirectly(const Member& target)
{
    std::vector<Member> helpers = livePeers(this->context.membership);
    std::erase_if(helpers,
        [&](const Member& member) { return member.name == target.name || member.status != MemberStatus::Alive; });
    Json::Value parameters(Json::objectValue);
    parameters["target"] = target.name;
    for (size_t attempt = 0; attempt < indirectProbes && !helpers.empty(); ++attempt) {
        const auto chosen = helpers.begin() + static_cast<ptrdiff_t>(randomBelow(helpers.size()));
        PeerClient helper(chosen->peerAddress, this->context.traffic);
        const auto answer = helper.call("probeFor", parameters, this->context.clock.now() + indirectProbeTimeout);
        if (answer && answer.value()["alive"].isBool() && answer.value()["alive"].asBool())
            return true;
        helpers.erase(chosen);
    }
    return false;
}

}
