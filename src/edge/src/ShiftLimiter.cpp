#include <wagtailrack/edge/ShiftLimiter.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// The platform allows 0.15 of a region's requests to move from one window of 2 s to the next.
constexpr double returnTolerance = 0.04;
constexpr double crossRegionGrowthPerRequest = 0.06;
constexpr double maximumTokens = 1.2;
// Time in which the part that leaves is found after a region begins to send, and the pause that makes a new beginning.
constexpr Milliseconds startingPeriod(1500);
constexpr Milliseconds idleTimeBeforeRestart(3000);
// The hub tells more often than this.
constexpr Milliseconds hubCrossRegionRatiosValidity(1000);
// A region that has less than this part of the slots that it had in the last seconds has lost servers.
constexpr double lostCapacityRatio = 0.75;
constexpr Milliseconds peakSlotsValidity(15000);

}

void DecayingRequestCounts::add(double moreHere, double moreElsewhere, SteadyTime now)
{
    if (moreHere + moreElsewhere <= 0)
        return;
    if (now - this->decayedAt > idleTimeBeforeRestart)
        this->startedAt = now;
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - this->decayedAt).count();
    const double factor = std::exp(-elapsedMs / static_cast<double>(this->decayTime.count()));
    this->inRegionRequests = this->inRegionRequests * factor + moreHere;
    this->crossRegionRequests = this->crossRegionRequests * factor + moreElsewhere;
    this->decayedAt = now;
}

double DecayingRequestCounts::crossRegionRatio() const noexcept
{
    const double all = this->inRegionRequests + this->crossRegionRequests;
    return all > 0 ? this->crossRegionRequests / all : 0;
}

bool DecayingRequestCounts::isStarting(SteadyTime now) const noexcept
{
    return now - this->startedAt < startingPeriod || now - this->decayedAt > idleTimeBeforeRestart;
}

ShiftLimiter::ShiftLimiter(const Clock& clock)
    : clock(clock)
    , recentSends(CrossRegionRatios::recentDecayTime)
    , baselineSends(CrossRegionRatios::baselineDecayTime)
    , tokens(maximumTokens)
{
}

void ShiftLimiter::setCrossRegionRatios(const CrossRegionRatios& mix)
{
    this->hubCrossRegionRatios = mix;
    this->hubCrossRegionRatiosAt = this->clock.now();
}

CrossRegionRatios ShiftLimiter::currentCrossRegionRatios() const
{
    if (this->clock.now() - this->hubCrossRegionRatiosAt < hubCrossRegionRatiosValidity)
        return this->hubCrossRegionRatios;
    // Alone an instance does not know whether its region is new; it may have been started again itself.
    return { this->recentSends.crossRegionRatio(), this->baselineSends.crossRegionRatio(), false };
}

void ShiftLimiter::recordSend(bool leavesRegion)
{
    const SteadyTime now = this->clock.now();
    this->recentSends.add(leavesRegion ? 0 : 1, leavesRegion ? 1 : 0, now);
    this->baselineSends.add(leavesRegion ? 0 : 1, leavesRegion ? 1 : 0, now);
    const double earned
        = this->currentCrossRegionRatios().baseline + crossRegionGrowthPerRequest - (leavesRegion ? 1 : 0);
    this->tokens = std::clamp(this->tokens + earned, -maximumTokens, maximumTokens);
    if (leavesRegion) {
        ++this->unreportedSends.crossRegionRequests;
    } else {
        ++this->unreportedSends.inRegionRequests;
    }
}

void ShiftLimiter::recordOwnRegionSlots(const std::string& service, double slots)
{
    const SteadyTime now = this->clock.now();
    RegionCapacity& room = this->ownRegionCapacities[service];
    room.currentSlots = slots;
    if (slots < room.peakSlots && now - room.peakAt < peakSlotsValidity)
        return;
    room.peakSlots = slots;
    room.peakAt = now;
}

bool ShiftLimiter::canSendCrossRegion(const std::string& service) const
{
    const auto room = this->ownRegionCapacities.find(service);
    if (room != this->ownRegionCapacities.end()
        && room->second.currentSlots < lostCapacityRatio * room->second.peakSlots)
        return true;
    const CrossRegionRatios mix = this->currentCrossRegionRatios();
    // A steady part leaves freely; a growing one as fast as the tokens come.
    return mix.isStarting || mix.recent < mix.baseline || this->tokens >= 1;
}

bool ShiftLimiter::isReturningTooFast() const
{
    const CrossRegionRatios mix = this->currentCrossRegionRatios();
    return mix.recent < mix.baseline - returnTolerance;
}

ShiftLimiter::SendCounts ShiftLimiter::collectSendCounts()
{
    const SendCounts sends = this->unreportedSends;
    this->unreportedSends = {};
    return sends;
}

}
