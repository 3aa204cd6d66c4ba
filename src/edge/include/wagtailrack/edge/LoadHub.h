#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/edge/ServerCapacity.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <cstdint>
#include <map>
#include <vector>

namespace wagtailrack::edge {

// Aggregates the load reports of a failure domain's instances and the load summaries of other domains. Lives as long as
// the process; must be used from one thread only.
class LoadHub {
public:
    explicit LoadHub(const Clock& clock);

    void acceptReport(uint32_t sender, const InstanceLoadReport& report);
    // `isFromOwnRegion`: whether the sender's failure domain belongs to this hub's region.
    void acceptDomainSummary(uint32_t sender, const DomainLoadSummary& summary, bool isFromOwnRegion);

    // Summaries for the hubs of other failure domains. `isForOwnRegion`: for hubs of this region, to which cached
    // objects are repeated more often, instead of hubs of other regions.
    std::vector<DomainLoadSummary> domainSummaries(bool isForOwnRegion);
    // Tables for the instances of this failure domain.
    std::vector<ServerStatusTable> statusTables();

    // Requests that the instances of this region have in flight, by server.
    std::map<ServerKey, uint32_t> ownRegionInFlight() const;

    // Estimates of how much each server handles well, from the samples of all failure domains.
    ServerCapacityTracker& capacities() noexcept { return this->serverCapacities; }

    // Removes senders that stopped sending, cached objects that were not used and server health without new attempts.
    void removeExpired();

private:
    using InFlightCounts = std::map<ServerKey, uint32_t>;

    struct SenderState {
        InFlightCounts inFlight;
        SteadyTime receivedAt;
        bool isFromOwnRegion = true;
    };

    // Health of a server, derived from the attempts of this domain's instances.
    struct ServerHealth {
        double failureRate = 0;
        double latencyRatio = 0;
        int consecutiveUnreachableAttempts = 0;
        SteadyTime sampledAt;
    };

    // When and how often a cached object was sent to one group of receivers.
    struct PublishState {
        SteadyTime lastPublishedAt;
        int publishCount = 0;
    };

    struct CachedObjectState {
        SteadyTime lastUsedAt;
        PublishState publishedToInstances;
        PublishState publishedToOwnRegionHubs;
        PublishState publishedToOtherRegionHubs;
        // Whether an instance of this domain used the object, not only instances of other domains.
        bool isUsedInDomain = false;
    };

    void recordActivity(const ServerActivity& activity);
    void recordCachedObject(const CachedObject& object, bool isUsedInDomain);
    std::vector<CachedObject> collectDueCachedObjects(
        PublishState CachedObjectState::*receivers, Milliseconds repeatInterval, bool isOwnDomainOnly);
    InFlightCounts sumReportedInFlight() const;
    void recordSends(uint32_t inRegion, uint32_t crossRegion, uint32_t refused);

    const Clock& clock;
    std::map<uint32_t, SenderState> receivedReports;
    std::map<uint32_t, SenderState> receivedSummaries;
    std::map<ServerKey, ServerHealth> serverHealth;
    ServerCapacityTracker serverCapacities;
    std::vector<ServerCapacitySummary> capacitiesOfRound;
    std::map<CachedObject, CachedObjectState> cachedObjects;
    // Requests sent by all instances of the region, and those sent by this domain since the last summaries for hubs of
    // the region.
    DecayingRequestCounts recentSends;
    DecayingRequestCounts baselineSends;
    uint32_t unpublishedInRegionRequests = 0;
    uint32_t unpublishedCrossRegionRequests = 0;
    uint32_t unpublishedRefusedRequests = 0;
    // Requests of the region that were sent and that were refused.
    DecayingRequestCounts refusals;
};

}
