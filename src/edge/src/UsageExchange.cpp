#include <wagtailrack/edge/UsageExchange.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

namespace {

// Interval of requests for tokens, and of requests without needs, which keep the instance's share with its hub.
constexpr Milliseconds requestInterval(30);
constexpr Milliseconds reportInterval(250);
constexpr Milliseconds topologyUpdateInterval(250);
// A hub that leaves a request unanswered for the first time span is not chosen for the second.
constexpr Milliseconds hubTimeout(700);
constexpr Milliseconds hubExclusionTime(4000);
// A request that is unanswered for this long, about ten round trips within a region, also goes to another domain's hub.
constexpr Milliseconds fallbackDelay(100);
// A hub counts an instance for this long after a report: two lost ones are tolerated.
constexpr Milliseconds reportValidity(750);
// After this, the former hub no longer counts an instance, even if its last report took a second to arrive.
constexpr Milliseconds shareMoveTime = reportValidity + Milliseconds(1000);
// Time after the start in which the share of the process that this one replaces may be counted by another hub. Shorter
// than after a change of the hub: a report that is still on its way is delayed by the network alone, since its sender
// has ended.
constexpr Milliseconds replacedShareTime = reportValidity;
// Instances of the domain keep their part for this long after they were last known to be alive: they may run on, cut
// off from this one.
constexpr Milliseconds instanceValidity(60'000);
// A longer time between two calls is a pause of the process.
constexpr Milliseconds pauseThreshold(500);
// Hubs that are asked for a loan of one workspace at a time, and the smallest amount for which a further one is asked.
constexpr size_t maximumLenders = 8;
constexpr uint32_t tokensPerLender = 2;
// A hub that lent less than it was asked for is asked again after this time.
constexpr Milliseconds denialValidity(150);
// Keeps a datagram below 1,400 bytes: a need takes at most 20.
constexpr size_t maximumNeedsPerDatagram = 64;

}

UsageExchange::UsageExchange(
    const Clock& clock, UsageLimiter& limiter, const UsageTopology& topology, const FleetBounds& bounds)
    : clock(clock)
    , limiter(limiter)
    , topology(topology)
    , bounds(bounds)
    , hub(clock)
    , lastCollectedAt(clock.now())
    , hubAnsweredAt(clock.now())
    , shareMovesAt(clock.now() + replacedShareTime)
{
}

void UsageExchange::setWorkspaces(const std::deque<Workspace>& workspaces)
{
    this->limits.clear();
    std::map<WorkspaceKey, UsageBucketSize> sizes;
    const size_t ownDomain = this->topology.ownDomainIndex();
    for (const Workspace& workspace : workspaces) {
        if (workspace.requestsPerSecond <= 0)
            continue;
        const UsageBucketSize size = usageBucketSize(workspace, this->bounds);
        const std::vector<size_t> domains
            = usageDomains(workspace.name, size, std::max<size_t>(this->topology.domainCount(), 1));
        const auto parts = static_cast<double>(domains.size());
        WorkspaceLimit& limit = this->limits[workspaceKey(workspace.name)];
        for (const size_t domain : domains) {
            if (domain == ownDomain)
                limit.size = { size.tokensPerSecond / parts, size.depth / parts };
            else
                limit.lenders.push_back({ domain, {} });
        }
        sizes[workspaceKey(workspace.name)] = limit.size;
    }
    this->hub.setBuckets(sizes);
}

void UsageExchange::updateTopology()
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextTopologyUpdateAt)
        return;
    this->nextTopologyUpdateAt = now + topologyUpdateInterval;
    const size_t ownDomain = this->topology.ownDomainIndex();
    this->hubCandidates = this->topology.hubCandidates(ownDomain);
    for (const uint32_t address : this->hubCandidates)
        this->domainInstances[address] = now;
    this->domainInstances[this->topology.ownAddress()] = now;
    this->otherHubs.clear();
    for (size_t domain = 0; domain < this->topology.domainCount(); ++domain) {
        if (domain == ownDomain)
            continue;
        const std::vector<uint32_t> candidates = this->topology.hubCandidates(domain);
        if (!candidates.empty())
            this->otherHubs[domain] = candidates.front();
    }
}

void UsageExchange::removeOutdated()
{
    const SteadyTime now = this->clock.now();
    if (now - this->lastCollectedAt > pauseThreshold) {
        this->hub.forgetInstances();
        this->reportingInstances.clear();
        this->hubAnsweredAt = now;
    }
    this->lastCollectedAt = now;
    std::erase_if(this->domainInstances, [now](const auto& entry) { return now - entry.second > instanceValidity; });
    std::erase_if(this->reportingInstances, [now](const auto& entry) { return now - entry.second > reportValidity; });
    std::erase_if(this->unresponsiveHubs, [now](const auto& entry) { return entry.second <= now; });
    std::erase_if(this->sentRequests,
        [now](const SentRequest& request) { return now - request.sentAt > UsageHub::tokenLifetime; });
    this->limiter.removeExpired();
}

double UsageExchange::reportingFraction() const
{
    if (!this->topology.isSettled() || this->domainInstances.empty())
        return 0;
    return static_cast<double>(this->reportingInstances.size()) / static_cast<double>(this->domainInstances.size());
}

void UsageExchange::chooseHub()
{
    const SteadyTime now = this->clock.now();
    const uint32_t ownAddress = this->topology.ownAddress();
    if (this->currentHub != 0 && this->currentHub != ownAddress && now - this->hubAnsweredAt > hubTimeout)
        this->unresponsiveHubs[this->currentHub] = now + hubExclusionTime;
    uint32_t chosen = ownAddress;
    for (const uint32_t address : this->hubCandidates) {
        if (this->unresponsiveHubs.contains(address))
            continue;
        chosen = address;
        break;
    }
    if (chosen == this->currentHub)
        return;
    if (this->currentHub != 0)
        this->shareMovesAt = now + shareMoveTime;
    this->currentHub = chosen;
    this->hubAnsweredAt = now;
    this->nextReportAt = now;
}

uint64_t UsageExchange::rememberRequest(std::optional<size_t> lenderDomain, std::vector<UsageNeed> needs)
{
    const uint64_t id = randomNumber();
    this->sentRequests.push_back({ id, lenderDomain, std::move(needs), this->clock.now() });
    return id;
}

void UsageExchange::send(uint32_t target, std::string bytes)
{
    this->sentByteCount += bytes.size();
    this->outbox.push_back({ target, std::move(bytes) });
}

void UsageExchange::requestTokens()
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextRequestAt)
        return;
    std::vector<UsageNeed> needs = this->limiter.collectNeeds();
    if (needs.empty() && now < this->nextReportAt)
        return;
    this->nextRequestAt = now + requestInterval;
    this->nextReportAt = now + reportInterval;
    while (true) {
        UsageRequest request { this->rememberRequest(std::nullopt, {}), false, now >= this->shareMovesAt, {} };
        const size_t count = std::min(needs.size(), maximumNeedsPerDatagram);
        request.needs.assign(needs.end() - static_cast<std::ptrdiff_t>(count), needs.end());
        needs.resize(needs.size() - count);
        if (this->currentHub == this->topology.ownAddress()) {
            this->acceptRequest(this->currentHub, request);
        } else {
            this->send(this->currentHub, encodeLoadMessage(request));
            const bool isUnanswered = now - this->hubAnsweredAt > reportInterval + fallbackDelay;
            if (isUnanswered && !this->otherHubs.empty() && !request.needs.empty()) {
                request.id = this->rememberRequest(std::nullopt, {});
                request.isShareIncluded = false;
                const auto other = std::next(
                    this->otherHubs.begin(), static_cast<std::ptrdiff_t>(randomBelow(this->otherHubs.size())));
                this->send(other->second, encodeLoadMessage(request));
            }
        }
        if (needs.empty())
            return;
    }
}

void UsageExchange::chooseLenders(const UsageNeed& need, std::map<size_t, std::vector<UsageNeed>>& needsByDomain)
{
    const SteadyTime now = this->clock.now();
    // Those that probably have tokens, then those of the own region, each in random order.
    std::vector<std::pair<std::pair<int, uint64_t>, size_t>> ranked;
    for (const Lender& lender : this->limits[need.workspace].lenders) {
        if (!this->otherHubs.contains(lender.domain))
            continue;
        const bool isDenied = now < lender.deniedUntil;
        const bool isFar = !this->topology.isInOwnRegion(lender.domain);
        ranked.push_back({ { (isDenied ? 2 : 0) + (isFar ? 1 : 0), randomNumber() }, lender.domain });
    }
    if (ranked.empty())
        return;
    std::sort(ranked.begin(), ranked.end());
    const size_t count
        = std::clamp<size_t>(need.neededTokens / tokensPerLender, 1, std::min<size_t>(ranked.size(), maximumLenders));
    const auto tokens = static_cast<uint32_t>((need.neededTokens + count - 1) / count);
    for (size_t index = 0; index < count; ++index)
        needsByDomain[ranked[index].second].push_back({ need.workspace, tokens, 0, 0 });
}

void UsageExchange::requestLoans()
{
    const SteadyTime now = this->clock.now();
    if (now < this->nextLoanRequestAt || this->otherHubs.empty())
        return;
    std::map<size_t, std::vector<UsageNeed>> needsByDomain;
    for (const UsageNeed& need : this->hub.collectLoanNeeds())
        this->chooseLenders(need, needsByDomain);
    if (needsByDomain.empty())
        return;
    this->nextLoanRequestAt = now + requestInterval;
    for (auto& [domain, needs] : needsByDomain) {
        // What does not fit is asked for in the next round.
        if (needs.size() > maximumNeedsPerDatagram)
            needs.resize(maximumNeedsPerDatagram);
        const UsageRequest request { this->rememberRequest(domain, needs), true, false, needs };
        this->send(this->otherHubs[domain], encodeLoadMessage(request));
    }
}

void UsageExchange::recordLoanAnswer(const SentRequest& request, const UsageGrant& grant)
{
    for (const UsageNeed& need : request.needs) {
        uint32_t lent = 0;
        for (const UsageAmount& amount : grant.amounts)
            lent += amount.workspace == need.workspace ? amount.tokens : 0;
        this->hub.addLoan(need.workspace, need.neededTokens, lent, request.sentAt + UsageHub::loanValidity);
        const auto limit = this->limits.find(need.workspace);
        if (lent >= need.neededTokens || limit == this->limits.end())
            continue;
        for (Lender& lender : limit->second.lenders) {
            if (lender.domain == request.lenderDomain)
                lender.deniedUntil = this->clock.now() + denialValidity;
        }
    }
}

std::vector<UsageExchange::Datagram> UsageExchange::collectDueDatagrams()
{
    this->removeOutdated();
    if (this->hasLimits()) {
        this->updateTopology();
        this->chooseHub();
        this->hub.refill(this->reportingFraction());
        this->requestTokens();
        this->requestLoans();
    }
    return std::exchange(this->outbox, {});
}

void UsageExchange::acceptRequest(uint32_t sender, const UsageRequest& request)
{
    if (!request.isFromHub && request.isShareIncluded) {
        this->reportingInstances[sender] = this->clock.now();
        this->domainInstances[sender] = this->clock.now();
    }
    UsageGrant grant;
    grant.requestId = request.id;
    grant.amounts
        = request.isFromHub ? this->hub.lend(request.needs) : this->hub.grantToInstance(sender, request.needs);
    if (sender == this->topology.ownAddress())
        this->acceptGrant(sender, grant);
    else
        this->send(sender, encodeLoadMessage(grant));
}

void UsageExchange::acceptGrant(uint32_t sender, const UsageGrant& grant)
{
    if (sender == this->currentHub)
        this->hubAnsweredAt = this->clock.now();
    const auto found = std::find_if(this->sentRequests.begin(), this->sentRequests.end(),
        [&grant](const SentRequest& request) { return request.id == grant.requestId; });
    if (found == this->sentRequests.end())
        return;
    const SentRequest request = std::move(*found);
    this->sentRequests.erase(found);
    if (request.lenderDomain) {
        this->recordLoanAnswer(request, grant);
        return;
    }
    for (const UsageAmount& amount : grant.amounts)
        this->limiter.addTokens(amount.workspace, amount.tokens, request.sentAt + UsageHub::grantValidity);
}

bool UsageExchange::receive(uint32_t sender, std::string_view bytes)
{
    if (const auto request = decodeLoadMessage<UsageRequest>(bytes)) {
        this->acceptRequest(sender, *request);
        return true;
    }
    if (const auto grant = decodeLoadMessage<UsageGrant>(bytes)) {
        this->acceptGrant(sender, *grant);
        return true;
    }
    return false;
}

}
