#include <wagtailrack/edge/RegionShares.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

namespace {

// About the last twenty requests count.
constexpr double savingWeight = 0.05;
// One request's estimate counts for this much at most, so that a single outlier moves nothing.
constexpr double maximumSavingMs = 1000;
// A pause in the traffic is no licence for a jump.
constexpr double maximumStepSeconds = 0.2;

}

RegionShares::RegionShares(std::string home, size_t regionCount)
    : home(std::move(home))
    , regionCount(static_cast<double>(std::max<size_t>(regionCount, 1)))
{
}

double RegionShares::homeShare() const
{
    double rest = 1;
    for (const auto& [region, share] : this->shares)
        rest -= share;
    return rest;
}

double RegionShares::share(const std::string& region) const
{
    if (region == this->home)
        return this->homeShare();
    const auto found = this->shares.find(region);
    return found == this->shares.end() ? 0 : found->second;
}

void RegionShares::start(const std::vector<RegionOffer>& offers)
{
    this->hasStarted = true;
    double total = 0;
    double own = 0;
    for (const RegionOffer& offer : offers) {
        total += offer.slots;
        own += offer.region == this->home ? offer.slots : 0;
    }
    const double fair = total / this->regionCount;
    if (fair <= 0 || own >= fair)
        return;
    // What home lacks goes to the regions that have more than their part.
    double surplus = 0;
    for (const RegionOffer& offer : offers)
        surplus += std::max(0.0, offer.slots - fair);
    if (surplus <= 0)
        return;
    const double away = std::min(1 - leastHomeShare, 1 - own / fair);
    for (const RegionOffer& offer : offers) {
        if (offer.region != this->home)
            this->shares[offer.region] = away * std::max(0.0, offer.slots - fair) / surplus;
    }
}

void RegionShares::adapt(const std::vector<RegionOffer>& offers, SteadyTime now)
{
    const double elapsed = std::min(std::chrono::duration<double>(now - this->adaptedAt).count(), maximumStepSeconds);
    this->adaptedAt = now;
    const auto atHome = std::find_if(
        offers.begin(), offers.end(), [this](const RegionOffer& offer) { return offer.region == this->home; });
    if (atHome == offers.end())
        return;
    for (const RegionOffer& offer : offers) {
        if (offer.region == this->home)
            continue;
        double& saving = this->savings[offer.region];
        const double sample
            = std::clamp(atHome->expectedMs - offer.expectedMs, -maximumSavingMs, maximumSavingMs);
        saving += savingWeight * (sample - saving);
    }
    // One region at a time: the sum of all changes is what callers see.
    const auto best = std::max_element(this->savings.begin(), this->savings.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    const double step = sharePerSecond * elapsed;
    if (best != this->savings.end() && best->second > indifferenceMs) {
        this->shares[best->first] += std::min(step, std::max(0.0, this->homeShare() - leastHomeShare));
        return;
    }
    std::pair<const std::string, double>* worst = nullptr;
    for (auto& entry : this->shares) {
        if (entry.second <= 0 || this->savings[entry.first] > -indifferenceMs)
            continue;
        if (!worst || this->savings[entry.first] < this->savings[worst->first])
            worst = &entry;
    }
    if (worst)
        worst->second = std::max(0.0, worst->second - step);
}

const std::string& RegionShares::choose(const std::vector<RegionOffer>& offers, SteadyTime now)
{
    if (!this->hasStarted) {
        this->adaptedAt = now;
        this->start(offers);
    }
    this->adapt(offers, now);
    double total = 0;
    for (const RegionOffer& offer : offers)
        total += this->share(offer.region);
    const RegionOffer* chosen = nullptr;
    for (const RegionOffer& offer : offers) {
        // With no share in any of the regions on offer, all are alike.
        const double part = total > 0 ? this->share(offer.region) / total : 1.0 / static_cast<double>(offers.size());
        double& debt = this->debts[offer.region];
        debt = std::clamp(debt + part, -1.0, 1.0);
        if (!chosen || debt > this->debts[chosen->region])
            chosen = &offer;
    }
    this->debts[chosen->region] -= 1;
    return chosen->region;
}

}
