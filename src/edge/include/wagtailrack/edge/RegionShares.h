#pragma once

#include <wagtailrack/base/Clock.h>

#include <map>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Expected time to answer in one region, for one request.
struct RegionOffer {
    std::string region;
    double expectedMs = 0;
    // Slots of the region's usable servers; sets the shares at the start.
    double slots = 0;
};

// Divides the requests of one service over regions. Shares move slowly towards the region that answers sooner, so that
// the part of the requests that changes its region within two seconds stays bounded however the load changes; each
// instance keeps the bound for its own callers, so that it holds for all together. Lives for the process, one for each
// service; used by one thread.
class RegionShares {
public:
    // A share moves by at most this much in a second; deployments allow 0.15 in two.
    static constexpr double sharePerSecond = 0.05;
    // Differences of expected times below this do not move shares.
    static constexpr double indifferenceMs = 25;
    // Part of the requests that stays at home at least, so that home is always measured.
    static constexpr double leastHomeShare = 0.1;

    RegionShares(std::string home, size_t regionCount);

    // Region for the next request, one of `offers`. The first call sets the shares by capacity.
    const std::string& choose(const std::vector<RegionOffer>& offers, SteadyTime now);

    double share(const std::string& region) const;

private:
    void start(const std::vector<RegionOffer>& offers);
    void adapt(const std::vector<RegionOffer>& offers, SteadyTime now);
    double homeShare() const;

    std::string home;
    double regionCount;
    bool hasStarted = false;
    SteadyTime adaptedAt;
    // Of other regions; home has the rest.
    std::map<std::string, double> shares;
    // Moving average of what another region would save, in ms.
    std::map<std::string, double> savings;
    // Error of each region's count against its share.
    std::map<std::string, double> debts;
};

}
