#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace wagtailrack::edge {

// Exponentially decaying counts of the requests sent to servers of the own region and of other regions.
class DecayingRequestCounts {
public:
    explicit DecayingRequestCounts(Milliseconds memory)
        : decayTime(memory)
    {
    }

    void add(double addedInRegion, double addedCrossRegion, SteadyTime now);
    // Ratio of requests sent to other regions, 0 to 1; 0 before the first request.
    double crossRegionRatio() const noexcept;
    // Returns whether the region began to send requests only recently, so that there is no baseline yet.
    bool isStarting(SteadyTime now) const noexcept;

private:
    Milliseconds decayTime;
    double inRegionRequests = 0;
    double crossRegionRequests = 0;
    SteadyTime decayedAt;
    SteadyTime startedAt;
};

// Ratio of a region's requests that are sent to other regions, averaged over about the last second (`recent`) and over
// several seconds (`baseline`).
struct CrossRegionRatios {
    static constexpr Milliseconds recentDecayTime { 500 };
    static constexpr Milliseconds baselineDecayTime { 1000 };
    double recent = 0;
    double baseline = 0;
    // The region began to send requests only recently, after a start or an outage of all its instances. Cross-region
    // requests are then not limited.
    bool isStarting = false;
};

// Limits how fast the requests of a region shift to other regions and back, because caches in other regions do not hold
// the region's objects and links have limited bandwidth. When a burst exceeds the capacity of the own region, the ratio
// of cross-region requests grows by a few hundredths per second; requests that may not leave yet are served late or
// rejected. There is no limit while the region has just lost servers. Exists for the lifetime of the process; used by
// one thread.
class ShiftLimiter {
public:
    explicit ShiftLimiter(const Clock& clock);

    // Sets the ratios over all instances of the region, as computed by the hub.
    void setCrossRegionRatios(const CrossRegionRatios& ratios);
    void recordSend(bool isCrossRegion);
    // Records that a request was refused because no server had room for it.
    void recordRefusal() { ++this->unreportedSends.refusedRequests; }
    // Records the number of slots of the service's usable servers in the own region.
    void recordOwnRegionSlots(const std::string& service, double slots);

    // Returns whether a request for the service may be sent to another region now.
    bool canSendCrossRegion(const std::string& service) const;
    // As above, as if recordOwnRegionSlots() had been called with `ownRegionSlots`.
    bool canSendCrossRegion(const std::string& service, double ownRegionSlots) const;
    // Returns whether traffic returns to the region too fast, so that requests that other regions can serve should stay
    // there.
    bool isReturningTooFast() const;

    // Returns whether the region's requests began only recently, according to the hub.
    bool isStarting() const { return this->currentCrossRegionRatios().isStarting; }

    // Requests sent and refused since the last call of collectSendCounts(), for the report to the hub.
    struct SendCounts {
        uint32_t inRegionRequests = 0;
        uint32_t crossRegionRequests = 0;
        uint32_t refusedRequests = 0;
    };
    SendCounts collectSendCounts();

private:
    struct RegionCapacity {
        double peakSlots = 0;
        SteadyTime peakAt;
        double currentSlots = 0;

        void record(double slots, SteadyTime now) noexcept;
        bool isLost() const noexcept;
    };

    bool hasTokenOrNoLimit() const;
    CrossRegionRatios currentCrossRegionRatios() const;

    const Clock& clock;
    DecayingRequestCounts recentSends;
    DecayingRequestCounts baselineSends;
    CrossRegionRatios hubCrossRegionRatios;
    SteadyTime hubCrossRegionRatiosAt;
    // Token bucket for cross-region requests: each request adds the baseline ratio and a small growth allowance, each
    // cross-region request takes one token.
    double tokens;
    SendCounts unreportedSends;
    std::map<std::string, RegionCapacity> ownRegionCapacities;
};

}
