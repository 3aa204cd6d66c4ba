#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/UsageMessages.h>
#include <wagtailrack/edge/WorkspaceDirectory.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Token bucket whose tokens may be used until `UsageHub::tokenLifetime` after they left it.
struct UsageBucketSize {
    double tokensPerSecond = 0;
    double depth = 0;

    friend bool operator==(const UsageBucketSize&, const UsageBucketSize&) = default;
};

// The bucket of all instances together: in any window, requests that use its tokens are within the bound
// (rate x window + burst) x (1 + overage) + slack.
UsageBucketSize usageBucketSize(const Workspace& workspace, const FleetBounds& bounds);

// The failure domains that share a workspace's bucket in equal parts: as many as can have a depth of some requests
// each, because a domain with less would never have a whole token. Depends only on the arguments.
std::vector<size_t> usageDomains(std::string_view workspaceName, const UsageBucketSize& size, size_t domainCount);

// Holds a failure domain's share of the workspaces' usage limits as token buckets, grants tokens to the domain's
// instances, and lends tokens to hubs of other domains that lack them. The settings, not the instances seen, say which
// domains there are and so which part of a limit each one has (see usageDomains()). Of that part, a hub has the part of
// the domain's instances that report to it, so that two hubs of one domain divide the share among themselves.
//
// The total over all instances is within the limit in any window, whatever messages are lost or late: a token leaves a
// bucket once, is used once, and expires `loanValidity` + `grantValidity` later at the latest, by the clock of the
// process that asked for it. Lives as long as the process; must be used from one thread only; does no input or output.
class UsageHub {
public:
    // Validity of tokens for an instance and of tokens borrowed by a hub, from the time of the request for them. A hub
    // of another region answers within about 120 ms, one of the own domain within some ms. Short, because the limit is
    // lowered by what may be used in this time.
    static constexpr Milliseconds grantValidity { 300 };
    static constexpr Milliseconds loanValidity { 350 };
    static constexpr Milliseconds tokenLifetime = grantValidity + loanValidity;

    explicit UsageHub(const Clock& clock);

    // Sets the buckets of the whole domain, which may be of size 0. Those of workspaces that are new begin empty.
    void setBuckets(const std::map<WorkspaceKey, UsageBucketSize>& sizes);
    // Adds the tokens due since the last call; `fraction` is the part of the domain's instances that report to this
    // hub.
    void refill(double fraction);
    // Forgets borrowed tokens and what instances need, after a pause of the process.
    void forgetInstances();

    std::vector<UsageAmount> grantToInstance(uint32_t sender, const std::vector<UsageNeed>& needs);
    std::vector<UsageAmount> lend(const std::vector<UsageNeed>& needs);
    // Tokens that the instances of the domain need and this hub lacks, less those asked for recently.
    std::vector<UsageNeed> collectLoanNeeds();
    // An answer to a request for `requested` tokens.
    void addLoan(WorkspaceKey workspace, uint32_t requested, uint32_t lent, SteadyTime validUntil);

private:
    struct InstanceNeed {
        double requestsPerSecond = 0;
        int64_t unmet = 0;
        SteadyTime receivedAt;
    };

    struct TimedAmount {
        int64_t amount = 0;
        SteadyTime validUntil;
    };

    struct WorkspaceState {
        UsageBucketSize size;
        // Tokens in the bucket.
        double tokens = 0;
        // Borrowed tokens, ordered by the end of their validity.
        std::deque<TimedAmount> loans;
        // Loans that were asked for and may still be granted.
        std::deque<TimedAmount> expectedLoans;
        std::map<uint32_t, InstanceNeed> needs;
    };

    void removeOutdated(WorkspaceState& state) const;
    static int64_t total(const std::deque<TimedAmount>& amounts) noexcept;
    static int64_t unmetNeed(const WorkspaceState& state) noexcept;
    static double demand(const WorkspaceState& state) noexcept;
    static void take(WorkspaceState& state, int64_t amount);

    const Clock& clock;
    double currentFraction = 0;
    SteadyTime refilledAt;
    std::map<WorkspaceKey, WorkspaceState> states;
};

}
