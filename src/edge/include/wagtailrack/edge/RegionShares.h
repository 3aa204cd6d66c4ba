#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/LoadMessages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Part of a service's objects, 0 to 1, that the callers of the own region have executed in one region.
struct RegionShare {
    std::string region;
    uint64_t regionHash = 0;
    double share = 0;

    friend bool operator==(const RegionShare&, const RegionShare&) = default;
};

// What is known about one region, in requests; input of computeRegionShares().
struct RegionRoom {
    std::string region;
    bool isOwn = false;
    // Slots of the servers that can be used.
    double slots = 0;
    // Slots that requests of the own region's callers need there, and those that other requests use there.
    double ownRequests = 0;
    double otherRequests = 0;
    double roundTripMs = 0;

    friend bool operator==(const RegionRoom&, const RegionRoom&) = default;
};

// Returns the share of each region, in the order of `rooms`: the own region is filled first, then the others, nearer
// ones more. If no region has room, all are filled to the same higher utilisation. Empty if there are no slots or
// requests.
std::vector<double> computeRegionShares(const std::vector<RegionRoom>& rooms);

// Counts, for the status table of the hub, the requests that the instances of its region have in flight, by service and
// region of the server.
std::vector<RegionDemand> sumRegionDemand(const BackendFleet& fleet, const std::map<ServerKey, uint32_t>& inFlight);

// Decides which part of the objects of each service runs in which region, where the own region has less room than its
// callers need. Inputs are the slots and loads of the servers and, from the hub's status tables, what the region's own
// callers have in flight, so that all instances of a region compute nearly the same shares. Shares move by a bounded
// amount per second. An object belongs to a region by its hash; a change of the shares moves only as many objects as
// the shares differ.
//
// Failures: without status tables, the last known demand is used with the slots that there are now; after some time the
// objects return to the own region step by step. Regions without usable servers get no objects. Lives as long as the
// process; owned by EdgeNode; used by the event loop's thread only. Does no input or output.
class RegionShares {
public:
    struct Change {
        std::string service;
        double ownShare = 1;
        double demand = 0;
        double ownSlots = 0;
    };
    // Called when the own region's share of a service has changed by a tenth since the last call.
    using ChangeHook = std::function<void(const Change&)>;

    RegionShares(const Clock& clock, std::string ownRegion);

    void setChangeHook(ChangeHook hook) { this->changeHook = std::move(hook); }

    // Sets what the callers of the own region have in flight, and the ratio of their requests that were refused, from a
    // status table.
    void setDemand(const std::vector<RegionDemand>& demand, double refusedRatio);

    // Returns the current shares of the service, with the own region first, or an empty list if all objects belong to
    // the own region. Recomputes them if that is due. `isStarting`: the region's requests began only recently, so that
    // no shift can be measured yet and the shares need not move slowly.
    const std::vector<RegionShare>& sharesOf(const BackendFleet& fleet, const std::string& service,
        const std::map<std::string, double>& roundTripsMs, bool isStarting);

    // Returns the shares as the latest call of sharesOf() left them.
    const std::vector<RegionShare>& currentShares(const std::string& service) const;

    // Returns the index of the object's region in `shares`, among those for which `isCandidate` returns true;
    // shares.size() if there is none.
    template <typename IsCandidate>
    static size_t regionOf(uint64_t objectHash, const std::vector<RegionShare>& shares, const IsCandidate& isCandidate)
    {
        size_t chosen = shares.size();
        double lowest = 0;
        for (size_t index = 0; index < shares.size(); ++index) {
            if (shares[index].share <= 0 || !isCandidate(shares[index].region))
                continue;
            const double distance = distanceOf(objectHash, shares[index]);
            if (chosen < shares.size() && distance >= lowest)
                continue;
            chosen = index;
            lowest = distance;
        }
        return chosen;
    }

    // Calls `visit` with service, region and share, for the metrics of services that use other regions.
    void forEachShare(const std::function<void(const std::string&, const RegionShare&)>& visit) const;

private:
    struct ServiceShares {
        std::vector<RegionShare> shares;
        SteadyTime updatedAt;
        double loggedOwnShare = 1;
        double demand = 0;
        double ownSlots = 0;
        // Whether objects of the service run in other regions.
        bool isSpread = false;
    };

    // Weighted rendezvous hashing: the region with the lowest distance is chosen with a probability equal to its share.
    static double distanceOf(uint64_t objectHash, const RegionShare& share);
    std::vector<RegionRoom> findRooms(
        const BackendFleet& fleet, const std::string& service, const std::map<std::string, double>& roundTripsMs) const;
    void update(ServiceShares& state, const std::vector<RegionRoom>& rooms, bool isStarting);
    void reportChange(const std::string& service, ServiceShares& state) const;

    const Clock& clock;
    const std::string ownRegion;
    ChangeHook changeHook;
    std::map<std::string, ServiceShares, std::less<>> services;
    // Requests in flight by key of service and region, and when the hub sent them.
    std::map<uint32_t, uint32_t> demand;
    double refusedRatio = 0;
    SteadyTime demandAt;
};

}
