#include <wagtailrack/edge/ShiftLimiter.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(ShiftLimiter)
{
    FakeClock clock;
    ShiftLimiter limiter { this->clock };

    // Sends `requestsPerSecond` requests for `seconds`, each to another region if the limiter allows it; returns the
    // ratio of requests that were sent to another region.
    double sendCrossRegionIfAllowed(int seconds, int requestsPerSecond)
    {
        int crossRegionRequests = 0;
        for (int request = 0; request < seconds * requestsPerSecond; ++request) {
            this->clock.advance(Milliseconds(1000 / requestsPerSecond));
            const bool isCrossRegion = this->limiter.canSendCrossRegion("prices");
            this->limiter.recordSend(isCrossRegion);
            crossRegionRequests += isCrossRegion ? 1 : 0;
        }
        return static_cast<double>(crossRegionRequests) / (seconds * requestsPerSecond);
    }

    void sendInRegion(int seconds, int requestsPerSecond)
    {
        for (int request = 0; request < seconds * requestsPerSecond; ++request) {
            this->clock.advance(Milliseconds(1000 / requestsPerSecond));
            this->limiter.recordSend(false);
        }
    }
};

// Guards against all requests of a region being sent to other regions at once.
TEST(ShiftLimiter, crossRegionRatioGrowsSlowly)
{
    this->sendInRegion(5, 100);
    const double first = this->sendCrossRegionIfAllowed(2, 100);
    const double second = this->sendCrossRegionIfAllowed(2, 100);
    const double third = this->sendCrossRegionIfAllowed(2, 100);
    CHECK_TRUE(first > 0 && first <= 0.15);
    CHECK_TRUE(second - first <= 0.15);
    CHECK_TRUE(third - second <= 0.15);
    CHECK_TRUE(third > first);
}

// Guards against requests being rejected for a long time after their own region has lost its servers, because the limit
// still applies.
TEST(ShiftLimiter, lostServersSuspendTheLimit)
{
    this->limiter.recordOwnRegionSlots("prices", 30);
    this->sendInRegion(5, 100);
    this->limiter.recordOwnRegionSlots("prices", 10);
    DOUBLES_EQUAL(1, this->sendCrossRegionIfAllowed(2, 100), 0.001);
    // The limit still applies to another service that has lost no servers.
    this->limiter.recordOwnRegionSlots("orders", 30);
    CHECK_FALSE(this->limiter.canSendCrossRegion("orders"));
}

// Guards against a loss of servers suspending the limit forever.
TEST(ShiftLimiter, limitAppliesAgainToASmallerRegion)
{
    this->limiter.recordOwnRegionSlots("prices", 30);
    this->sendInRegion(5, 100);
    this->limiter.recordOwnRegionSlots("prices", 10);
    this->clock.advance(Milliseconds(16'000));
    this->limiter.recordOwnRegionSlots("prices", 10);
    this->sendInRegion(5, 100);
    this->sendCrossRegionIfAllowed(1, 100);
    CHECK_FALSE(this->limiter.canSendCrossRegion("prices"));
}

// Guards against limiting cross-region requests after the start of a region with few servers, when there is no baseline
// yet.
TEST(ShiftLimiter, startingRegionIsNotLimited)
{
    DecayingRequestCounts counts(CrossRegionRatios::baselineDecayTime);
    CHECK_TRUE(counts.isStarting(this->clock.now()));
    for (int second = 0; second < 2; ++second) {
        counts.add(10, 10, this->clock.now());
        CHECK_EQUAL(second == 0, counts.isStarting(this->clock.now()));
        this->clock.advance(Milliseconds(2000));
    }
    // After a period without requests from any instance, the region counts as starting again.
    this->clock.advance(Milliseconds(3000));
    CHECK_TRUE(counts.isStarting(this->clock.now()));
    counts.add(10, 0, this->clock.now());
    CHECK_TRUE(counts.isStarting(this->clock.now()));
    this->limiter.setCrossRegionRatios({ 0, 0, true });
    DOUBLES_EQUAL(1, this->sendCrossRegionIfAllowed(1, 20), 0.06);
}

// Guards against an instance limiting requests by its own few requests instead of by the ratios of the whole region.
TEST(ShiftLimiter, ratiosOfTheWholeRegionAreUsed)
{
    this->limiter.setCrossRegionRatios({ 0.4, 0.4, false });
    CHECK_TRUE(this->limiter.canSendCrossRegion("prices"));
    this->limiter.setCrossRegionRatios({ 0.5, 0.4, false });
    this->limiter.recordSend(true);
    this->limiter.recordSend(true);
    CHECK_FALSE(this->limiter.canSendCrossRegion("prices"));
    CHECK_FALSE(this->limiter.isReturningTooFast());
    this->limiter.setCrossRegionRatios({ 0.2, 0.4, false });
    CHECK_TRUE(this->limiter.canSendCrossRegion("prices"));
    CHECK_TRUE(this->limiter.isReturningTooFast());
}
