#pragma once

#include <wagtailrack/edge/WorkspaceDirectory.h>
#include <wagtailrack/version/Route.h>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailrack::edge {

// A service among those over which a route splits its requests, with its weight.
struct WeightedService {
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

// One route of a configuration version: which requests it matches and how they are forwarded.
struct RouteRule {
    std::string name;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // At least one; a route without a traffic split has exactly one.
    std::vector<WeightedService> weightedServices;
    version::Idempotency idempotency = version::Idempotency::NonIdempotent;
    // Longest time from the arrival of a request to its final response.
    int64_t timeoutMs = 0;
    // Time within which a response is of full use to its caller.
    int64_t targetLatencyMs = 0;
    // Maximum number of backend servers to which one request is sent.
    int64_t maxAttempts = 1;
    // 0 is the highest priority.
    int64_t priority = 0;
    // Regions whose servers may execute the requests; empty allows all regions.
    std::vector<std::string> homeRegions;
    // Whether a server is faster on objects that it has handled before.
    bool hasAffinity = false;
    // Whether requests need no API key although the configuration has workspaces.
    bool isAnonymous = false;
    // Whether responses are too large to be held whole by many requests at the same time.
    bool hasLargeResponses = false;

    friend bool operator==(const RouteRule&, const RouteRule&) = default;
};

// Limits the home regions of the rule to those of the workspace. Returns false if they have none in common.
bool limitHomeRegions(RouteRule& rule, const Workspace& workspace);

struct ServiceSettings {
    std::string name;
    // Connections that one server accepts from all clients together; 0 if not limited.
    int64_t maxConnections = 0;
    // How long a server is cold after its start, and the request rate that it can handle during this time.
    int64_t coldStartDurationMs = 0;
    double coldRequestsPerSecond = 0;

    friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

// Limits on the size of callers' requests and on the time in which they are sent.
struct CallerLimits {
    int64_t maxHeaderBytes = 16'384;
    int64_t maxBodyBytes = 1'048'576;
    int64_t headerTimeoutMs = 3000;
    int64_t idleTimeoutMs = 15000;
    // Version of the configuration that sets the limits; 0 for the built-in ones.
    uint64_t configurationVersion = 0;

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// Routes and services of one accepted version of the configuration. Immutable; shared by all requests that use it.
class RoutingTable {
public:
    using RoutesByHost = std::map<std::string, std::vector<RouteRule>, std::less<>>;
    using ServicesByName = std::map<std::string, ServiceSettings, std::less<>>;

    RoutingTable(uint64_t version, CallerLimits limits, RoutesByHost hosts, ServicesByName services,
        WorkspaceDirectory directory = {});
    // The index refers to the rules of the same object.
    RoutingTable(const RoutingTable&) = delete;
    RoutingTable& operator=(const RoutingTable&) = delete;

    // The rule of `host` with the longest prefix that matches `path`, and of several with this prefix the first; null
    // if none matches. Ignores a port in `host` and a query in `path`. Takes time for each slash in the path, up to the
    // longest prefix of the host, whatever the number of routes.
    const RouteRule* findRoute(std::string_view host, std::string_view path) const noexcept;

    // As findRoute(), for the Host field of a request: names of hosts are compared regardless of case (RFC 9110,
    // 4.2.3), and the table has them in lower case.
    const RouteRule* findRouteOfHost(std::string host, std::string_view target) const;

    // Null if the service is not in the table.
    const ServiceSettings* findService(std::string_view name) const noexcept;

    // Whether requests need an API key, unless their route is anonymous.
    bool hasWorkspaces() const noexcept { return !this->workspaces.isEmpty(); }
    // The workspace that holds an API key; null if none does.
    const Workspace* findWorkspace(std::string_view key) const noexcept { return this->workspaces.findByKey(key); }
    const Workspace* findWorkspaceByName(std::string_view name) const noexcept
    {
        return this->workspaces.findByName(name);
    }

    const WorkspaceDirectory& workspaceDirectory() const noexcept { return this->workspaces; }

    uint64_t version() const noexcept { return this->versionNumber; }
    const CallerLimits& limits() const noexcept { return this->callerLimits; }
    size_t routeCount() const noexcept;

private:
    struct HostIndex {
        // Keys refer to the prefixes in the rules.
        std::unordered_map<std::string_view, const RouteRule*> ruleByPrefix;
        size_t longestPrefixBytes = 0;
    };

    uint64_t versionNumber;
    CallerLimits callerLimits;
    // Must not change: `indexByHost` refers to its keys and rules.
    const RoutesByHost routesByHost;
    std::unordered_map<std::string_view, HostIndex> indexByHost;
    ServicesByName servicesByName;
    WorkspaceDirectory workspaces;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

}
