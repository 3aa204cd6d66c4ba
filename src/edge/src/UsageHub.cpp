#include <wagtailrack/edge/UsageHub.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailrack::edge {

namespace {

// Rate of the buckets relative to a workspace's limit: what exceeds 1 covers tokens that expire unused, of which there
// are few, because most are granted to requests that wait. The rest of the bound is the buckets' depth.
constexpr double rateMargin = 1.05;
// Part of the bound's slack that increases the rate: for small workspaces a few tokens that expire are much of the
// limit.
constexpr double slackForRate = 0.5;
// Smallest depth, as a time at the limit. Below it, requests of one interval between messages would empty a bucket.
constexpr double minimumDepthSeconds = 0.3;
// Tokens of the bound that are not given out, for rounding.
constexpr double roundingReserve = 1;
// A longer time between two refills is a pause of the process, during which other hubs may have had the share.
constexpr Milliseconds longestRefill(250);
// Instances repeat a need every 50 ms while it lasts.
constexpr Milliseconds needValidity(200);
constexpr Milliseconds demandValidity(1000);
// Fraction of the depth that is kept for requests that wait; only what is above it is granted in advance.
constexpr double prefetchReserve = 0.3;
// Time for which a hub borrows in advance, and for which it keeps tokens back for its own domain: about a round trip to
// another region and a request interval.
constexpr double loanSeconds = 0.2;
// Time after which a loan is no longer expected.
constexpr Milliseconds loanResponseTime(150);
// Depth of the bucket of a domain that has a part of a limit. Fewer than three requests at a time in a domain would
// often have to borrow.
constexpr double minimumDomainDepth = 5;
constexpr double demandUnitsPerRequest = 100;

double seconds(Milliseconds duration) { return std::chrono::duration<double>(duration).count(); }

}

UsageBucketSize usageBucketSize(const Workspace& workspace, const FleetBounds& bounds)
{
    const double window = static_cast<double>(bounds.usageWindowMs) / 1000;
    const double limit = workspace.requestsPerSecond;
    const double total
        = (limit * window + workspace.burst) * (1 + bounds.usageOverage) + bounds.usageSlack - roundingReserve;
    if (limit <= 0 || total <= 0)
        return {};
    // What is used in a window left the bucket in the window or in a token's lifetime before it.
    const double span = window + seconds(UsageHub::tokenLifetime);
    const double rate = std::min(rateMargin * limit + slackForRate * bounds.usageSlack / span, total / span);
    const double depth = std::max(total - rate * span, std::min(limit * minimumDepthSeconds, total));
    return { (total - depth) / span, depth };
}

std::vector<size_t> usageDomains(std::string_view workspaceName, const UsageBucketSize& size, size_t domainCount)
{
    std::vector<std::pair<uint64_t, size_t>> ranked;
    for (size_t domain = 0; domain < domainCount; ++domain)
        ranked.emplace_back(hash64(workspaceName, domain), domain);
    std::sort(ranked.begin(), ranked.end());
    const size_t count = std::clamp<size_t>(static_cast<size_t>(size.depth / minimumDomainDepth), 1, domainCount);
    std::vector<size_t> domains;
    for (size_t index = 0; index < count; ++index)
        domains.push_back(ranked[index].second);
    return domains;
}

UsageHub::UsageHub(const Clock& clock)
    : clock(clock)
    , refilledAt(clock.now())
{
}

void UsageHub::removeOutdated(WorkspaceState& state) const
{
    const SteadyTime now = this->clock.now();
    std::erase_if(state.loans, [now](const TimedAmount& loan) { return loan.validUntil <= now; });
    std::erase_if(state.expectedLoans, [now](const TimedAmount& loan) { return loan.validUntil <= now; });
    std::erase_if(state.needs, [now](const auto& need) { return now - need.second.receivedAt > demandValidity; });
    for (auto& [sender, need] : state.needs) {
        if (now - need.receivedAt > needValidity)
            need.unmet = 0;
    }
}

int64_t UsageHub::total(const std::deque<TimedAmount>& amounts) noexcept
{
    int64_t sum = 0;
    for (const TimedAmount& amount : amounts)
        sum += amount.amount;
    return sum;
}

int64_t UsageHub::unmetNeed(const WorkspaceState& state) noexcept
{
    int64_t sum = 0;
    for (const auto& [sender, need] : state.needs)
        sum += need.unmet;
    return sum;
}

double UsageHub::demand(const WorkspaceState& state) noexcept
{
    double sum = 0;
    for (const auto& [sender, need] : state.needs)
        sum += need.requestsPerSecond;
    return sum;
}

void UsageHub::take(WorkspaceState& state, int64_t amount)
{
    // Loans expire, tokens in the bucket do not.
    while (amount > 0 && !state.loans.empty()) {
        TimedAmount& oldest = state.loans.front();
        const int64_t taken = std::min(amount, oldest.amount);
        oldest.amount -= taken;
        amount -= taken;
        if (oldest.amount == 0)
            state.loans.pop_front();
    }
    state.tokens -= static_cast<double>(amount);
}

void UsageHub::setBuckets(const std::map<WorkspaceKey, UsageBucketSize>& sizes)
{
    std::erase_if(this->states, [&sizes](const auto& entry) { return !sizes.contains(entry.first); });
    for (const auto& [workspace, size] : sizes) {
        WorkspaceState& state = this->states[workspace];
        state.size = size;
        state.tokens = std::min(state.tokens, size.depth * this->currentFraction);
    }
}

void UsageHub::refill(double fraction)
{
    const SteadyTime now = this->clock.now();
    const double elapsed
        = now - this->refilledAt > longestRefill ? 0 : std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    // For the time that has passed, a part that was not held throughout does not count.
    const double refillFraction = std::min(fraction, this->currentFraction);
    this->currentFraction = fraction;
    for (auto& [workspace, state] : this->states) {
        state.tokens = std::min(
            state.tokens + state.size.tokensPerSecond * refillFraction * elapsed, state.size.depth * fraction);
    }
}

void UsageHub::forgetInstances()
{
    this->currentFraction = 0;
    for (auto& [workspace, state] : this->states) {
        state.tokens = 0;
        state.loans.clear();
        state.expectedLoans.clear();
        state.needs.clear();
    }
}

std::vector<UsageAmount> UsageHub::grantToInstance(uint32_t sender, const std::vector<UsageNeed>& needs)
{
    std::vector<UsageAmount> grants;
    for (const UsageNeed& need : needs) {
        const auto found = this->states.find(need.workspace);
        if (found == this->states.end())
            continue;
        WorkspaceState& state = found->second;
        this->removeOutdated(state);
        const auto inBucket = static_cast<int64_t>(state.tokens);
        const double reserve = prefetchReserve * state.size.depth * this->currentFraction;
        const int64_t needed = need.neededTokens;
        int64_t granted = std::min(needed, inBucket + total(state.loans));
        const int64_t unmet = needed - granted;
        const auto spare = static_cast<int64_t>(std::max(0.0, state.tokens - reserve - static_cast<double>(granted)));
        granted += std::min<int64_t>(need.prefetchTokens, spare);
        take(state, granted);
        state.needs[sender] = { need.demandHundredths / demandUnitsPerRequest, unmet, this->clock.now() };
        if (granted > 0)
            grants.push_back({ need.workspace, static_cast<uint32_t>(granted) });
    }
    return grants;
}

std::vector<UsageAmount> UsageHub::lend(const std::vector<UsageNeed>& needs)
{
    std::vector<UsageAmount> loans;
    for (const UsageNeed& need : needs) {
        const auto found = this->states.find(need.workspace);
        if (found == this->states.end())
            continue;
        WorkspaceState& state = found->second;
        this->removeOutdated(state);
        const double ownRate = std::min(demand(state), state.size.tokensPerSecond * this->currentFraction);
        const double spare = state.tokens - ownRate * loanSeconds - static_cast<double>(unmetNeed(state));
        const int64_t amount = std::min<int64_t>(need.neededTokens, static_cast<int64_t>(spare));
        if (amount <= 0)
            continue;
        // Never what this hub has borrowed itself: each loan would renew the validity of its tokens.
        state.tokens -= static_cast<double>(amount);
        loans.push_back({ need.workspace, static_cast<uint32_t>(amount) });
    }
    return loans;
}

std::vector<UsageNeed> UsageHub::collectLoanNeeds()
{
    const SteadyTime now = this->clock.now();
    std::vector<UsageNeed> needs;
    for (auto& [workspace, state] : this->states) {
        this->removeOutdated(state);
        const double excess
            = std::max(0.0, demand(state) - state.size.tokensPerSecond * this->currentFraction) * loanSeconds;
        const int64_t available = static_cast<int64_t>(state.tokens) + total(state.loans) + total(state.expectedLoans);
        const int64_t wanted = unmetNeed(state) + static_cast<int64_t>(excess) - available;
        if (wanted <= 0)
            continue;
        needs.push_back({ workspace, static_cast<uint32_t>(wanted), 0, 0 });
        state.expectedLoans.push_back({ wanted, now + loanResponseTime });
    }
    return needs;
}

void UsageHub::addLoan(WorkspaceKey workspace, uint32_t requested, uint32_t lent, SteadyTime validUntil)
{
    const auto found = this->states.find(workspace);
    if (found == this->states.end())
        return;
    WorkspaceState& state = found->second;
    // What was not lent is no longer expected, so that it can be asked for elsewhere.
    int64_t answered = requested;
    for (TimedAmount& expected : state.expectedLoans) {
        const int64_t part = std::min(answered, expected.amount);
        expected.amount -= part;
        answered -= part;
    }
    if (lent == 0 || validUntil <= this->clock.now())
        return;
    const auto position = std::upper_bound(state.loans.begin(), state.loans.end(), validUntil,
        [](SteadyTime time, const TimedAmount& loan) { return time < loan.validUntil; });
    state.loans.insert(position, { lent, validUntil });
}

}
