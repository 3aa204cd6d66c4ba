#pragma once

#include <wagtailrack/version/Route.h>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Part of a route's requests that one service gets.
struct WeightedService {
    std::string service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

// One route of a version: which requests it matches and how they are treated.
struct RouteRule {
    std::string name;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // At least one; a route without a split has a single share.
    std::vector<WeightedService> weightedServices;
    version::Idempotency idempotency = version::Idempotency::NonIdempotent;
    // Longest time from arrival to the final answer.
    int64_t timeoutMs = 0;
    // Time within which an answer is useful to its caller in full.
    int64_t targetLatencyMs = 0;
    // Backend servers to which one request may be sent.
    int64_t maxAttempts = 1;
    // 0 is the most urgent.
    int64_t priority = 0;
    // Regions whose servers may run the requests; empty allows all.
    std::vector<std::string> homeRegions;
    // Whether servers are faster on objects that they handled before.
    bool hasAffinity = false;

    friend bool operator==(const RouteRule&, const RouteRule&) = default;
};

struct ServiceSettings {
    std::string name;
    // Connections that one server accepts from all callers together; 0 when not limited.
    int64_t maxConnections = 0;
    // How long a server is cold after its start, and the requests a second that it bears meanwhile.
    int64_t coldStartDurationMs = 0;
    double coldRequestsPerSecond = 0;

    friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

// What callers may send and how long they may take.
struct CallerLimits {
    int64_t maxHeaderBytes = 16'384;
    int64_t maxBodyBytes = 1'048'576;
    int64_t headerTimeoutMs = 3000;
    int64_t idleTimeoutMs = 15000;

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// One accepted version of the configuration. Immutable; shared by all requests that it serves.
class RoutingTable {
public:
    using RoutesByHost = std::map<std::string, std::vector<RouteRule>, std::less<>>;
    using ServicesByName = std::map<std::string, ServiceSettings, std::less<>>;

    RoutingTable(uint64_t version, CallerLimits limits, RoutesByHost hosts, ServicesByName services);

    // The rule with the longest prefix of `path` among those of `host`; null when there is none. A port in `host` and
    // a query in `path` do not count.
    const RouteRule* findRoute(std::string_view host, std::string_view path) const noexcept;

    // Null when the service is not known.
    const ServiceSettings* findService(std::string_view name) const noexcept;

    uint64_t version() const noexcept { return this->versionNumber; }
    const CallerLimits& limits() const noexcept { return this->callerLimits; }
    size_t routeCount() const noexcept;

private:
    uint64_t versionNumber;
    CallerLimits callerLimits;
    RoutesByHost routesByHost;
    ServicesByName servicesByName;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

}
