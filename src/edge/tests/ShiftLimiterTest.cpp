#include <wagtailrack/edge/ShiftLimiter.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(ShiftLimiter)
{
    FakeClock clock;
    ShiftLimiter limiter { this->clock };

    // Sends `perSecond` requests for so many seconds, all of which want to leave; returns the part that did.
    double wantToLeave(int seconds, int perSecond)
    {
        int left = 0;
        for (int request = 0; request < seconds * perSecond; ++request) {
            this->clock.advance(Milliseconds(1000 / perSecond));
            const bool leaves = this->limiter.canSendCrossRegion("prices");
            this->limiter.recordSend(leaves);
            left += leaves ? 1 : 0;
        }
        return static_cast<double>(left) / (seconds * perSecond);
    }

    void stay(int seconds, int perSecond)
    {
        for (int request = 0; request < seconds * perSecond; ++request) {
            this->clock.advance(Milliseconds(1000 / perSecond));
            this->limiter.recordSend(false);
        }
    }
};

// Guards against a region whose requests all leave at the same moment.
TEST(ShiftLimiter, requestsBeginToLeaveSlowly)
{
    this->stay(5, 100);
    const double first = this->wantToLeave(2, 100);
    const double second = this->wantToLeave(2, 100);
    const double third = this->wantToLeave(2, 100);
    CHECK_TRUE(first > 0 && first <= 0.15);
    CHECK_TRUE(second - first <= 0.15);
    CHECK_TRUE(third - second <= 0.15);
    CHECK_TRUE(third > first);
}

// Guards against callers who get nothing for a long time when their own region has lost its servers.
TEST(ShiftLimiter, lostServersFreeTheWay)
{
    this->limiter.recordOwnRegionSlots("prices", 30);
    this->stay(5, 100);
    this->limiter.recordOwnRegionSlots("prices", 10);
    DOUBLES_EQUAL(1, this->wantToLeave(2, 100), 0.001);
    // Another service has lost nothing.
    this->limiter.recordOwnRegionSlots("orders", 30);
    CHECK_FALSE(this->limiter.canSendCrossRegion("orders"));
}

// Guards against a loss that counts for ever.
TEST(ShiftLimiter, smallerRoomIsUsualAfterAWhile)
{
    this->limiter.recordOwnRegionSlots("prices", 30);
    this->stay(5, 100);
    this->limiter.recordOwnRegionSlots("prices", 10);
    this->clock.advance(Milliseconds(16'000));
    this->limiter.recordOwnRegionSlots("prices", 10);
    this->stay(5, 100);
    this->wantToLeave(1, 100);
    CHECK_FALSE(this->limiter.canSendCrossRegion("prices"));
}

// Guards against requests that wait for a small region after a start, when no part was usual yet.
TEST(ShiftLimiter, beginningOfARegionIsFree)
{
    DecayingRequestCounts mix(CrossRegionRatios::baselineDecayTime);
    CHECK_TRUE(mix.isStarting(this->clock.now()));
    for (int second = 0; second < 2; ++second) {
        mix.add(10, 10, this->clock.now());
        CHECK_EQUAL(second == 0, mix.isStarting(this->clock.now()));
        this->clock.advance(Milliseconds(2000));
    }
    // A pause of all instances makes a new beginning.
    this->clock.advance(Milliseconds(3000));
    CHECK_TRUE(mix.isStarting(this->clock.now()));
    mix.add(10, 0, this->clock.now());
    CHECK_TRUE(mix.isStarting(this->clock.now()));
    this->limiter.setCrossRegionRatios({ 0, 0, true });
    DOUBLES_EQUAL(1, this->wantToLeave(1, 20), 0.06);
}

// Guards against each instance of a region going by its own few requests.
TEST(ShiftLimiter, whatTheRegionUsuallySendsMayLeave)
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
