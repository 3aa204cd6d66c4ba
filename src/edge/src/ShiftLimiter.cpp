#include <wagtailrack/edge/ShiftLimiter.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// The platform allows at most 0.15 of a region's requests to change their region from one window of 2 s to the next.
constexpr double returnTolerance = 0.04;
constexpr double crossRegionGrowthPerRequest = 0.06;
constexpr double maximumTokens = 1.2;
// Period after a region begins to send requests in which the baseline ratio is established without a limit, and the
// time without requests after which the region counts as starting again.
constexpr Milliseconds startingPeriod(1500);
constexpr Milliseconds idleTimeBeforeRestart(3000);
// The hub sends the ratios more often than this, so older ratios mean that there is no hub.
constexpr Milliseconds hubCrossRegionRatiosValidity(1000);
// A region has lost servers if its number of slots falls below this fraction of the peak over the period below.
constexpr double lostCapacityRatio = 0.75;
constexpr Milliseconds peakSlotsValidity(15000);

}

void DecayingRequestCounts::add(double addedInRegion, double addedCrossRegion, SteadyTime now)
{
    if (addedInRegion + addedCrossRegion <= 0)
        return;
    if (now - this->decayedAt > idleTimeBeforeRestart)
        this->startedAt = now;
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - this->decayedAt).count();
    const double decayFactor = std::exp(-elapsedMs / static_cast<double>(this->decayTime.count()));
    this->inRegionRequests = this->inRegionRequests * decayFactor + addedInRegion;
    this->crossRegionRequests = this->crossRegionRequests * decayFactor + addedCrossRegion;
    this->decayedAt = now;
}

double DecayingRequestCounts::crossRegionRatio() const noexcept
{
    const double total = this->inRegionRequests + this->crossRegionRequests;
    return total > 0 ? this->crossRegionRequests / total : 0;
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

void ShiftLimiter::setCrossRegionRatios(const CrossRegionRatios& ratios)
{
    this->hubCrossRegionRatios = ratios;
    this->hubCrossRegionRatiosAt = this->clock.now();
}

CrossRegionRatios ShiftLimiter::currentCrossRegionRatios() const
{
    if (this->clock.now() - this->hubCrossRegionRatiosAt < hubCrossRegionRatiosValidity)
        return this->hubCrossRegionRatios;
    // Without a hub, an instance cannot tell whether its region is starting: it may just have been restarted itself.
    return { this->recentSends.crossRegionRatio(), this->baselineSends.crossRegionRatio(), false };
}

void ShiftLimiter::recordSend(bool isCrossRegion)
{
    const SteadyTime now = this->clock.now();
    this->recentSends.add(isCrossRegion ? 0 : 1, isCrossRegion ? 1 : 0, now);
    this->baselineSends.add(isCrossRegion ? 0 : 1, isCrossRegion ? 1 : 0, now);
    const double earned
        = this->currentCrossRegionRatios().baseline + crossRegionGrowthPerRequest - (isCrossRegion ? 1 : 0);
    this->tokens = std::clamp(this->tokens + earned, -maximumTokens, maximumTokens);
    if (isCrossRegion) {
        ++this->unreportedSends.crossRegionRequests;
    } else {
        ++this->unreportedSends.inRegionRequests;
    }
}

void ShiftLimiter::recordOwnRegionSlots(const std::string& service, double slots)
{
    this->ownRegionCapacities[service].record(slots, this->clock.now());
}

void ShiftLimiter::RegionCapacity::record(double slots, SteadyTime now) noexcept
{
    this->currentSlots = slots;
    if (slots < this->peakSlots && now - this->peakAt < peakSlotsValidity)
        return;
    this->peakSlots = slots;
    this->peakAt = now;
}

bool ShiftLimiter::RegionCapacity::isLost() const noexcept
{
    return this->currentSlots < lostCapacityRatio * this->peakSlots;
}

bool ShiftLimiter::canSendCrossRegion(const std::string& service) const
{
    const auto capacity = this->ownRegionCapacities.find(service);
    return (capacity != this->ownRegionCapacities.end() && capacity->second.isLost()) || this->hasTokenOrNoLimit();
}

bool ShiftLimiter::canSendCrossRegion(const std::string& service, double ownRegionSlots) const
{
    const auto known = this->ownRegionCapacities.find(service);
    RegionCapacity capacity = known == this->ownRegionCapacities.end() ? RegionCapacity() : known->second;
    capacity.record(ownRegionSlots, this->clock.now());
    return capacity.isLost() || this->hasTokenOrNoLimit();
}

bool ShiftLimiter::hasTokenOrNoLimit() const
{
    const CrossRegionRatios ratios = this->currentCrossRegionRatios();
    // A steady or falling ratio is not limited; a growing ratio is limited by the tokens.
    return ratios.isStarting || ratios.recent < ratios.baseline || this->tokens >= 1;
}

bool ShiftLimiter::isReturningTooFast() const
{
    const CrossRegionRatios ratios = this->currentCrossRegionRatios();
    return ratios.recent < ratios.baseline - returnTolerance;
}

ShiftLimiter::SendCounts ShiftLimiter::collectSendCounts()
{
    const SendCounts counts = this->unreportedSends;
    this->unreportedSends = {};
    return counts;
}

}
