#include <wagtailrack/edge/DepartedServers.h>

#include <algorithm>

namespace wagtailrack::edge {

void DepartedServers::forgetOld(SteadyTime now)
{
    std::erase_if(this->entries, [now](const auto& entry) { return now - entry.second.departedAt > memoryTime; });
    if (this->entries.size() <= maximumDepartures)
        return;
    const auto oldest = std::min_element(this->entries.begin(), this->entries.end(),
        [](const auto& left, const auto& right) { return left.second.departedAt < right.second.departedAt; });
    this->entries.erase(oldest);
}

void DepartedServers::record(Departure departure, SteadyTime now)
{
    Entry& entry = this->entries[std::move(departure.server)];
    entry.departedAt = now;
    entry.isFinal = entry.isFinal || departure.isFinal;
    this->forgetOld(now);
}

void DepartedServers::beginHold(SteadyTime now, SteadyTime until)
{
    this->forgetOld(now);
    this->hasHold = true;
    this->holdBeganAt = now;
    this->holdUntil = std::max(this->holdUntil, until);
}

bool DepartedServers::isHeld(const Lifetime& server, SteadyTime now) const
{
    if (!this->hasHold)
        return false;
    const auto found = this->entries.find(server);
    if (found == this->entries.end() || found->second.departedAt > this->holdBeganAt)
        return false;
    return now < this->holdUntil || (found->second.isFinal && now - found->second.departedAt <= memoryTime);
}

std::vector<DepartedServers::Departure> DepartedServers::heldDepartures(SteadyTime now) const
{
    std::vector<Departure> held;
    for (const auto& [server, entry] : this->entries) {
        if (this->isHeld(server, now))
            held.push_back({ server, entry.isFinal });
    }
    return held;
}

}
