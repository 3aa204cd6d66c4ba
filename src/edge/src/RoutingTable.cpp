#include <wagtailrack/edge/RoutingTable.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

RoutingTable::RoutingTable(uint64_t version, CallerLimits limits, Hosts hosts, Services services)
    : number(version)
    , callerLimits(limits)
    , hosts(std::move(hosts))
    , services(std::move(services))
{
    // Longest prefix first, so that the first match is the right one.
    for (auto& [host, rules] : this->hosts) {
        std::stable_sort(rules.begin(), rules.end(), [](const RouteRule& left, const RouteRule& right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const RouteRule* RoutingTable::find(std::string_view host, std::string_view path) const noexcept
{
    const auto byHost = this->hosts.find(host.substr(0, host.find(':')));
    if (byHost == this->hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const RouteRule& rule : byHost->second) {
        if (path.substr(0, rule.pathPrefix.size()) == rule.pathPrefix)
            return &rule;
    }
    return nullptr;
}

const ServiceRule* RoutingTable::service(std::string_view name) const noexcept
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

size_t RoutingTable::routeCount() const noexcept
{
    size_t count = 0;
    for (const auto& [host, rules] : this->hosts)
        count += rules.size();
    return count;
}

}
