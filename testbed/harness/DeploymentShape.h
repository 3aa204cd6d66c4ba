#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// One service with its route and its pool.
struct ServiceShape {
    std::string name;
    std::string pathPrefix;
    std::string method;
    // Value of `class` in the routes table.
    std::string requestClass;
    int64_t deadlineMs = 1000;
    int64_t servers = 0;
    int64_t slots = 3;
    // Mean service time of the simulated servers.
    int64_t serviceMs = 10;

    bool isOrder() const noexcept { return this->requestClass == "order"; }
};

struct InstanceDescription {
    std::string name;
    std::string failureDomain;
};

// Figures of a deployment; docs/design.md section 1.5 gives those of the presets. Each region has two failure
// domains.
struct DeploymentShape {
    std::string name;
    // The store is in the first region.
    std::vector<std::string> regions;
    int64_t domainLatencyMs = 0;
    int64_t regionLatencyMs = 0;
    int64_t clientLatencyMs = 0;
    int64_t megabitsPerSecond = 4000;
    int64_t instances = 0;
    std::vector<ServiceShape> services;

    std::vector<std::string> failureDomains() const;
    std::vector<InstanceDescription> instanceDescriptions() const;
    // One-way latency between two failure domains.
    int64_t latencyMs(const std::string& from, const std::string& to) const;

    // The two tables. Servers get addresses from 127.0.0.1:20000 on; Deployment replaces them by free ones.
    std::string routesText() const;
    std::string poolsText() const;
};

// Clients of the n-th failure domain have addresses in 127.<10 + n>.0.0/16.
std::string clientAddress(size_t domainIndex, size_t client);

DeploymentShape verbandShape();
DeploymentShape authorityShape();
// The same shape with two regions, five instances and four servers for each service, for tests.
DeploymentShape smallShape();

}
