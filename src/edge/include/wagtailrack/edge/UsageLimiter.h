#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/UsageMessages.h>
#include <wagtailrack/edge/WorkspaceDirectory.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailrack::edge {

WorkspaceKey workspaceKey(std::string_view workspaceName) noexcept;

// Rate of events per second, as an average in which older events count exponentially less.
class DecayingRate {
public:
    void add(double count, SteadyTime now) noexcept;
    double perSecond(SteadyTime now) const noexcept;

private:
    double value = 0;
    SteadyTime updatedAt;
};

struct UsageDecision {
    bool isAllowed = false;
    // No token is left here, but one may arrive until `waitsUntil`: ask again with continueWaiting().
    bool isPending = false;
    SteadyTime waitsUntil;
    // When a token is expected, if the request is refused.
    SteadyTime retryAt;
    // Whether no request of the workspace has been refused for some seconds.
    bool isFirstRefusal = false;
    // Until when refund() may return the token of an allowed request.
    SteadyTime refundableUntil;
};

// Decides whether a request is within its workspace's usage limit. Holds the tokens that UsageExchange has been
// granted, each valid for a short time, and never creates any: the limit is that of the hubs' buckets (see UsageHub),
// whatever happens to messages and instances. Without grants, requests of limited workspaces are refused. Lives as long
// as the process; must be used from one thread only.
class UsageLimiter {
public:
    // Longest time that a request waits for a token. A hub that has none left gets one from another region within a
    // round trip of 110 ms and a request interval or two; if the first hub asked has none either, a second one is
    // asked.
    static constexpr Milliseconds maximumWait { 500 };

    explicit UsageLimiter(const Clock& clock);

    // Takes one token. A request for which the decision is pending has to be asked for again until it is decided.
    UsageDecision admit(const Workspace& workspace);
    UsageDecision continueWaiting(const Workspace& workspace, SteadyTime waitsUntil);
    // Returns the token of a request that did not run; ignored after `refundableUntil`, when the limit may have been
    // given out again.
    void refund(std::string_view workspaceName, SteadyTime refundableUntil);

    // What is left of the usage limit of a workspace at this instance, and what admit() would decide now.
    struct Remainder {
        size_t tokens = 0;
        size_t waiting = 0;
        UsageDecision decision;
    };
    // Changes nothing.
    Remainder remainderOf(const Workspace& workspace) const;

    // Called when a request begins to wait.
    void setDemandHook(std::function<void()> hook) { this->demandHook = std::move(hook); }

    // What this instance can use now, for the workspaces of which it can use anything.
    std::vector<UsageNeed> collectNeeds();
    void addTokens(WorkspaceKey workspace, size_t count, SteadyTime validUntil);
    // Removes the state of workspaces without recent requests.
    void removeExpired();

private:
    struct Tokens {
        size_t count = 0;
        SteadyTime validUntil;
    };

    struct WorkspaceState {
        // Ordered by the end of their validity.
        std::deque<Tokens> tokens;
        // For each request that waits, when it stops waiting. Entries of requests that were abandoned expire.
        std::deque<SteadyTime> waiting;
        DecayingRate demand;
        DecayingRate granted;
        SteadyTime lastRequestAt;
        // Latest time at which a request waited in vain.
        SteadyTime deniedAt;
        SteadyTime refusedAt;
    };

    void removeOutdated(WorkspaceState& state) const;
    static size_t tokenCount(const WorkspaceState& state) noexcept;
    // The decision on a further request, from a state without outdated entries.
    UsageDecision nextDecision(const WorkspaceState& state) const;
    static UsageDecision takeToken(WorkspaceState& state);
    size_t maximumWaiting(const WorkspaceState& state) const;
    UsageDecision refusal(const WorkspaceState& state) const;
    UsageDecision refuse(WorkspaceState& state) const;

    const Clock& clock;
    std::function<void()> demandHook = [] {};
    std::map<WorkspaceKey, WorkspaceState> states;
};

}
