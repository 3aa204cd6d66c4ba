#include <wagtailrack/edge/UsageLimiter.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Time over which demand and grants are averaged. Short, so that tokens follow demand that moves within a second.
constexpr double rateAverageSeconds = 0.5;
// Tokens are requested in advance for this much of the demand: about a request interval and a round trip to the hub.
constexpr double prefetchSeconds = 0.15;
// After a request waited in vain, no more requests wait than will probably get a token, for this long.
constexpr Milliseconds denialValidity(1000);
// Requests that wait while no request of the workspace has waited in vain.
constexpr size_t maximumWaitingUndenied = 64;
// A workspace without requests for this long has no state. Ten times the time over which its demand is averaged.
constexpr Milliseconds stateValidity(5000);
// A refusal after this long without one begins a new report to the operator.
constexpr Milliseconds refusalReportInterval(10'000);
// Bounds of the time after which a refused request is told to come back. A token for a workspace without grants is
// expected after the lower one at the earliest, and the limit has been given out anew after the upper one.
constexpr double minimumRetrySeconds = 0.1;
constexpr double maximumRetrySeconds = 5;

double seconds(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

uint32_t toCount(double value) { return static_cast<uint32_t>(std::clamp(value, 0.0, 4e9)); }

}

WorkspaceKey workspaceKey(std::string_view workspaceName) noexcept
{
    return static_cast<WorkspaceKey>(hash64(workspaceName));
}

void DecayingRate::add(double count, SteadyTime now) noexcept
{
    this->value = this->perSecond(now) + count / rateAverageSeconds;
    this->updatedAt = now;
}

double DecayingRate::perSecond(SteadyTime now) const noexcept
{
    return this->value * std::exp(-seconds(now - this->updatedAt) / rateAverageSeconds);
}

UsageLimiter::UsageLimiter(const Clock& clock)
    : clock(clock)
{
}

void UsageLimiter::removeOutdated(WorkspaceState& state) const
{
    const SteadyTime now = this->clock.now();
    while (!state.tokens.empty() && state.tokens.front().validUntil <= now)
        state.tokens.pop_front();
    while (!state.waiting.empty() && state.waiting.front() <= now)
        state.waiting.pop_front();
}

size_t UsageLimiter::tokenCount(const WorkspaceState& state) noexcept
{
    size_t count = 0;
    for (const Tokens& tokens : state.tokens)
        count += tokens.count;
    return count;
}

UsageDecision UsageLimiter::takeToken(WorkspaceState& state)
{
    Tokens& oldest = state.tokens.front();
    const SteadyTime validUntil = oldest.validUntil;
    if (--oldest.count == 0)
        state.tokens.pop_front();
    UsageDecision decision;
    decision.isAllowed = true;
    decision.refundableUntil = validUntil;
    return decision;
}

size_t UsageLimiter::maximumWaiting(const WorkspaceState& state) const
{
    const SteadyTime now = this->clock.now();
    if (now - state.deniedAt >= denialValidity)
        return maximumWaitingUndenied;
    const double expected = state.granted.perSecond(now) * seconds(maximumWait);
    // At least one, whose need tells the hub that there is demand.
    return std::clamp<size_t>(static_cast<size_t>(expected), 1, maximumWaitingUndenied);
}

UsageDecision UsageLimiter::refusal(const WorkspaceState& state) const
{
    const SteadyTime now = this->clock.now();
    const double grantedPerSecond = std::max(state.granted.perSecond(now), 1 / maximumRetrySeconds);
    const double wait = std::clamp(
        static_cast<double>(state.waiting.size() + 1) / grantedPerSecond, minimumRetrySeconds, maximumRetrySeconds);
    UsageDecision decision;
    decision.retryAt = now + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(wait));
    decision.isFirstRefusal = now - state.refusedAt > refusalReportInterval;
    return decision;
}

UsageDecision UsageLimiter::refuse(WorkspaceState& state) const
{
    const UsageDecision decision = this->refusal(state);
    state.refusedAt = this->clock.now();
    return decision;
}

UsageDecision UsageLimiter::nextDecision(const WorkspaceState& state) const
{
    UsageDecision decision;
    // Requests that wait are served first.
    if (tokenCount(state) > state.waiting.size()) {
        decision.isAllowed = true;
        decision.refundableUntil = state.tokens.front().validUntil;
        return decision;
    }
    if (state.waiting.size() >= this->maximumWaiting(state))
        return this->refusal(state);
    decision.isPending = true;
    decision.waitsUntil = this->clock.now() + maximumWait;
    return decision;
}

UsageLimiter::Remainder UsageLimiter::remainderOf(const Workspace& workspace) const
{
    Remainder remainder;
    remainder.decision.isAllowed = workspace.requestsPerSecond <= 0;
    if (remainder.decision.isAllowed)
        return remainder;
    const auto known = this->states.find(workspaceKey(workspace.name));
    WorkspaceState state = known == this->states.end() ? WorkspaceState() : known->second;
    this->removeOutdated(state);
    remainder.tokens = tokenCount(state);
    remainder.waiting = state.waiting.size();
    remainder.decision = this->nextDecision(state);
    return remainder;
}

UsageDecision UsageLimiter::admit(const Workspace& workspace)
{
    UsageDecision decision;
    decision.isAllowed = workspace.requestsPerSecond <= 0;
    if (decision.isAllowed)
        return decision;
    const SteadyTime now = this->clock.now();
    WorkspaceState& state = this->states[workspaceKey(workspace.name)];
    this->removeOutdated(state);
    state.demand.add(1, now);
    state.lastRequestAt = now;
    decision = this->nextDecision(state);
    if (decision.isAllowed)
        return takeToken(state);
    if (!decision.isPending)
        return this->refuse(state);
    state.waiting.push_back(decision.waitsUntil);
    // An instance that is its own hub has the token at once.
    this->demandHook();
    return this->continueWaiting(workspace, decision.waitsUntil);
}

UsageDecision UsageLimiter::continueWaiting(const Workspace& workspace, SteadyTime waitsUntil)
{
    const SteadyTime now = this->clock.now();
    WorkspaceState& state = this->states[workspaceKey(workspace.name)];
    this->removeOutdated(state);
    const auto entry = std::find(state.waiting.begin(), state.waiting.end(), waitsUntil);
    // The requests that wait longest get the tokens.
    const auto position = static_cast<size_t>(entry - state.waiting.begin());
    if (entry != state.waiting.end() && position < tokenCount(state)) {
        state.waiting.erase(entry);
        return takeToken(state);
    }
    if (now < waitsUntil) {
        UsageDecision decision;
        decision.isPending = true;
        decision.waitsUntil = waitsUntil;
        return decision;
    }
    state.deniedAt = now;
    return this->refuse(state);
}

void UsageLimiter::refund(std::string_view workspaceName, SteadyTime refundableUntil)
{
    if (this->clock.now() < refundableUntil)
        this->addTokens(workspaceKey(workspaceName), 1, refundableUntil);
}

std::vector<UsageNeed> UsageLimiter::collectNeeds()
{
    const SteadyTime now = this->clock.now();
    std::vector<UsageNeed> needs;
    for (auto& [workspace, state] : this->states) {
        this->removeOutdated(state);
        const auto tokens = static_cast<double>(tokenCount(state));
        const auto waiting = static_cast<double>(state.waiting.size());
        const double demand = state.demand.perSecond(now);
        const double needed = std::max(0.0, waiting - tokens);
        // Whole tokens only: for less than one request within the time, a token would usually expire unused.
        const double wanted = std::floor(demand * prefetchSeconds);
        const double prefetch = std::max(0.0, waiting + wanted - tokens - needed);
        if (needed + prefetch > 0)
            needs.push_back({ workspace, toCount(needed), toCount(prefetch), toCount(demand * 100) });
    }
    return needs;
}

void UsageLimiter::addTokens(WorkspaceKey workspace, size_t count, SteadyTime validUntil)
{
    const SteadyTime now = this->clock.now();
    if (count == 0 || validUntil <= now)
        return;
    WorkspaceState& state = this->states[workspace];
    state.granted.add(static_cast<double>(count), now);
    const auto position = std::upper_bound(state.tokens.begin(), state.tokens.end(), validUntil,
        [](SteadyTime time, const Tokens& tokens) { return time < tokens.validUntil; });
    state.tokens.insert(position, { count, validUntil });
}

void UsageLimiter::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->states, [now](const auto& entry) { return now - entry.second.lastRequestAt > stateValidity; });
}

}
