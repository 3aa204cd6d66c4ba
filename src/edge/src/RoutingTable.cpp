#include <wagtailrack/edge/RoutingTable.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

RoutingTable::RoutingTable(uint64_t version, CallerLimits limits, RoutesByHost hosts, ServicesByName services)
    : versionNumber(version)
    , callerLimits(limits)
    , routesByHost(std::move(hosts))
    , servicesByName(std::move(services))
{
    this->callerLimits.configurationVersion = version;
    // Longest prefix first, so that the first match is the longest one.
    for (auto& [host, rules] : this->routesByHost) {
        std::stable_sort(rules.begin(), rules.end(), [](const RouteRule& left, const RouteRule& right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const RouteRule* RoutingTable::findRoute(std::string_view host, std::string_view path) const noexcept
{
    const auto byHost = this->routesByHost.find(host.substr(0, host.find(':')));
    if (byHost == this->routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const RouteRule& rule : byHost->second) {
        if (path.substr(0, rule.pathPrefix.size()) == rule.pathPrefix)
            return &rule;
    }
    return nullptr;
}

const ServiceSettings* RoutingTable::findService(std::string_view name) const noexcept
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : &found->second;
}

size_t RoutingTable::routeCount() const noexcept
{
    size_t count = 0;
    for (const auto& [host, rules] : this->routesByHost)
        count += rules.size();
    return count;
}

}
