#pragma once

#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/version/Tables.h>

#include <limits>
#include <string_view>
#include <vector>

namespace wagtailrack::process {

// The part of the order of instances that does not depend on the caller's client block; built once for each version,
// view and pool. Immutable; may be called by any thread. `tables` and `view` must outlive it.
//
// Order: failure domains of the home region by weighted rendezvous hash of (block, failure domain), then those of the
// other regions by latency. Inside a failure domain, members follow by rendezvous hash of (block, instance). Of each
// region's first failure domain two members are named, then one of each other, then the rest, so that a caller whose
// first choices fail leaves the failure domain soon. The hash has two levels so that the number of members does not
// change a failure domain's part, and the loss of a member moves only that member's blocks.
class InstanceOrder {
public:
    static constexpr size_t noLimit = std::numeric_limits<size_t>::max();

    // `pool` weights failure domains by the slots of its active servers; null weights by the slots of all pools.
    InstanceOrder(const version::Tables& tables, const MemberView& view, const version::Pool* pool);

    // At most `limit` instances for a caller. When that is fewer than there are, the last quarter is kept for regions
    // other than the home region.
    std::vector<const Member*> order(uint32_t clientAddress, WallTime wallNow, size_t limit = noLimit) const;

private:
    struct Domain {
        std::string_view name;
        std::string_view region;
        uint64_t nameHash = 0;
        double capacity = 0;
        // Indices into `members`.
        size_t firstMember = 0;
        size_t memberCount = 0;
    };
    struct HashedMember {
        const Member* member = nullptr;
        uint64_t nameHash = 0;
    };

    size_t regionIndexOf(std::string_view region) const noexcept;
    void appendRegion(const std::vector<size_t>& domainOrder, uint64_t block, size_t limit,
        std::vector<const Member*>& instances) const;

    const version::Tables& tables;
    const version::Pool* pool;
    std::vector<HashedMember> members;
    std::vector<Domain> domains;
    std::vector<std::string_view> regions;
    // For each region as home: all regions by latency, itself first. Domains of region r are `domainsOfRegion[r]`.
    std::vector<std::vector<size_t>> regionOrder;
    std::vector<std::vector<size_t>> domainsOfRegion;
};

}
