#include <wagtailrack/process/LoadHints.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::process {

// Peers can report any address; above this number expired hints are removed and unknown servers are not added.
static constexpr size_t maxHints = 10'000;

LoadHints::LoadHints(const Clock& processClock)
    : clock(processClock)
{
}

void LoadHints::report(const Endpoint& server, const LoadReport& report, Milliseconds validity)
{
    if (!(report.load >= 0 && report.load <= 1))
        return;
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->clock.now();
    if (this->hints.size() >= maxHints && !this->hints.contains(server)) {
        std::erase_if(this->hints, [&](const auto& entry) { return entry.second.expiresAt <= now; });
        if (this->hints.size() >= maxHints)
            return;
    }
    this->hints[server] = { report, now + std::min<Milliseconds>(validity, longestValidity) };
}

int64_t LoadHints::lowered(const Endpoint& server, int64_t share, int64_t slots) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->hints.find(server);
    if (share <= 1 || found == this->hints.end() || found->second.expiresAt <= this->clock.now())
        return share;
    const LoadReport& report = found->second.report;
    if (report.health == ReportedHealth::Unhealthy)
        return 1;
    const auto reportedFree = static_cast<int64_t>(std::ceil((1 - report.load) * static_cast<double>(slots)));
    return std::clamp<int64_t>(report.ownInFlight + reportedFree, 1, share);
}

}
