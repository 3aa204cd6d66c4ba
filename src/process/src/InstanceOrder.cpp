#include <wagtailrack/process/InstanceOrder.h>

#include "ClientBlocks.h"
#include "Rendezvous.h"

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/process/Steering.h>

#include <algorithm>

namespace wagtailrack::process {

// Weight of the home failure domain against an equally large one of its region. Each caller that is ordered elsewhere
// counts against the shift cap there: with a factor of 16, 224 requests a second were shifted in the evenly loaded
// experiment of docs/steering.md, with 1000 it was 5, and as many requests were served.
static constexpr double homeFactor = 1000;

// Statuses in the order in which members are named; the first one that any member has is the only one named.
static constexpr MemberStatus namedStatuses[]
    = { MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Unreachable };

static std::vector<const Member*> nameableMembers(const MemberView& view)
{
    std::vector<const Member*> found;
    for (const MemberStatus status : namedStatuses) {
        for (const Member& member : view.members) {
            if (member.status == status)
                found.push_back(&member);
        }
        if (!found.empty())
            break;
    }
    // Each failure domain's members are adjacent; by name inside it, whatever the order of the view.
    std::sort(found.begin(), found.end(), [](const Member* left, const Member* right) {
        return std::tie(left->failureDomain, left->name) < std::tie(right->failureDomain, right->name);
    });
    return found;
}

static double capacityOf(const version::Pool& pool, std::string_view failureDomain) noexcept
{
    double slots = 0;
    for (const version::BackendServer& server : pool.servers) {
        if (server.failureDomain == failureDomain && server.state == version::ServerState::Active)
            slots += static_cast<double>(server.slots);
    }
    return slots;
}

InstanceOrder::InstanceOrder(
    const version::Tables& sourceTables, const MemberView& view, const version::Pool* weightingPool)
    : tables(sourceTables)
    , pool(weightingPool)
{
    for (const Member* member : nameableMembers(view)) {
        if (this->domains.empty() || this->domains.back().name != member->failureDomain) {
            Domain domain;
            domain.name = member->failureDomain;
            domain.region = this->tables.regionOf(domain.name);
            domain.nameHash = hash64(domain.name);
            domain.firstMember = this->members.size();
            for (const version::Pool& candidate : this->tables.pools) {
                if (!this->pool || this->pool->name == candidate.name)
                    domain.capacity += capacityOf(candidate, domain.name);
            }
            this->domains.push_back(domain);
        }
        ++this->domains.back().memberCount;
        this->members.push_back({ member, hash64(member->name) });
    }
    for (const Domain& domain : this->domains)
        this->regions.push_back(domain.region);
    for (const version::FailureDomain& domain : this->tables.failureDomains)
        this->regions.push_back(domain.region);
    std::sort(this->regions.begin(), this->regions.end());
    this->regions.erase(std::unique(this->regions.begin(), this->regions.end()), this->regions.end());
    this->domainsOfRegion.resize(this->regions.size());
    for (size_t index = 0; index < this->domains.size(); ++index)
        this->domainsOfRegion[this->regionIndexOf(this->domains[index].region)].push_back(index);
    for (size_t home = 0; home < this->regions.size(); ++home) {
        std::vector<std::pair<int64_t, size_t>> byLatency;
        for (size_t region = 0; region < this->regions.size(); ++region)
            byLatency.emplace_back(
                region == home ? -1 : this->tables.latencyMsBetween(this->regions[home], this->regions[region]),
                region);
        std::sort(byLatency.begin(), byLatency.end());
        auto& order = this->regionOrder.emplace_back();
        for (const auto& entry : byLatency)
            order.push_back(entry.second);
    }
}

size_t InstanceOrder::regionIndexOf(std::string_view region) const noexcept
{
    const auto found = std::lower_bound(this->regions.begin(), this->regions.end(), region);
    return static_cast<size_t>(found - this->regions.begin());
}

std::vector<const Member*> InstanceOrder::order(uint32_t clientAddress, WallTime wallNow, size_t limit) const
{
    std::vector<const Member*> instances;
    if (this->domains.empty())
        return instances;
    limit = std::min(limit, this->members.size());
    instances.reserve(limit);
    const BlockOfAddress block = blockOf(this->tables, clientAddress);
    const std::string_view moved = this->pool
        ? Steering::plannedDestination(this->tables, *this->pool, clientAddress, wallNow)
        : std::string_view();
    const std::string_view home = moved.empty() ? block.home : moved;
    const auto inOrder = [&](std::vector<size_t> candidates) {
        std::vector<std::pair<double, size_t>> scored;
        scored.reserve(candidates.size());
        for (const size_t index : candidates) {
            const Domain& domain = this->domains[index];
            // A planned shift moves the whole block; the home factor only favours.
            const bool isDestination = !moved.empty() && domain.name == moved;
            const double weight = domain.name == home ? domain.capacity * homeFactor : domain.capacity;
            const double score = rendezvousScore(mixHashes(block.hash, domain.nameHash), weight);
            scored.emplace_back(isDestination ? std::numeric_limits<double>::infinity() : score, index);
        }
        std::sort(scored.begin(), scored.end(), [](const auto& left, const auto& right) {
            return left.first != right.first ? left.first > right.first : left.second < right.second;
        });
        for (size_t position = 0; position < scored.size(); ++position)
            candidates[position] = scored[position].second;
        return candidates;
    };
    if (home.empty() || !this->tables.findFailureDomain(home)) {
        // No home: all failure domains are equally near.
        std::vector<size_t> all(this->domains.size());
        for (size_t index = 0; index < all.size(); ++index)
            all[index] = index;
        this->appendRegion(inOrder(std::move(all)), block.hash, limit, instances);
        return instances;
    }
    const size_t homeRegion = this->regionIndexOf(this->tables.regionOf(home));
    // A short answer keeps a quarter for other regions, so that its caller survives the loss of the home region.
    const size_t homeLimit = limit < this->members.size() ? limit - limit / 4 : limit;
    for (const size_t region : this->regionOrder[homeRegion]) {
        if (instances.size() >= limit)
            break;
        const size_t regionLimit = region == homeRegion ? homeLimit : limit;
        this->appendRegion(inOrder(this->domainsOfRegion[region]), block.hash, regionLimit, instances);
    }
    return instances;
}

void InstanceOrder::appendRegion(
    const std::vector<size_t>& domainOrder, uint64_t block, size_t limit, std::vector<const Member*>& instances) const
{
    // Members of the region's first failure domain that are named before any other failure domain's.
    constexpr size_t firstDomainMembers = 2;
    std::vector<std::vector<std::pair<uint64_t, const Member*>>> ranked;
    for (const size_t index : domainOrder) {
        const Domain& domain = this->domains[index];
        auto& ranking = ranked.emplace_back();
        ranking.reserve(domain.memberCount);
        for (size_t offset = 0; offset < domain.memberCount; ++offset) {
            const HashedMember& candidate = this->members[domain.firstMember + offset];
            ranking.emplace_back(mixHashes(block, candidate.nameHash), candidate.member);
        }
        const size_t needed = std::min(ranking.size(), limit - std::min(limit, instances.size()));
        std::partial_sort(ranking.begin(), ranking.begin() + static_cast<ptrdiff_t>(needed), ranking.end(),
            [](const auto& left, const auto& right) {
                return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
            });
    }
    const auto append = [&](size_t domain, size_t from, size_t to) {
        for (size_t rank = from; rank < std::min(to, ranked[domain].size()) && instances.size() < limit; ++rank)
            instances.push_back(ranked[domain][rank].second);
    };
    for (size_t domain = 0; domain < ranked.size(); ++domain)
        append(domain, 0, domain == 0 ? firstDomainMembers : 1);
    for (size_t domain = 0; domain < ranked.size(); ++domain)
        append(domain, domain == 0 ? firstDomainMembers : 1, noLimit);
}

}
