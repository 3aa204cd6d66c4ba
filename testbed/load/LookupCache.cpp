#include "LookupCache.h"

namespace wagtailrack::testbed {

std::optional<std::vector<Endpoint>> LookupCache::find(const std::string& service) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->answers.find(service);
    if (found == this->answers.end() || found->second.validUntil <= std::chrono::steady_clock::now())
        return std::nullopt;
    return found->second.instances;
}

void LookupCache::store(const std::string& service, std::vector<Endpoint> instances, SteadyTime validUntil)
{
    const std::lock_guard lock(this->mutex);
    this->answers[service] = { std::move(instances), validUntil };
}

void LookupCache::drop(const std::string& service)
{
    const std::lock_guard lock(this->mutex);
    this->answers.erase(service);
}

}
