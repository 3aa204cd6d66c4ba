#include <wagtailrack/process/SlotShares.h>

#include <wagtailrack/process/Steering.h>

#include <algorithm>

namespace wagtailrack::process {

SlotShares::SlotShares(const Clock& processClock)
    : clock(processClock)
{
}

void SlotShares::update(const version::Tables& tables, const MemberView& view, const Member& self)
{
    struct Target {
        int64_t slots = 0;
        Milliseconds delay { 0 };
    };
    std::map<Endpoint, Target> targets;
    for (const version::Pool& pool : tables.pools) {
        for (const Steering::ServerShare& share : Steering::poolShares(tables, view, self, pool)) {
            const bool isAdopted = share.server->failureDomain != self.failureDomain;
            const Target target { share.slots, isAdopted ? growthDelay + adoptionDelay : growthDelay };
            const auto [found, isFirst] = targets.try_emplace(share.server->address, target);
            if (!isFirst)
                found->second.slots = std::min(found->second.slots, target.slots);
        }
    }
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->clock.now();
    std::erase_if(this->shares, [&](const auto& entry) { return !targets.contains(entry.first); });
    for (const auto& [address, target] : targets)
        setTarget(this->shares[address], now, target.delay, target.slots);
}

int64_t SlotShares::shareOf(const Endpoint& server) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->shares.find(server);
    return found == this->shares.end() ? 0 : currentSlots(found->second, this->clock.now());
}

void SlotShares::setTarget(Share& share, SteadyTime now, Milliseconds delay, int64_t target)
{
    if (share.empty())
        share.push_back({ now, 0 });
    // Forgets steps that a later one has replaced.
    while (share.size() > 1 && share[1].from <= now)
        share.erase(share.begin());
    const auto higher = std::lower_bound(
        share.begin(), share.end(), target, [](const Step& step, int64_t slots) { return step.slots < slots; });
    // A lower target takes the time of the first step that it replaces, which is now for the current one.
    const SteadyTime from = higher == share.end() ? now + delay : higher->from;
    share.erase(higher, share.end());
    share.push_back({ from, target });
}

int64_t SlotShares::currentSlots(const Share& share, SteadyTime now) noexcept
{
    int64_t slots = 0;
    for (const Step& step : share) {
        if (step.from <= now)
            slots = step.slots;
    }
    return slots;
}

}
