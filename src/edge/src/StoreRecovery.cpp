#include <wagtailrack/edge/StoreRecovery.h>

#include <algorithm>

namespace wagtailrack::edge {

void StoreRecovery::begin(int64_t era) { this->join(era, this->duration); }

void StoreRecovery::join(int64_t era, Milliseconds remaining)
{
    if (era > this->currentEra)
        this->released.clear();
    this->currentEra = std::max(this->currentEra, era);
    this->endsAt = std::max(this->endsAt, this->clock.now() + std::min(remaining, this->duration));
}

Milliseconds StoreRecovery::remaining() const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(this->endsAt - this->clock.now()));
}

void StoreRecovery::retainEvacuation(const std::string& domain)
{
    if (!this->released.contains(domain))
        this->retained.insert(domain);
}

void StoreRecovery::releaseEvacuation(const std::string& domain)
{
    this->retained.erase(domain);
    this->released.insert(domain);
}

std::set<std::string> StoreRecovery::retainedEvacuations() const
{
    return this->isActive() ? this->retained : std::set<std::string>();
}

bool StoreRecovery::takeExpiry()
{
    if (this->retained.empty() || this->isActive())
        return false;
    this->retained.clear();
    return true;
}

}
