#pragma once

#include <wagtailrack/base/Endpoint.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>

namespace wagtailrack::edge {

// Limits that the fleet of instances observes as a whole.
struct FleetBounds {
    // Retry budget: in any time window, the requests of a service that are sent to a second server are at most
    // `retryRatio` times all requests of the service, plus `retrySlack`.
    double retryRatio = 0.1;
    double retrySlack = 10;
    // Time from SIGTERM to the forced end of the process.
    int64_t gracePeriodMs = 6000;
    // Once the store is available again after an outage, the records of running servers are back within this time.
    int64_t registryRecoveryMs = 2200;
    // Longest validity of a lookup response that callers accept.
    int64_t maximumLookupValidityMs = 5000;
    // Size of a burst beyond its request rate that a cold server can handle, summed over all instances.
    double coldSlack = 5;
    // Whether requests with an API key are refused while the copy of the configuration is older than `keyWithdrawalMs`,
    // the time in which a withdrawn key has to stop working.
    bool isKeyConfirmationRequired = false;
    int64_t keyWithdrawalMs = 5000;
    // Usage limits: in any window of this length, the requests of a workspace that servers run are at most (rate x
    // window
    // + burst) x (1 + `usageOverage`) + `usageSlack`.
    int64_t usageWindowMs = 5000;
    double usageOverage = 0.1;
    double usageSlack = 20;

    // Whether keys of a configuration of this age are still good; otherwise one may have been withdrawn since.
    bool isKeyConfirmed(int64_t configurationAgeMs) const noexcept
    {
        return !this->isKeyConfirmationRequired || configurationAgeMs <= this->keyWithdrawalMs;
    }

    friend bool operator==(const FleetBounds&, const FleetBounds&) = default;
};

// Settings of an instance at the edge. A plain value; read at startup and again when the file changes.
struct EdgeSettings {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::string region;
    // Listening addresses for callers' requests, for callers' lookups of instances, and for the platform's readiness
    // checks.
    Endpoint callerAddress;
    Endpoint lookupAddress;
    Endpoint readyAddress;
    // Listening addresses for membership datagrams, and for state and metrics over HTTP. The ports are the same on
    // every instance.
    Endpoint membershipAddress;
    Endpoint stateAddress;
    Endpoint storeAddress;
    std::map<std::string, std::string> regionOfDomain;
    // Whether the whole system starts for the first time, so that all instances start at once.
    bool isFirstStart = false;
    // Bandwidth of this instance's network link.
    double linkMegabitsPerSecond = 0;
    // Memory of this instance. Limits of message sizes are derived from it.
    size_t memoryBytes = 260'000'000;
    FleetBounds bounds;

    // Region of the failure domain at `index` in the sorted domain names, or an empty string if the index is out of
    // range. Messages between instances identify a failure domain by this index.
    std::string regionOfDomainIndex(size_t index) const
    {
        if (index >= this->regionOfDomain.size())
            return {};
        return std::next(this->regionOfDomain.begin(), static_cast<std::ptrdiff_t>(index))->second;
    }

    friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

}
