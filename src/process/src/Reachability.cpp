#include "Reachability.h"

namespace wagtailrack::process {

namespace {

// Enough rounds for 23 members, as in UpdateQueue.
constexpr int sendsOfEachChange = 15;
constexpr size_t maxNewsInMessage = 4;

}

Reachability::Reachability(const Clock& source, Membership& members)
    : clock(source)
    , membership(members)
{
}

void Reachability::observe(const std::string& failureDomain, bool isReachable)
{
    this->apply(failureDomain, isReachable, this->clock.now());
}

void Reachability::merge(const std::vector<ReachabilityNews>& news)
{
    for (const ReachabilityNews& entry : news)
        this->apply(entry.failureDomain, entry.isReachable, this->clock.now() - entry.age);
}

void Reachability::apply(const std::string& failureDomain, bool isReachable, SteadyTime at)
{
    {
        const std::lock_guard lock(this->mutex);
        const auto [found, isNew] = this->observations.try_emplace(failureDomain);
        Observation& known = found->second;
        if (!isNew && at <= known.at)
            return;
        const bool isChange = known.isReachable != isReachable;
        known.at = at;
        if (!isChange)
            return;
        known.isReachable = isReachable;
        known.sends = sendsOfEachChange;
    }
    if (isReachable)
        this->membership.setReachable(failureDomain);
    else
        this->membership.setUnreachable(failureDomain);
}

std::vector<ReachabilityNews> Reachability::take()
{
    const std::lock_guard lock(this->mutex);
    std::vector<ReachabilityNews> news;
    const SteadyTime now = this->clock.now();
    for (auto& [failureDomain, known] : this->observations) {
        if (known.sends == 0 || news.size() == maxNewsInMessage)
            continue;
        --known.sends;
        news.push_back({ failureDomain, known.isReachable, std::chrono::duration_cast<Milliseconds>(now - known.at) });
    }
    return news;
}

}
