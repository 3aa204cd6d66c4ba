#pragma once

#include <wagtailrack/edge/RoutingTable.h>
#include <wagtailrack/edge/UsageHub.h>
#include <wagtailrack/edge/UsageLimiter.h>
#include <wagtailrack/edge/UsageTopology.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Brings the tokens of workspaces with a usage limit to the instances that have requests for them. Each instance asks
// one instance of its failure domain, its hub, for the tokens that it needs now; hubs borrow from hubs of other domains
// what they lack. Messages name only workspaces that need tokens.
//
// An instance whose hub does not answer asks the next candidate, and in the end itself, where it has its own part of
// the domain's share. It is counted for the new hub only after the old one has stopped counting it. Lives as long as
// the process; must be used from one thread only; does no input or output.
class UsageExchange {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    UsageExchange(const Clock& clock, UsageLimiter& limiter, const UsageTopology& topology, const FleetBounds& bounds);

    // Sets the workspaces of the configuration in force. Must be called again when it or the bounds change.
    void setWorkspaces(const std::deque<Workspace>& workspaces);
    bool hasLimits() const noexcept { return !this->limits.empty(); }

    // Returns the datagrams that are due. Must be called often, and after each receive(), which may make an answer due.
    std::vector<Datagram> collectDueDatagrams();
    // Processes a datagram; returns false if it is malformed.
    bool receive(uint32_t sender, std::string_view bytes);

    // Bytes of the datagrams so far.
    uint64_t sentBytes() const noexcept { return this->sentByteCount; }

private:
    struct SentRequest {
        uint64_t id = 0;
        // For a loan, the failure domain of the lender and the needs.
        std::optional<size_t> lenderDomain;
        std::vector<UsageNeed> needs;
        SteadyTime sentAt;
    };

    struct Lender {
        size_t domain = 0;
        // Until when the lender has probably nothing to lend.
        SteadyTime deniedUntil;
    };

    struct WorkspaceLimit {
        // Of the own domain.
        UsageBucketSize size;
        std::vector<Lender> lenders;
    };

    void updateTopology();
    void removeOutdated();
    void chooseHub();
    // The part of the domain's instances that report to this one.
    double reportingFraction() const;
    void requestTokens();
    void requestLoans();
    void send(uint32_t target, std::string bytes);
    // Divides what is needed among lenders.
    void chooseLenders(const UsageNeed& need, std::map<size_t, std::vector<UsageNeed>>& needsByDomain);
    uint64_t rememberRequest(std::optional<size_t> lenderDomain, std::vector<UsageNeed> needs);
    void recordLoanAnswer(const SentRequest& request, const UsageGrant& grant);
    void acceptRequest(uint32_t sender, const UsageRequest& request);
    void acceptGrant(uint32_t sender, const UsageGrant& grant);

    const Clock& clock;
    UsageLimiter& limiter;
    const UsageTopology& topology;
    const FleetBounds& bounds;
    UsageHub hub;
    std::map<WorkspaceKey, WorkspaceLimit> limits;
    std::vector<Datagram> outbox;
    std::deque<SentRequest> sentRequests;
    uint64_t sentByteCount = 0;

    SteadyTime lastCollectedAt;
    SteadyTime nextTopologyUpdateAt;
    SteadyTime nextRequestAt;
    SteadyTime nextReportAt;
    SteadyTime nextLoanRequestAt;
    // Own hub candidates in order of preference, and the preferred hubs of the other domains that have one.
    std::vector<uint32_t> hubCandidates;
    std::map<size_t, uint32_t> otherHubs;
    uint32_t currentHub = 0;
    // When the hub last answered or, before its first answer, was chosen; and since when it may count this instance.
    SteadyTime hubAnsweredAt;
    SteadyTime shareMovesAt;
    std::map<uint32_t, SteadyTime> unresponsiveHubs;
    // When an instance of the own domain was last known to be alive, and when it last reported its share to this hub.
    std::map<uint32_t, SteadyTime> domainInstances;
    std::map<uint32_t, SteadyTime> reportingInstances;
};

}
