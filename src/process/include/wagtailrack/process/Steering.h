#pragma once

#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/version/Tables.h>

#include <string_view>
#include <vector>

namespace wagtailrack::process {

// Decisions that depend only on the tables, the member view and the given time, so that two instances with the same
// input decide alike. Pure functions; may be called by any thread.
class Steering {
public:
    // This instance's position among the `count` members that divide something; no part when `rank` >= `count`.
    struct Rank {
        size_t rank = 0;
        size_t count = 0;

        // Part of `total` for this rank; the parts of all ranks add up to `total`.
        int64_t partOf(int64_t total) const noexcept;

        friend bool operator==(const Rank&, const Rank&) = default;
    };

    // Entry instances for a caller, best first; InstanceOrder describes the order. `wallNow` decides how far planned
    // shifts have moved; by default none has started.
    static std::vector<Member> orderInstances(const version::Tables& tables, const MemberView& view,
        const version::Route& route, uint32_t clientAddress, WallTime wallNow = WallTime::min());

    struct ServerShare {
        const version::BackendServer* server = nullptr;
        int64_t slots = 0;
    };

    // Slots that the member `self` may use of each server of `pool` that its failure domain serves, by rendezvous rank
    // among the members that are not dead. The shares of all members add up to each server's slots, and no member's
    // total is far above the others'. Leaving members keep their share: they serve callers and order keys until they
    // exit.
    static std::vector<ServerShare> poolShares(
        const version::Tables& tables, const MemberView& view, const Member& self, const version::Pool& pool);

    // The share of one server, which must be in `tables`; 0 otherwise.
    static int64_t slotShare(const version::Tables& tables, const MemberView& view, const Member& self,
        const version::BackendServer& server);

    // The failure domain whose members use the servers of `failureDomain`: itself, or, when all its known members are
    // dead, the next one of the same region by name, cyclically, that has members left. Without any known member it
    // is itself: an instance that has just started must not take servers of members that it has not heard of yet.
    static std::string_view servingDomain(
        const version::Tables& tables, const MemberView& view, std::string_view failureDomain);

    // Position of `self` by name among the members of its failure domain that are not dead; for ShiftGate::setRank.
    static Rank rankOf(const MemberView& view, const Member& self);

    // Failure domain to which a planned shift of `pool` has moved the client block of an address at `wallNow`; empty
    // when the block has not moved.
    static std::string_view plannedDestination(
        const version::Tables& tables, const version::Pool& pool, uint32_t clientAddress, WallTime wallNow);

    // Members of other failure domains to which a request for `pool` may be forwarded, best first: the region of
    // `self` before other regions, those by latency; one member for each failure domain that has servers of the pool.
    // `plannedDestination`, when not empty, comes first.
    static std::vector<Member> forwardTargets(const version::Tables& tables, const MemberView& view, const Member& self,
        const version::Pool& pool, uint64_t requestHash, std::string_view plannedDestination = {});
};

}
