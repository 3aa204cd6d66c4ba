#include <wagtailrack/version/Tables.h>

#include <algorithm>

namespace wagtailrack::version {

template <typename Records> static auto findByName(const Records& records, std::string_view name) noexcept
{
    const auto found
        = std::find_if(records.begin(), records.end(), [&](const auto& record) { return record.name == name; });
    return found == records.end() ? nullptr : &*found;
}

const char* toString(RequestClass requestClass) noexcept
{
    switch (requestClass) {
    case RequestClass::Interactive:
        return "interactive";
    case RequestClass::Order:
        return "order";
    case RequestClass::Deferrable:
        return "deferrable";
    }
    return "interactive";
}

const Route* Tables::findRoute(std::string_view method, std::string_view path) const noexcept
{
    const Route* best = nullptr;
    for (const Route& route : this->routes) {
        if (!path.starts_with(route.pathPrefix))
            continue;
        if (std::find(route.methods.begin(), route.methods.end(), method) == route.methods.end())
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const Route* Tables::findRouteByName(std::string_view name) const noexcept { return findByName(this->routes, name); }

const Pool* Tables::findPool(std::string_view name) const noexcept { return findByName(this->pools, name); }

const FailureDomain* Tables::findFailureDomain(std::string_view name) const noexcept
{
    return findByName(this->failureDomains, name);
}

std::string_view Tables::regionOf(std::string_view failureDomain) const noexcept
{
    const FailureDomain* domain = this->findFailureDomain(failureDomain);
    return domain ? std::string_view(domain->region) : std::string_view();
}

std::string_view Tables::homeOf(uint32_t address) const noexcept
{
    auto after = std::upper_bound(this->clientBlocks.begin(), this->clientBlocks.end(), address,
        [](uint32_t value, const ClientBlock& block) { return value < block.first; });
    if (after == this->clientBlocks.begin())
        return {};
    const ClientBlock& block = *--after;
    return address <= block.last ? std::string_view(block.failureDomain) : std::string_view();
}

int64_t Tables::latencyMsBetween(std::string_view firstRegion, std::string_view secondRegion) const noexcept
{
    for (const Link& link : this->links) {
        if ((link.firstRegion == firstRegion && link.secondRegion == secondRegion)
            || (link.firstRegion == secondRegion && link.secondRegion == firstRegion))
            return link.latencyMs;
    }
    return 0;
}

}
