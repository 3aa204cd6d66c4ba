#include <wagtailrack/edge/RoutingTable.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace wagtailrack::edge {

namespace {

char toLowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

}

bool limitHomeRegions(RouteRule& rule, const Workspace& workspace)
{
    if (workspace.homeRegions.empty())
        return true;
    std::vector<std::string>& regions = rule.homeRegions;
    if (regions.empty()) {
        regions = workspace.homeRegions;
        return true;
    }
    std::erase_if(regions, [&workspace](const std::string& region) {
        return std::find(workspace.homeRegions.begin(), workspace.homeRegions.end(), region)
            == workspace.homeRegions.end();
    });
    return !regions.empty();
}

RoutingTable::RoutingTable(
    uint64_t version, CallerLimits limits, RoutesByHost hosts, ServicesByName services, WorkspaceDirectory directory)
    : versionNumber(version)
    , callerLimits(limits)
    , routesByHost(std::move(hosts))
    , servicesByName(std::move(services))
    , workspaces(std::move(directory))
{
    this->callerLimits.configurationVersion = version;
    this->indexByHost.reserve(this->routesByHost.size());
    for (const auto& [host, rules] : this->routesByHost) {
        HostIndex& index = this->indexByHost[host];
        index.ruleByPrefix.reserve(rules.size());
        for (const RouteRule& rule : rules) {
            // findRoute() looks only for prefixes that end with a slash.
            assert(rule.pathPrefix.ends_with('/'));
            index.ruleByPrefix.try_emplace(rule.pathPrefix, &rule);
            index.longestPrefixBytes = std::max(index.longestPrefixBytes, rule.pathPrefix.size());
        }
    }
}

const RouteRule* RoutingTable::findRoute(std::string_view host, std::string_view path) const noexcept
{
    const auto byHost = this->indexByHost.find(host.substr(0, host.find(':')));
    if (byHost == this->indexByHost.end())
        return nullptr;
    const HostIndex& index = byHost->second;
    path = path.substr(0, path.find('?')).substr(0, index.longestPrefixBytes);
    // From the longest part of the path that ends with a slash to the shortest.
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto found = index.ruleByPrefix.find(path.substr(0, slash + 1));
        if (found != index.ruleByPrefix.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const RouteRule* RoutingTable::findRouteOfHost(std::string host, std::string_view target) const
{
    std::transform(host.begin(), host.end(), host.begin(), toLowerCase);
    return this->findRoute(host, target);
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
