#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <cstdint>
#include <map>
#include <vector>

namespace wagtailrack::edge {

// Adds up the reports of a failure domain's instances and the digests of other domains. Lives for the process; used by
// one thread.
class LoadHub {
public:
    explicit LoadHub(const Clock& clock);

    void acceptReport(uint32_t sender, const InstanceLoadReport& report);
    // `isNearby`: from a failure domain of this region.
    void acceptDomainSummary(uint32_t sender, const DomainLoadSummary& digest, bool isNearby);

    // For the hubs of other failure domains. `isNearby`: of this region, which are told of copies more often.
    std::vector<DomainLoadSummary> domainSummaries(bool isNearby);
    // For the instances of this failure domain.
    std::vector<ServerStatusTable> statusTables();

    // Forgets senders that went silent and copies that nobody used.
    void removeExpired();

private:
    using InFlightCounts = std::map<ServerKey, uint32_t>;

    struct SenderState {
        InFlightCounts inFlight;
        SteadyTime heardAt;
    };

    // What the attempts of this domain's instances tell of a server.
    struct ServerHealth {
        double failureRate = 0;
        double latencyRatio = 0;
        int consecutiveUnreachableAttempts = 0;
        SteadyTime sampledAt;
    };

    // What an audience was told of a copy.
    struct PublishState {
        SteadyTime lastPublishedAt;
        int publishCount = 0;
    };

    struct CachedObjectState {
        SteadyTime usedAt;
        PublishState publishedToInstances;
        PublishState publishedToRegionHubs;
        PublishState publishedToRemoteHubs;
        // Whether an instance of this domain used it, not only others.
        bool isUsedInDomain = false;
    };

    void recordActivity(const ServerActivity& activity);
    void recordCachedObject(const CachedObject& copy, bool isOwn);
    std::vector<CachedObject> collectDueCachedObjects(
        PublishState CachedObjectState::*audience, Milliseconds interval, bool onlyOwn);
    InFlightCounts sumReportedInFlight() const;
    void recordSends(uint32_t here, uint32_t elsewhere);

    const Clock& clock;
    std::map<uint32_t, SenderState> receivedReports;
    std::map<uint32_t, SenderState> receivedSummaries;
    std::map<ServerKey, ServerHealth> serverHealth;
    std::map<CachedObject, CachedObjectState> cachedObjects;
    // Sends of the region's instances, and those of this domain since the last digests.
    DecayingRequestCounts recentSends;
    DecayingRequestCounts baselineSends;
    uint32_t unpublishedInRegionRequests = 0;
    uint32_t unpublishedCrossRegionRequests = 0;
};

}
