#include "ExchangeTask.h"

#include <wagtailrack/base/Random.h>
#include <wagtailrack/connection/JsonRpc.h>

#include <glog/logging.h>

#include <algorithm>

namespace wagtailrack::process {

namespace {

constexpr Milliseconds exchangeInterval { 5000 };
// While no other member is known: a new instance joins within a second once a seed answers.
constexpr Milliseconds joinInterval { 500 };
constexpr Milliseconds listInterval { 30'000 };
// While no other member is known.
constexpr Milliseconds joinListInterval { 5000 };
constexpr Milliseconds listTimeout { 2000 };
constexpr Milliseconds peerExchangeInterval { 30'000 };
constexpr Milliseconds seedInterval { 10'000 };
// Members of a failure domain that have to fail in one exchange before it counts as unreachable.
constexpr int attemptsForEachExchange = 3;
// Member lists fetched in one exchange; a list of 23 members has 2.5 KB, so that the budget of 4 KB a second holds
// when many failure domains change.
constexpr unsigned maxListsForEachExchange = 6;

// Random between 0.75 and 1.25 of the interval, so that instances that started together do not act together.
Milliseconds withJitter(Milliseconds interval)
{
    const auto quarter = static_cast<uint64_t>(interval.count() / 4);
    return interval - Milliseconds(quarter) + Milliseconds(randomBelow(2 * quarter + 1));
}

}

ExchangeTask::ExchangeTask(PeerContext& sharedContext, InstanceList& platformList, std::vector<Endpoint> firstSeeds)
    : context(sharedContext)
    , list(platformList)
    , seeds(std::move(firstSeeds))
    , thread([this] { this->run(); })
{
}

ExchangeTask::~ExchangeTask()
{
    this->requestStop();
    this->thread.join();
}

void ExchangeTask::requestStop() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    if (this->client)
        this->client->cancel();
    this->wakeUp.notify_all();
}

bool ExchangeTask::waitUntil(SteadyTime deadline)
{
    std::unique_lock lock(this->mutex);
    return !this->wakeUp.wait_until(lock, deadline, [this] { return this->isStopping; });
}

void ExchangeTask::run()
{
    SteadyTime nextList = this->context.clock.now();
    SteadyTime nextSeedContact = nextList;
    SteadyTime nextPeer = nextList + withJitter(peerExchangeInterval);
    SteadyTime nextExchange = nextList + withJitter(joinInterval);
    while (this->waitUntil(std::min({ nextList, nextSeedContact, nextPeer, nextExchange }))) {
        const SteadyTime now = this->context.clock.now();
        const bool isAlone = this->context.membership.view()->members.size() < 2;
        if (now >= nextList) {
            this->readList();
            nextList = now + withJitter(isAlone ? joinListInterval : listInterval);
        }
        if (now >= nextSeedContact) {
            this->contactSeed();
            nextSeedContact = this->context.clock.now() + withJitter(isAlone ? joinInterval : seedInterval);
        }
        if (now >= nextPeer) {
            this->exchangeWithPeer();
            nextPeer = now + withJitter(peerExchangeInterval);
        }
        if (now >= nextExchange) {
            this->exchangeWithNextFailureDomain();
            nextExchange = now + withJitter(exchangeInterval);
        }
    }
}

bool ExchangeTask::isStopped()
{
    const std::lock_guard lock(this->mutex);
    return this->isStopping;
}

void ExchangeTask::readList()
{
    auto result = this->list.read(this->context.clock.now() + listTimeout);
    if (!result) {
        LOG(WARNING) << "event=instance-list-unavailable error=" << toString(result.error().code);
        return;
    }
    this->listed = std::move(result).value();
    // A leaving mark counts only for the process that the list means: the address tells a replacement apart.
    std::set<std::string> leaving;
    const MemberViewPointer view = this->context.membership.view();
    for (const ListedInstance& instance : this->listed) {
        const Member* member = view->find(instance.name);
        if (instance.isLeaving && member && member->peerAddress == instance.peerAddress)
            leaving.insert(instance.name);
    }
    this->context.membership.setLeavingHints(std::move(leaving));
}

std::vector<Endpoint> ExchangeTask::unknownSeeds() const
{
    std::vector<Endpoint> known;
    for (const Member& member : this->context.membership.view()->members) {
        if (member.status != MemberStatus::Dead)
            known.push_back(member.peerAddress);
    }
    const auto isKnown
        = [&](const Endpoint& endpoint) { return std::find(known.begin(), known.end(), endpoint) != known.end(); };
    std::vector<Endpoint> unknown;
    for (const Endpoint& seed : this->seeds) {
        if (!isKnown(seed))
            unknown.push_back(seed);
    }
    for (const ListedInstance& instance : this->listed) {
        if (!instance.isLeaving && !isKnown(instance.peerAddress))
            unknown.push_back(instance.peerAddress);
    }
    return unknown;
}

void ExchangeTask::contactSeed()
{
    const std::vector<Endpoint> unknown = this->unknownSeeds();
    if (!unknown.empty())
        this->exchange(unknown[this->nextSeed++ % unknown.size()]);
}

void ExchangeTask::exchangeWithPeer()
{
    const std::vector<Member> peers = livePeers(this->context.membership);
    if (!peers.empty())
        this->exchange(peers[randomBelow(peers.size())].peerAddress);
}

std::string ExchangeTask::nextFailureDomain()
{
    const MemberDigests known = this->context.membership.digests();
    std::erase_if(this->round, [&](const std::string& name) { return !known.contains(name); });
    if (this->round.empty()) {
        const std::string own = this->context.membership.self().failureDomain;
        for (const auto& [failureDomain, digest] : known) {
            if (failureDomain != own)
                this->round.push_back(failureDomain);
        }
    }
    if (this->round.empty())
        return {};
    const auto chosen = this->round.begin() + static_cast<ptrdiff_t>(randomBelow(this->round.size()));
    std::string name = *chosen;
    this->round.erase(chosen);
    return name;
}

void ExchangeTask::exchangeWithNextFailureDomain()
{
    const std::string failureDomain = this->nextFailureDomain();
    if (failureDomain.empty())
        return;
    std::vector<Member> candidates = this->context.membership.records(failureDomain);
    std::erase_if(candidates, [](const Member& member) { return member.status == MemberStatus::Dead; });
    const SteadyTime started = this->context.clock.now();
    for (int attempt = 0; attempt < attemptsForEachExchange; ++attempt) {
        if (candidates.empty())
            return;
        const size_t chosen = randomBelow(candidates.size());
        if (this->exchange(candidates[chosen].peerAddress)) {
            this->context.reachability.observe(failureDomain, true);
            return;
        }
        // The last candidate is asked again.
        if (candidates.size() > 1)
            candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(chosen));
    }
    // A longer time means that this process was paused.
    constexpr Milliseconds longest = farCallTimeout * (attemptsForEachExchange + 1);
    if (!this->isStopped() && this->context.clock.now() < started + longest)
        this->context.reachability.observe(failureDomain, false);
}

bool ExchangeTask::exchange(const Endpoint& endpoint)
{
    const auto opened = std::make_shared<PeerClient>(endpoint, this->context.traffic);
    {
        const std::lock_guard lock(this->mutex);
        if (this->isStopping)
            return false;
        this->client = opened;
    }
    const Status status = this->exchangeWith(*opened);
    if (!status)
        LOG(INFO) << "event=exchange-failed peer=" << endpoint.toString() << " error=" << toString(status.error().code);
    return status.has_value();
}

Status ExchangeTask::exchangeWith(PeerClient& opened)
{
    Membership& membership = this->context.membership;
    const Member self = membership.self();
    Json::Value parameters(Json::objectValue);
    parameters["from"] = encodeMember(self);
    parameters["digests"] = encodeDigests(membership.digests());
    setVersion(parameters, this->context.hooks.activeVersion());
    const auto answer = opened.call("digests", parameters, this->context.clock.now() + farCallTimeout);
    if (!answer)
        return answer.error();
    try {
        const Member source = decodeMember(field(answer.value(), "from"));
        const version::VersionId id = versionOf(answer.value());
        std::vector<std::string> differing = stringsField(answer.value(), "differing", maxFailureDomains);
        membership.merge({ source });
        this->context.hooks.onVersionSeen(id, opened.endpoint());
        // A random part when many differ; the failure domain of the source first, because its list is complete.
        for (size_t index = differing.size(); index > 1; --index)
            std::swap(differing[index - 1], differing[randomBelow(index)]);
        std::stable_partition(
            differing.begin(), differing.end(), [&](const std::string& name) { return name == source.failureDomain; });
        unsigned fetched = 0;
        for (const std::string& failureDomain : differing) {
            // Unknown failure domains are always fetched, so that a new instance knows all after one exchange.
            if (fetched >= maxListsForEachExchange && !membership.records(failureDomain).empty())
                continue;
            ++fetched;
            if (auto status = this->fetchMembers(opened, failureDomain, source); !status)
                return status;
        }
    } catch (const connection::JsonRpcFailure& failure) {
        return makeError(ErrorCode::AnswerInvalid, opened.endpoint().toString(), failure.message);
    }
    return success();
}

Status ExchangeTask::fetchMembers(PeerClient& opened, const std::string& failureDomain, const Member& source)
{
    Json::Value parameters(Json::objectValue);
    parameters["failureDomain"] = failureDomain;
    const auto answer = opened.call("members", parameters, this->context.clock.now() + farCallTimeout);
    if (!answer)
        return answer.error();
    std::vector<Member> members = decodeMembers(field(answer.value(), "members"));
    Membership& membership = this->context.membership;
    const Member self = membership.self();
    const bool isOwn = failureDomain == self.failureDomain;
    // The own failure domain is learned from its own members, unless none is known. Others only tell this instance
    // what they have wrong about it, so that it can refute.
    if (isOwn && source.failureDomain != failureDomain && !livePeers(membership).empty())
        std::erase_if(members, [&](const Member& member) { return member.name != self.name; });
    // What a new instance learns is known to its peers; sending it along again would use up the budget for a minute.
    const Spread spread = isOwn || membership.records(failureDomain).empty() ? Spread::Keep : Spread::Tell;
    if (source.failureDomain == failureDomain && !isOwn)
        membership.mergeList(source, members, spread);
    else
        membership.merge(members, spread);
    return success();
}

}
