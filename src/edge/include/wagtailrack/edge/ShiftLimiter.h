#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace wagtailrack::edge {

// Requests that were sent to servers of the own region and to others, decaying in time.
class DecayingRequestCounts {
public:
    explicit DecayingRequestCounts(Milliseconds memory)
        : decayTime(memory)
    {
    }

    void add(double here, double elsewhere, SteadyTime now);
    // Part that went elsewhere, 0 to 1; 0 before any request.
    double crossRegionRatio() const noexcept;
    // Whether the first requests came only a moment ago: there is no usual part yet.
    bool isStarting(SteadyTime now) const noexcept;

private:
    Milliseconds decayTime;
    double inRegionRequests = 0;
    double crossRegionRequests = 0;
    SteadyTime decayedAt;
    SteadyTime startedAt;
};

// The part of a region's requests that leave it: over the last second, and over some seconds.
struct CrossRegionRatios {
    static constexpr Milliseconds recentDecayTime { 500 };
    static constexpr Milliseconds baselineDecayTime { 1000 };
    double recent = 0;
    double baseline = 0;
    // The region has only begun to send, after a start or an outage of all: any part may leave.
    bool isStarting = false;
};

// Bounds how fast the requests of a region begin to leave it, and how fast they return: caches elsewhere are cold and
// links have limits. A burst of requests that the own region cannot take moves by a few hundredths a second; what may
// not move yet is served late or rejected. When the region has just lost servers, the bound does not hold. Lives for
// the process; used by one thread.
class ShiftLimiter {
public:
    explicit ShiftLimiter(const Clock& clock);

    // What the instances of the region send together, as the hub tells it.
    void setCrossRegionRatios(const CrossRegionRatios& mix);
    void recordSend(bool leavesRegion);
    // The slots of the service's usable servers in the own region.
    void recordOwnRegionSlots(const std::string& service, double slots);

    // Whether a request for the service may leave the region now.
    bool canSendCrossRegion(const std::string& service) const;
    // Whether requests that left the region return too fast, so that those that can be served elsewhere stay there.
    bool isReturningTooFast() const;

    // Sends since the last call, for the report to the hub.
    struct SendCounts {
        uint32_t inRegionRequests = 0;
        uint32_t crossRegionRequests = 0;
    };
    SendCounts collectSendCounts();

private:
    struct RegionCapacity {
        double peakSlots = 0;
        SteadyTime peakAt;
        double currentSlots = 0;
    };

    CrossRegionRatios currentCrossRegionRatios() const;

    const Clock& clock;
    DecayingRequestCounts recentSends;
    DecayingRequestCounts baselineSends;
    CrossRegionRatios hubCrossRegionRatios;
    SteadyTime hubCrossRegionRatiosAt;
    // Requests that may leave at once; grows with each request by the part that usually leaves and a little more.
    double tokens;
    SendCounts unreportedSends;
    std::map<std::string, RegionCapacity> ownRegionCapacities;
};

}
