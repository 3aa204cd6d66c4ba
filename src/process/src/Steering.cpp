#include <wagtailrack/process/Steering.h>

#include "ClientBlocks.h"
#include "Rendezvous.h"

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/process/InstanceOrder.h>
#include <wagtailrack/version/PlannedShift.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace wagtailrack::process {

int64_t Steering::Rank::partOf(int64_t total) const noexcept
{
    if (this->rank >= this->count)
        return 0;
    const auto members = static_cast<int64_t>(this->count);
    return total / members + (static_cast<int64_t>(this->rank) < total % members ? 1 : 0);
}

std::vector<Member> Steering::orderInstances(const version::Tables& tables, const MemberView& view,
    const version::Route& route, uint32_t clientAddress, WallTime wallNow)
{
    const InstanceOrder order(tables, view, tables.findPool(route.pool));
    std::vector<Member> instances;
    for (const Member* member : order.order(clientAddress, wallNow))
        instances.push_back(*member);
    return instances;
}

// Divides the slots of `servers`, all of one pool and failure domain, among `members`. Each member gets the same whole
// number of slots of a server; what remains of it goes to those that rank first by rendezvous hash, except members that
// already have their part of all remains. Without that limit two members of two servers with 3 slots have 4 and 2
// slots as often as 3 and 3. Returns the slots of the member at `self` in the order of `servers`.
static std::vector<int64_t> divideSlots(
    const std::vector<const version::BackendServer*>& servers, const std::vector<const Member*>& members, size_t self)
{
    const auto memberCount = static_cast<int64_t>(members.size());
    std::vector<uint64_t> nameHashes;
    nameHashes.reserve(members.size());
    for (const Member* member : members)
        nameHashes.push_back(hash64(member->name));
    int64_t remains = 0;
    for (const version::BackendServer* server : servers)
        remains += server->slots % memberCount;
    const int64_t largestPart = (remains + memberCount - 1) / memberCount;
    std::vector<int64_t> parts(members.size(), 0);
    std::vector<int64_t> slots;
    slots.reserve(servers.size());
    std::vector<std::tuple<bool, uint64_t, size_t>> ranking(members.size());
    for (const version::BackendServer* server : servers) {
        const uint64_t serverHash = hash64(server->address.toString());
        for (size_t index = 0; index < members.size(); ++index)
            ranking[index] = { parts[index] < largestPart, mixHashes(serverHash, nameHashes[index]), index };
        const auto winners = static_cast<ptrdiff_t>(server->slots % memberCount);
        std::partial_sort(ranking.begin(), ranking.begin() + winners, ranking.end(), std::greater<>());
        int64_t own = server->slots / memberCount;
        for (ptrdiff_t winner = 0; winner < winners; ++winner) {
            const size_t index = std::get<2>(ranking[static_cast<size_t>(winner)]);
            ++parts[index];
            own += index == self ? 1 : 0;
        }
        slots.push_back(own);
    }
    return slots;
}

std::vector<Steering::ServerShare> Steering::poolShares(
    const version::Tables& tables, const MemberView& view, const Member& self, const version::Pool& pool)
{
    std::vector<const Member*> members;
    for (const Member& member : view.members) {
        if (member.failureDomain == self.failureDomain && member.status != MemberStatus::Dead)
            members.push_back(&member);
    }
    // The order of the view must not matter.
    std::sort(
        members.begin(), members.end(), [](const auto* left, const auto* right) { return left->name < right->name; });
    const auto own
        = std::find_if(members.begin(), members.end(), [&](const Member* member) { return member->name == self.name; });
    if (own == members.end())
        return {};
    std::map<std::string_view, std::vector<const version::BackendServer*>> serversOfDomain;
    for (const version::BackendServer& server : pool.servers)
        serversOfDomain[server.failureDomain].push_back(&server);
    std::vector<ServerShare> shares;
    for (auto& [domain, servers] : serversOfDomain) {
        if (servingDomain(tables, view, domain) != self.failureDomain)
            continue;
        std::sort(servers.begin(), servers.end(),
            [](const auto* left, const auto* right) { return left->address < right->address; });
        const auto slots = divideSlots(servers, members, static_cast<size_t>(own - members.begin()));
        for (size_t index = 0; index < servers.size(); ++index)
            shares.push_back({ servers[index], slots[index] });
    }
    return shares;
}

int64_t Steering::slotShare(
    const version::Tables& tables, const MemberView& view, const Member& self, const version::BackendServer& server)
{
    for (const version::Pool& pool : tables.pools) {
        for (const ServerShare& share : poolShares(tables, view, self, pool)) {
            if (share.server->address == server.address && share.server->failureDomain == server.failureDomain)
                return share.slots;
        }
    }
    return 0;
}

enum class DomainState {
    // No member is known.
    Unknown,
    AllDead,
    HasMembers,
};

static DomainState stateOf(const MemberView& view, std::string_view failureDomain) noexcept
{
    auto state = DomainState::Unknown;
    for (const Member& member : view.members) {
        if (member.failureDomain != failureDomain)
            continue;
        if (member.status != MemberStatus::Dead)
            return DomainState::HasMembers;
        state = DomainState::AllDead;
    }
    return state;
}

std::string_view Steering::servingDomain(
    const version::Tables& tables, const MemberView& view, std::string_view failureDomain)
{
    if (stateOf(view, failureDomain) != DomainState::AllDead)
        return failureDomain;
    const std::string_view region = tables.regionOf(failureDomain);
    std::vector<std::string_view> neighbours;
    for (const version::FailureDomain& domain : tables.failureDomains) {
        if (domain.region == region && domain.name != failureDomain)
            neighbours.push_back(domain.name);
    }
    // By name, those after `failureDomain` first.
    std::sort(neighbours.begin(), neighbours.end(), [&](std::string_view left, std::string_view right) {
        const bool isLeftBefore = left < failureDomain;
        const bool isRightBefore = right < failureDomain;
        return isLeftBefore != isRightBefore ? isRightBefore : left < right;
    });
    for (const std::string_view candidate : neighbours) {
        const DomainState state = stateOf(view, candidate);
        if (state == DomainState::HasMembers)
            return candidate;
        // Its members may be adopting these servers unseen; passing over them could give the slots away twice.
        if (state == DomainState::Unknown)
            break;
    }
    return failureDomain;
}

Steering::Rank Steering::rankOf(const MemberView& view, const Member& self)
{
    Rank rank;
    bool isListed = false;
    for (const Member& member : view.members) {
        if (member.failureDomain != self.failureDomain || member.status == MemberStatus::Dead)
            continue;
        ++rank.count;
        isListed = isListed || member.name == self.name;
        if (member.name < self.name)
            ++rank.rank;
    }
    return isListed ? rank : Rank {};
}

std::string_view Steering::plannedDestination(
    const version::Tables& tables, const version::Pool& pool, uint32_t clientAddress, WallTime wallNow)
{
    if (tables.shifts.empty())
        return {};
    const BlockOfAddress block = blockOf(tables, clientAddress);
    for (const version::Shift& shift : tables.shifts) {
        if (shift.pool != pool.name || shift.fromFailureDomain != block.home || block.home.empty())
            continue;
        // The place of a block in the shift depends on the pool too, so that not all pools move the same callers.
        const auto place = static_cast<int64_t>(mixHashes(block.hash, hash64(pool.name)) % 100);
        if (place < version::plannedShiftPercent(shift, wallNow))
            return shift.toFailureDomain;
    }
    return {};
}

std::vector<Member> Steering::forwardTargets(const version::Tables& tables, const MemberView& view, const Member& self,
    const version::Pool& pool, uint64_t requestHash, std::string_view plannedDestination)
{
    struct Target {
        bool isPlanned = false;
        int64_t distance = 0;
        double score = 0;
        const Member* member = nullptr;
        uint64_t memberScore = 0;
    };
    const std::string_view ownRegion = tables.regionOf(self.failureDomain);
    std::vector<Target> targets;
    for (const version::FailureDomain& domain : tables.failureDomains) {
        if (domain.name == self.failureDomain)
            continue;
        double slots = 0;
        for (const version::BackendServer& server : pool.servers) {
            if (server.failureDomain == domain.name && server.state == version::ServerState::Active)
                slots += static_cast<double>(server.slots);
        }
        if (slots == 0)
            continue;
        Target target;
        target.isPlanned = domain.name == plannedDestination;
        target.distance = domain.region == ownRegion ? -1 : tables.latencyMsBetween(ownRegion, domain.region);
        target.score = rendezvousScore(mixHashes(requestHash, hash64(domain.name)), slots);
        for (const Member& member : view.members) {
            if (member.failureDomain != domain.name || !member.canTakeWork())
                continue;
            const uint64_t score = mixHashes(requestHash, hash64(member.name));
            const bool isAlive = member.status == MemberStatus::Alive;
            const bool isBestAlive = target.member && target.member->status == MemberStatus::Alive;
            if (!target.member || std::pair(isAlive, score) > std::pair(isBestAlive, target.memberScore)) {
                target.member = &member;
                target.memberScore = score;
            }
        }
        if (target.member)
            targets.push_back(target);
    }
    std::sort(targets.begin(), targets.end(), [](const Target& left, const Target& right) {
        if (left.isPlanned != right.isPlanned)
            return left.isPlanned;
        if (left.distance != right.distance)
            return left.distance < right.distance;
        return left.score != right.score ? left.score > right.score : left.member->name < right.member->name;
    });
    std::vector<Member> members;
    members.reserve(targets.size());
    for (const Target& target : targets)
        members.push_back(*target.member);
    return members;
}

}
