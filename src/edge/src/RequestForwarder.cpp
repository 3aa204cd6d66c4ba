#include <wagtailrack/edge/RequestForwarder.h>

#include <wagtailrack/base/Hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace wagtailrack::edge {

namespace {

// Connecting within the region takes about a millisecond; to another region it takes a round trip between regions.
constexpr Milliseconds sameRegionConnectTimeout(250);
constexpr Milliseconds otherRegionConnectTimeout(800);
// How long an idle connection to a server of another region is kept open after a request. Connecting takes a round
// trip between regions, and with many servers an instance sends to each of them only once in several seconds.
constexpr Milliseconds preconnectDuration(20000);
// Unreachable servers that are tried for one request.
constexpr int maximumUnreachableServers = 3;
// A server that misses the deadline responds at the deadline, so its response is awaited this much longer.
constexpr Milliseconds responseGracePeriod(80);
// Weight of a new sample in the moving average of a round-trip time.
constexpr double roundTripSampleWeight = 0.2;
// The processing time of a route is estimated as these quantiles of its request durations, for cached and for uncached
// objects. The step is the relative change of an estimate per request.
constexpr double cachedTimeQuantile = 0.25;
constexpr double uncachedTimeQuantile = 0.5;
constexpr double processingTimeStep = 0.08;
// Ratio of the retry slack that the known instances divide; the rest covers instances that are not known yet.
constexpr double usedSlackRatio = 0.8;
// Interval at which changes of the membership are read.
constexpr Milliseconds instanceUpdateInterval(250);
// A request with less than this fraction of the time that callers of its route usually wait was rejected or failed
// before. The usual time follows a shorter one by the decay for each request.
constexpr double returningTimeoutRatio = 0.9;
constexpr double fullTimeoutDecay = 0.999;
// How long servers keep objects of the process that this one replaces, unless they are requested again.
constexpr Milliseconds warmCacheDuration(20000);
// Interval at which a request that waits checks whether it may go on.
constexpr Milliseconds waitCheckInterval(10);
// Longest wait for another copy of a request that is suspected of crashing servers.
constexpr Milliseconds maximumSuspectWait(1000);
// Longest part of a host and of a path that a line of the log repeats: both are up to the caller, and the host's is the
// longest name of the DNS.
constexpr size_t maximumLoggedHostBytes = 253;
constexpr size_t maximumLoggedPrefixBytes = 64;

constexpr const char* usageLimitOutcome = "usage-limit";
constexpr const char* noRouteOutcome = "no-route";
constexpr const char* noConfigurationOutcome = "no-configuration";
constexpr const char* configurationOutdatedOutcome = "configuration-outdated";
constexpr const char* keysUnconfirmedOutcome = "keys-unconfirmed";

double millisecondsSince(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// Returns null if no route matches.
const RouteRule* findRule(const RoutingTable& table, const HttpRequest& request)
{
    const auto target = request.target();
    return table.findRouteOfHost(headerValue(request.base(), "Host"), std::string_view(target.data(), target.size()));
}

// The host of a request and the first segment of its path, which tell the missing route of a request with 404.
std::string hostOf(const http::fields& fields) { return headerValue(fields, "Host").substr(0, maximumLoggedHostBytes); }

std::string pathPrefixOf(std::string_view target)
{
    target = target.substr(0, target.find('?'));
    const size_t end = target.find('/', 1);
    const std::string_view prefix = end == std::string_view::npos ? target : target.substr(0, end + 1);
    return std::string(prefix.substr(0, maximumLoggedPrefixBytes));
}

// Label of a status code: the code itself, or its class if HTTP does not define it, so that servers cannot add any
// number of series.
std::string statusLabel(unsigned status)
{
    if (http::int_to_status(status) == http::status::unknown)
        return std::to_string(status / 100) + "xx";
    return std::to_string(status);
}

// Requests per slot on the chosen server, including the one that it is chosen for.
double loadRatioOf(const PlacementChoice& choice)
{
    return (choice.load + 1) / static_cast<double>(std::max<int64_t>(choice.server->record.slots, 1));
}

// Returns a negative number if the text is not a non-negative integer.
int64_t parseNumber(std::string_view text)
{
    int64_t number = -1;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? number : -1;
}

}

RequestForwarder::RequestForwarder(const ForwarderDependencies& services)
    : dependencies(services)
    , recentRequests(services.clock)
    , warmCachesAssumedUntil(services.settings.isFirstStart ? SteadyTime() : services.clock.now() + warmCacheDuration)
{
}

bool RequestForwarder::isPreferredServerWarm() const
{
    return this->dependencies.clock.now() < this->warmCachesAssumedUntil;
}

CallerLimits RequestForwarder::limits() const
{
    const RoutingTablePointer table = this->dependencies.clusterState.routingTable();
    return table ? table->limits() : CallerLimits();
}

bool RequestForwarder::canHandleConcurrently(const HttpRequest& request) const
{
    const RoutingTablePointer table = this->dependencies.clusterState.routingTable();
    if (!table)
        return false;
    const RouteRule* rule = findRule(*table, request);
    return rule && rule->idempotency == version::Idempotency::Idempotent;
}

double RequestForwarder::remainingMs(const ForwardingState& state) const
{
    return millisecondsSince(this->dependencies.clock.now(), state.deadline);
}

void RequestForwarder::updateInstanceCounts()
{
    const SteadyTime now = this->dependencies.clock.now();
    this->coldServerSenders.isSettled = this->dependencies.membership.isSettled();
    if (now < this->nextInstanceUpdateAt)
        return;
    this->nextInstanceUpdateAt = now + instanceUpdateInterval;
    const std::vector<InstanceHeartbeat> sharing = this->dependencies.membership.sharingInstances();
    this->sharingInstanceCount = sharing.size();
    this->coldServerSenders.instanceHashes.clear();
    this->coldServerSenders.ownHash = hash64(std::to_string(this->dependencies.membership.ownHeartbeat().address));
    this->coldServerSenders.maximumSenders
        = static_cast<size_t>(std::max(1.0, this->dependencies.settings.bounds.coldSlack));
    for (const InstanceHeartbeat& heartbeat : sharing) {
        if (this->dependencies.settings.regionOfDomainIndex(heartbeat.domainIndex)
            == this->dependencies.settings.region)
            this->coldServerSenders.instanceHashes.push_back(hash64(std::to_string(heartbeat.address)));
    }
}

double RequestForwarder::retrySlackPerInstance() const
{
    const auto instances = static_cast<double>(std::max<size_t>(this->sharingInstanceCount, 1));
    return this->dependencies.settings.bounds.retrySlack * usedSlackRatio / instances;
}

ProcessingTimeEstimate& RequestForwarder::processingTimeOf(const RouteRule& rule)
{
    const auto [found, isNew] = this->processingTimeByRoute.try_emplace(rule.name);
    if (isNew)
        found->second = initialProcessingTime(rule);
    return found->second;
}

bool RequestForwarder::isReturningCaller(const RouteRule& rule, int64_t callerTimeoutMs)
{
    double& fullTimeoutMs = this->fullCallerTimeoutMs[rule.name];
    const auto timeoutMs = static_cast<double>(callerTimeoutMs);
    fullTimeoutMs = std::max(fullTimeoutMs * fullTimeoutDecay, timeoutMs);
    return timeoutMs < returningTimeoutRatio * fullTimeoutMs;
}

void RequestForwarder::reject(ForwardingState& state, const char* reason, double retryAfterSeconds)
{
    this->rejectFor(state, reason, limitedRetryAfter(retryAfterSeconds, this->remainingMs(state)));
}

void RequestForwarder::rejectFor(ForwardingState& state, const char* reason, double seconds)
{
    state.exchange->response = makeResponse(http::status::service_unavailable, std::string(reason) + "\n", seconds);
    state.outcome = reason;
}

void RequestForwarder::respondWithError(ForwardingState& state, http::status status, const char* reason)
{
    state.exchange->response = makeResponse(status, std::string(reason) + "\n");
    state.outcome = reason;
}

void RequestForwarder::forwardResponse(ForwardingState& state, HttpResponse response, const char* outcome)
{
    removeHopByHopHeaders(response);
    state.exchange->response = std::move(response);
    state.isServerResponse = true;
    state.outcome = outcome;
}

void RequestForwarder::refuseUnknownRoute(ForwardingState& state)
{
    // A caller does not repeat a request after 404, so that status is only for a route that no version has.
    if (this->dependencies.clusterState.isConfigurationOutdated())
        this->reject(state, configurationOutdatedOutcome, unconfiguredRetryAfterSeconds);
    else
        this->respondWithError(state, http::status::not_found, noRouteOutcome);
}

void RequestForwarder::refuseKey(ForwardingState& state, KeyProblem problem)
{
    // A caller does not repeat a request after 401, so that status is only for a key that no version in force has.
    if (this->dependencies.clusterState.isConfigurationOutdated()) {
        this->reject(state, configurationOutdatedOutcome, unconfiguredRetryAfterSeconds);
        return;
    }
    this->respondWithError(state, http::status::unauthorized, toString(problem));
    state.exchange->response.set(http::field::www_authenticate, "Bearer");
}

bool RequestForwarder::resolveWorkspace(ForwardingState& state)
{
    const RoutingTable& table = *state.routingTable;
    state.workspaceName.clear();
    state.priority = state.rule.priority;
    if (!table.hasWorkspaces())
        return true;
    KeyProblem problem = KeyProblem::Missing;
    const std::string_view key = bearerKey(state.exchange->request.base(), problem);
    const Workspace* workspace = key.empty() ? nullptr : table.findWorkspace(key);
    if (!workspace) {
        if (state.rule.isAnonymous)
            return true;
        this->refuseKey(state, key.empty() ? problem : KeyProblem::Unknown);
        return false;
    }
    // The key may have been withdrawn by a version that has not arrived.
    if (!this->dependencies.settings.bounds.isKeyConfirmed(this->configurationAgeMs())) {
        this->reject(state, keysUnconfirmedOutcome, unconfiguredRetryAfterSeconds);
        return false;
    }
    state.workspaceName = workspace->name;
    state.priority = workspace->priority.value_or(state.rule.priority);
    if (limitHomeRegions(state.rule, *workspace))
        return true;
    this->reject(state, "no-common-home", unconfiguredRetryAfterSeconds);
    return false;
}

bool RequestForwarder::resolveRoute(ForwardingState& state)
{
    const RouteRule* rule = findRule(*state.routingTable, state.exchange->request);
    if (!rule) {
        this->refuseUnknownRoute(state);
        return false;
    }
    state.rule = *rule;
    return this->resolveWorkspace(state);
}

bool RequestForwarder::admitUsage(ForwardingState& state)
{
    const Workspace* workspace
        = state.workspaceName.empty() ? nullptr : state.routingTable->findWorkspaceByName(state.workspaceName);
    if (!workspace || workspace->requestsPerSecond <= 0)
        return true;
    state.limitedWorkspaceName = workspace->name;
    state.usage = this->dependencies.usageLimiter.admit(*workspace);
    return this->applyUsageDecision(state, *workspace);
}

asio::awaitable<bool> RequestForwarder::awaitUsageDecision(ForwardingState& state)
{
    if (!state.usage.isPending)
        co_return true;
    const RoutingTablePointer table = state.routingTable;
    const Workspace& workspace = *table->findWorkspaceByName(state.limitedWorkspaceName);
    const SteadyTime waitingSince = this->dependencies.clock.now();
    while (state.usage.isPending) {
        co_await this->pause(waitCheckInterval);
        state.usage = this->dependencies.usageLimiter.continueWaiting(workspace, state.usage.waitsUntil);
    }
    this->dependencies.metrics.observeSeconds(
        "wagtailrack_usage_wait_seconds", "", millisecondsSince(waitingSince, this->dependencies.clock.now()) / 1000);
    co_return this->applyUsageDecision(state, workspace);
}

bool RequestForwarder::applyUsageDecision(ForwardingState& state, const Workspace& workspace)
{
    const UsageDecision& usage = state.usage;
    if (usage.isAllowed || usage.isPending)
        return true;
    // Unlike other refusals, told as it is: a caller that comes back earlier is refused again.
    const double seconds = std::max(0.0, millisecondsSince(this->dependencies.clock.now(), usage.retryAt) / 1000);
    state.exchange->response
        = makeResponse(http::status::too_many_requests, std::string(usageLimitOutcome) + "\n", seconds);
    state.outcome = usageLimitOutcome;
    this->dependencies.metrics.count("wagtailrack_usage_refused_total", "workspace=\"" + workspace.name + "\"");
    if (usage.isFirstRefusal)
        this->dependencies.log.write(LogCategory::ProcessState, "usage-limit-reached",
            { { "workspace", workspace.name }, { "rate_per_s", static_cast<int64_t>(workspace.requestsPerSecond) },
                { "burst", static_cast<int64_t>(workspace.burst) },
                { "retry_ms", static_cast<int64_t>(seconds * 1000) } });
    return false;
}

void RequestForwarder::refundUsage(const ForwardingState& state)
{
    const bool isPromisedNotRun
        = !state.isServerResponse && state.exchange->response.result() == http::status::service_unavailable;
    if (state.usage.isAllowed && !state.isPossiblyExecuted && (isPromisedNotRun || state.sendCount == 0))
        this->dependencies.usageLimiter.refund(state.limitedWorkspaceName, state.usage.refundableUntil);
}

bool RequestForwarder::prepareRequest(ForwardingState& state)
{
    const HttpRequest& request = state.exchange->request;
    const EdgeHeaderNames& headers = this->dependencies.headers;
    state.requestId = headerValue(request.base(), headers.requestId);
    const auto method = request.method_string();
    const auto target = request.target();
    state.fingerprint = fingerprintOf(headerValue(request.base(), "Host"), { method.data(), method.size() },
        { target.data(), target.size() }, request.body());
    state.deadline = state.exchange->arrivedAt + unroutedRequestTime;
    if (this->isDraining && state.exchange->arrivedAt >= this->acceptUntil) {
        this->reject(state, "stopping", 0);
        return false;
    }
    state.routingTable = this->dependencies.clusterState.routingTable();
    if (!state.routingTable) {
        this->reject(state, noConfigurationOutcome, unconfiguredRetryAfterSeconds);
        return false;
    }
    if (!this->resolveRoute(state) || !this->admitUsage(state))
        return false;
    const RouteRule& rule = state.rule;
    state.affinityKey = rule.hasAffinity ? cookieValue(request.base(), headers.affinityCookie) : std::string();
    int64_t callerTimeoutMs = parseNumber(headerValue(request.base(), headers.deadlineMs));
    if (callerTimeoutMs < 0)
        callerTimeoutMs = rule.timeoutMs;
    state.isReturning = this->isReturningCaller(rule, callerTimeoutMs);
    state.deadline = state.exchange->arrivedAt + Milliseconds(std::min(callerTimeoutMs, rule.timeoutMs));
    state.serviceName = this->trafficSplit.choose(rule);
    this->updateInstanceCounts();
    const FleetBounds& bounds = this->dependencies.settings.bounds;
    this->retryTokenBuckets[state.serviceName].recordRequest(bounds.retryRatio, this->retrySlackPerInstance());
    state.isBeyondWorkspaceShare = this->overloadAdmission.recordArrival(admissionRequestOf(state));
    return true;
}

void RequestForwarder::keepForExplanation(const ForwardingState& state)
{
    const HttpRequest& request = state.exchange->request;
    this->recentRequests.add(
        { state.requestId, state.rule.name, state.affinityKey, state.workspaceName, headerValue(request.base(), "Host"),
            std::string(request.method_string()), std::string(request.target()), state.fingerprint });
}

ExplanationSources RequestForwarder::explanationSources() const
{
    const ForwarderDependencies& used = this->dependencies;
    return { used.clock, used.settings, used.clusterState.routingTable(), this->configurationAgeMs(),
        used.clusterState.isConfigurationOutdated(), this->isDraining, used.fleet, used.shiftLimiter, used.regionShares,
        used.crashQuarantine, used.usageLimiter, this->overloadAdmission, this->trafficSplit,
        this->processingTimeByRoute, this->roundTripsMs, this->coldServerSenders, this->isPreferredServerWarm(),
        [this](const BackendServer& server) {
            return this->dependencies.serverConnections.hasIdleConnection(server.record.address);
        },
        this->recentRequests };
}

asio::awaitable<void> RequestForwarder::handle(ExchangePointer exchange)
{
    // Counts the request until it ends, also by an exception: a planned stop waits for all requests.
    struct InFlightCount {
        explicit InFlightCount(int64_t& counter)
            : count(counter)
        {
            ++this->count;
        }
        ~InFlightCount() { --this->count; }
        int64_t& count;
    };
    const InFlightCount inFlight(this->inFlightRequests);
    ForwardingState state;
    state.exchange = exchange;
    const bool isPrepared = this->prepareRequest(state);
    this->keepForExplanation(state);
    if (isPrepared && co_await this->awaitUsageDecision(state)) {
        co_await this->forwardRequest(state);
        this->refundUsage(state);
    }
    this->recordCompletion(state);
}

asio::awaitable<void> RequestForwarder::pause(Milliseconds duration)
{
    Timer timer(this->dependencies.context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

SendDecision RequestForwarder::checkQuarantine(ForwardingState& state)
{
    if (state.isSendGranted)
        return SendDecision::Send;
    switch (this->dependencies.crashQuarantine.decide(state.fingerprint)) {
    case SendDecision::Send:
        state.isSendGranted = true;
        state.waitsUntil = {};
        return SendDecision::Send;
    case SendDecision::Refuse: {
        const auto remaining = this->dependencies.crashQuarantine.remainingTime(state.fingerprint);
        if (state.fallbackResponse || state.isPossiblyExecuted)
            this->finishAfterFailure(state, "quarantined");
        else
            this->rejectFor(state, "quarantined", std::chrono::duration<double>(remaining).count());
        return SendDecision::Refuse;
    }
    case SendDecision::Wait:
        break;
    }
    const SteadyTime now = this->dependencies.clock.now();
    if (state.waitsUntil == SteadyTime())
        state.waitsUntil = std::min(now + maximumSuspectWait, state.deadline);
    if (now >= state.waitsUntil) {
        this->finishAfterFailure(state, "suspected");
        return SendDecision::Refuse;
    }
    return SendDecision::Wait;
}

AdmissionRequest RequestForwarder::admissionRequestOf(const ForwardingState& state)
{
    return { state.serviceName, state.rule.name, state.workspaceName, state.priority, state.rule.targetLatencyMs,
        state.isReturning };
}

bool RequestForwarder::admit(ForwardingState& state, const PlacementChoice& choice)
{
    const AdmissionRequest request = admissionRequestOf(state);
    state.admission = this->overloadAdmission.decide(request, state.isBeyondWorkspaceShare, choice);
    const std::string labels = "priority=\"" + std::to_string(state.priority) + "\"";
    if (state.admission.outcome == AdmissionOutcome::Send) {
        if (!state.isCountedAsSent)
            this->overloadAdmission.recordSend(request);
        state.isCountedAsSent = true;
        this->dependencies.metrics.count("wagtailrack_admitted_total", labels);
        this->dependencies.metrics.observeSeconds(
            "wagtailrack_expected_wait_seconds", labels, choice.expectedWaitMs / 1000);
        return true;
    }
    const char* reason = toString(state.admission.outcome);
    this->dependencies.metrics.count(
        "wagtailrack_not_admitted_total", labels + ",reason=\"" + std::string(reason) + "\"");
    this->finishAfterFailure(state, reason, overloadRetryAfter(state.rule.targetLatencyMs, this->remainingMs(state)));
    return false;
}

asio::awaitable<void> RequestForwarder::forwardRequest(ForwardingState& state)
{
    while (true) {
        if (state.exchange->hasCallerDisconnected) {
            this->respondWithError(state, http::status::bad_gateway, "caller-left");
            co_return;
        }
        if (this->dependencies.clusterState.isRefreshingAfterPause()) {
            co_await this->pause(waitCheckInterval);
            continue;
        }
        const SendDecision decision = this->checkQuarantine(state);
        if (decision == SendDecision::Refuse)
            co_return;
        if (decision == SendDecision::Wait) {
            co_await this->pause(waitCheckInterval);
            continue;
        }
        // A request that has not been sent yet follows a version of the configuration that became active meanwhile.
        // There may be none for a moment after the start, when a peer is known to have a newer one.
        const RoutingTablePointer table = this->dependencies.clusterState.routingTable();
        if (table && table != state.routingTable && state.sendCount == 0) {
            state.routingTable = table;
            if (!this->resolveRoute(state))
                co_return;
            const bool isStillAllowed
                = std::any_of(state.rule.weightedServices.begin(), state.rule.weightedServices.end(),
                    [&state](const WeightedService& share) { return share.service == state.serviceName; });
            if (!isStillAllowed)
                state.serviceName = this->trafficSplit.choose(state.rule);
        }
        const ServiceSettings* service = state.routingTable->findService(state.serviceName);
        const ServiceSettings unknown { state.serviceName, 0, 0, 1 };
        const PlacementRequest request { state.rule, service ? *service : unknown, state.affinityKey,
            this->dependencies.settings.region, this->dependencies.settings.failureDomain, this->roundTripsMs,
            [this, &state](const BackendServer& server) {
                return connectionUseOf(state) == ConnectionUse::ReuseIdle
                    && this->dependencies.serverConnections.hasIdleConnection(server.record.address);
            },
            state.exchange->arrivedAt, state.deadline, this->dependencies.shiftLimiter, this->coldServerSenders,
            state.excludedServers, this->isPreferredServerWarm(), &this->dependencies.regionShares };
        const SteadyTime now = this->dependencies.clock.now();
        const std::optional<PlacementChoice> choice
            = chooseServer(this->dependencies.fleet, request, this->processingTimeOf(state.rule), now);
        state.lastChoice = choice;
        if (!choice) {
            if (state.sendCount == 0)
                this->dependencies.shiftLimiter.recordRefusal();
            this->finishWithoutServer(state, "no-server");
            co_return;
        }
        if (!this->admit(state, *choice)) {
            if (state.sendCount == 0)
                this->dependencies.shiftLimiter.recordRefusal();
            co_return;
        }
        const NextStep next = co_await this->attemptSend(state, *choice);
        if (next == NextStep::Finish)
            co_return;
    }
}

ConnectionUse RequestForwarder::connectionUseOf(const ForwardingState& state)
{
    // A non-idempotent request is sent on a new connection: if the server closed an idle connection at the same time,
    // the outcome of the request would be unknown.
    const bool canReuse = state.rule.idempotency == version::Idempotency::Idempotent && !state.needsNewConnection;
    return canReuse ? ConnectionUse::ReuseIdle : ConnectionUse::OpenNew;
}

std::shared_ptr<Call> RequestForwarder::makeCall(const ForwardingState& state, const BackendServer& server) const
{
    const EdgeHeaderNames& headers = this->dependencies.headers;
    auto call = std::make_shared<Call>();
    call->request = state.exchange->request;
    call->requestMemory = state.exchange->requestMemory;
    removeHopByHopHeaders(call->request);
    if (state.routingTable->hasWorkspaces()) {
        call->request.erase(http::field::authorization);
        call->request.erase(headers.workspace);
        if (!state.workspaceName.empty())
            call->request.set(headers.workspace, state.workspaceName);
    }
    call->request.version(11);
    call->request.prepare_payload();
    const double left = std::max(1.0, this->remainingMs(state));
    call->request.set(headers.deadlineMs, std::to_string(static_cast<int64_t>(left)));
    call->request.set(headers.expectedServerId, server.record.id);
    const SteadyTime now = this->dependencies.clock.now();
    const bool isOwnRegion = server.region == this->dependencies.settings.region;
    call->connectDeadline = now + (isOwnRegion ? sameRegionConnectTimeout : otherRegionConnectTimeout);
    call->deadline = state.deadline + responseGracePeriod;
    call->connectionUse = connectionUseOf(state);
    call->echoHeader = headers.requestId;
    call->echoValue = state.requestId;
    return call;
}

asio::awaitable<RequestForwarder::NextStep> RequestForwarder::attemptSend(
    ForwardingState& state, PlacementChoice choice)
{
    const BackendServerPointer server = choice.server;
    const bool isRetry = state.sendCount > 0;
    if (isRetry && !this->retryTokenBuckets[state.serviceName].tryTakeToken()) {
        this->dependencies.metrics.count("wagtailrack_retries_refused_total", "");
        state.sendCount = static_cast<int>(state.rule.maxAttempts);
        co_return this->retryOrFinish(state);
    }
    const bool isIdempotent = state.rule.idempotency == version::Idempotency::Idempotent;
    const std::shared_ptr<Call> call = this->makeCall(state, *server);
    if (isIdempotent)
        state.exchange->onCallerDisconnected = [call] { call->cancel(); };
    this->prepareRelay(state, call);
    call->onResponseHead = [this, server](const HttpResponse& head) { this->applyServerNotices(*server, head.base()); };
    call->isStillWanted = [this, server] { return this->mayReceiveRequests(*server); };
    state.isSendGranted = false;
    const SteadyTime sentAt = this->dependencies.clock.now();
    const Endpoint address = server->record.address;
    state.lastServerId = server->record.id;
    state.excludedServers.insert(server.get());
    this->dependencies.fleet.beginAttempt(*server, choice.expectedProcessingMs);
    this->dependencies.shiftLimiter.recordSend(server->region != this->dependencies.settings.region);
    this->dependencies.fleet.recordCachedObject(*server, choice.objectHash);
    const CallOutcome outcome = co_await this->dependencies.serverConnections.execute(call, address);
    state.exchange->onCallerDisconnected = nullptr;
    state.lastCallOutcome = toString(outcome);
    const bool isRelayed = call->relay && call->relay->hasBegun();
    // How long the rest of a large response takes depends on the links and on the caller.
    const double durationMs
        = millisecondsSince(sentAt, isRelayed ? call->relay->begunAt() : this->dependencies.clock.now());
    state.lastAttemptDurationMs = durationMs;
    this->recordRoundTrip(*server, *call);
    // The connection on which the server said that it leaves became idle after that.
    if (server->isLeaving)
        this->dependencies.serverConnections.closeIdleConnections(address);
    if (isRelayed && outcome != CallOutcome::Answered) {
        if (outcome != CallOutcome::Cancelled && (call->relay->hasStarted() || outcome == CallOutcome::TooLarge)) {
            this->endBrokenRelay(state, *server, outcome);
            co_return NextStep::Finish;
        }
        if (outcome != CallOutcome::Cancelled)
            state.exchange->relay.reset();
        state.isServerResponse = false;
    }
    switch (outcome) {
    case CallOutcome::Answered: {
        ++state.sendCount;
        this->dependencies.crashDetector.recordResponse(*server, sentAt);
        const NextStep next = this->handleResponse(state, *server, choice, *call, durationMs);
        if (isRelayed)
            co_await this->finishRelay(state);
        co_return next;
    }
    case CallOutcome::ConnectFailed:
        state.isSendGranted = true;
        if (call->connectFailure == asio::error::connection_refused)
            this->dependencies.crashDetector.recordRefusedConnection(*server);
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::Unreachable);
        this->dependencies.serverConnections.closeIdleConnections(address);
        ++state.connectFailureCount;
        if (state.connectFailureCount < maximumUnreachableServers)
            co_return NextStep::TryAnotherServer;
        if (state.fallbackResponse || state.isPossiblyExecuted)
            co_return this->retryOrFinish(state);
        this->reject(state, "servers-unreachable", minimumRetryAfterSeconds);
        co_return NextStep::Finish;
    case CallOutcome::NotSent:
        state.isSendGranted = true;
        this->dependencies.fleet.withdrawAttempt(*server);
        co_return NextStep::TryAnotherServer;
    case CallOutcome::Cancelled:
        ++state.sendCount;
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::Answered);
        this->respondWithError(state, http::status::bad_gateway, "caller-left");
        co_return NextStep::Finish;
    case CallOutcome::TimedOut:
        ++state.sendCount;
        if (!call->hasResponseStarted)
            this->dependencies.crashDetector.recordBrokenAttempt(
                *server, state.fingerprint, sentAt, call->connectDurationMs > 0);
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::BrokenResponse);
        this->dependencies.fleet.recordDuration(
            *server, { durationMs, choice.expectedWaitMs + choice.expectedProcessingMs, loadRatioOf(choice) });
        this->respondWithError(state, http::status::gateway_timeout, "deadline-passed");
        co_return NextStep::Finish;
    case CallOutcome::Broken:
    case CallOutcome::TooLarge:
        break;
    }
    ++state.sendCount;
    state.isPossiblyExecuted = true;
    state.needsNewConnection = true;
    if (!call->hasResponseStarted)
        this->investigateBrokenAttempt(state, server, *call, sentAt);
    this->dependencies.fleet.endAttempt(*server, AttemptOutcome::BrokenResponse);
    if (!isIdempotent) {
        this->respondWithError(state, http::status::bad_gateway, "outcome-unknown");
        co_return NextStep::Finish;
    }
    co_return this->retryOrFinish(state);
}

void RequestForwarder::prepareRelay(ForwardingState& state, const std::shared_ptr<Call>& call)
{
    if (!state.rule.hasLargeResponses)
        return;
    const auto canRelay = [this](const HttpResponse& head) {
        const EdgeHeaderNames& headers = this->dependencies.headers;
        return !headerValue(head.base(), headers.responseSeal).empty()
            && headerValue(head.base(), headers.notExecuted).empty();
    };
    // The call owns the relay; the state lives until the call has ended.
    const auto begin = [&state, weakCall = std::weak_ptr<Call>(call)](const HttpResponse& head) {
        state.relay = weakCall.lock()->relay;
        state.isServerResponse = true;
        state.exchange->response.base() = head.base();
        state.exchange->relay = state.relay;
        if (state.exchange->onRelayBegun)
            state.exchange->onRelayBegun();
    };
    call->relay = std::make_shared<ResponseRelay>(
        this->dependencies.context, this->dependencies.serverConnections.transferBudget(), canRelay, begin);
}

asio::awaitable<void> RequestForwarder::finishRelay(ForwardingState& state)
{
    const ResponseRelayPointer relay = state.relay;
    state.exchange->onCallerDisconnected = [relay] { relay->fail(RelayFailure::CallerLeft); };
    if (state.exchange->hasCallerDisconnected)
        relay->fail(RelayFailure::CallerLeft);
    relay->finish();
    co_await relay->waitUntilDelivered();
    state.exchange->onCallerDisconnected = nullptr;
    if (relay->failure() != RelayFailure::None)
        state.outcome = toString(relay->failure());
}

void RequestForwarder::endBrokenRelay(ForwardingState& state, BackendServer& server, CallOutcome outcome)
{
    ++state.sendCount;
    // A relay that has failed before the call ended did so because of the caller.
    const bool isCallersFault = outcome == CallOutcome::TooLarge || state.relay->failure() != RelayFailure::None;
    const RelayFailure reason = outcome == CallOutcome::TooLarge ? RelayFailure::CallerTooSlow
        : outcome == CallOutcome::TimedOut                       ? RelayFailure::ServerStalled
                                                                 : RelayFailure::ServerBroke;
    this->dependencies.fleet.endAttempt(
        server, isCallersFault ? AttemptOutcome::Answered : AttemptOutcome::BrokenResponse);
    const bool hasStarted = state.relay->hasStarted();
    state.relay->fail(reason);
    state.outcome = toString(state.relay->failure());
    if (hasStarted)
        return;
    // Responses before this one on its connection have not been read. The server has executed the request.
    state.exchange->relay.reset();
    state.isServerResponse = false;
    this->respondWithError(state, http::status::bad_gateway, state.outcome);
}

void RequestForwarder::finishAfterFailure(ForwardingState& state, const char* reason)
{
    this->finishAfterFailure(state, reason, failureRetryAfter(this->remainingMs(state)));
}

void RequestForwarder::finishAfterFailure(ForwardingState& state, const char* reason, double retryAfterSeconds)
{
    if (state.fallbackResponse)
        this->forwardResponse(state, std::move(*state.fallbackResponse), "server-failure");
    else if (state.isPossiblyExecuted)
        this->respondWithError(state, http::status::bad_gateway, "outcome-unknown");
    else
        this->reject(state, reason, retryAfterSeconds);
}

RequestForwarder::NextStep RequestForwarder::retryOrFinish(ForwardingState& state)
{
    const double left = this->remainingMs(state);
    if (left > 0 && state.sendCount < state.rule.maxAttempts)
        return NextStep::TryAnotherServer;
    this->finishWithoutServer(state, "servers-full");
    return NextStep::Finish;
}

void RequestForwarder::investigateBrokenAttempt(
    const ForwardingState& state, const BackendServerPointer& server, const Call& call, SteadyTime sentAt)
{
    const bool isOnNewConnection = call.connectDurationMs > 0;
    if (!this->dependencies.crashDetector.recordBrokenAttempt(*server, state.fingerprint, sentAt, isOnNewConnection))
        return;
    asio::co_spawn(
        this->dependencies.context, [this, server] { return this->probeServer(server); }, asio::detached);
}

asio::awaitable<void> RequestForwarder::probeServer(BackendServerPointer server)
{
    const SteadyTime deadline = this->dependencies.clock.now() + otherRegionConnectTimeout;
    const Reachability reachability
        = co_await this->dependencies.serverConnections.probe(server->record.address, deadline);
    if (reachability == Reachability::Refused)
        this->dependencies.crashDetector.recordRefusedConnection(*server);
}

void RequestForwarder::recordRoundTrip(const BackendServer& server, const Call& call)
{
    if (call.connectDurationMs <= 0 || server.region == this->dependencies.settings.region)
        return;
    const auto [found, isNew] = this->roundTripsMs.try_emplace(server.region, call.connectDurationMs);
    // Limited because a retransmitted packet lengthens the time to connect, but not the round trip.
    const double sample = std::min(call.connectDurationMs, 2 * found->second);
    if (!isNew)
        found->second += roundTripSampleWeight * (sample - found->second);
}

bool RequestForwarder::mayReceiveRequests(const BackendServer& server) const
{
    return this->dependencies.fleet.isUsable(server) && server.pausedUntil <= this->dependencies.clock.now();
}

void RequestForwarder::applyServerNotices(BackendServer& addressed, const http::response_header<>& head)
{
    // 421 comes from another server, which uses the address now.
    const bool isMisdirected = head.result() == http::status::misdirected_request;
    const BackendServerPointer other
        = isMisdirected ? this->dependencies.fleet.findOtherAt(addressed.record.address, addressed.record.id) : nullptr;
    if (isMisdirected && !other)
        return;
    BackendServer& server = other ? *other : addressed;
    const SteadyTime now = this->dependencies.clock.now();
    const ServerNotices notices = readServerNotices(head, this->dependencies.headers, now);
    if (notices.invalidFields > 0)
        this->dependencies.metrics.count(
            "wagtailrack_server_notices_ignored_total", "", static_cast<double>(notices.invalidFields));
    if (notices.isLeaving && this->dependencies.fleet.recordLeavingNotice(server)) {
        this->dependencies.metrics.count("wagtailrack_server_leaving_notices_total", "");
        this->dependencies.serverConnections.closeIdleConnections(server.record.address);
    }
    if (!notices.pausesUntil || *notices.pausesUntil <= now)
        return;
    const bool isFirst = server.pausedUntil <= now;
    this->dependencies.fleet.pause(server, *notices.pausesUntil);
    this->dependencies.serverConnections.stopPreconnecting(server.record.address);
    this->dependencies.metrics.count("wagtailrack_server_pauses_total", "");
    if (isFirst)
        this->dependencies.log.write(LogCategory::ProcessState, "server-pauses",
            { { "server", server.record.id }, { "service", server.record.service },
                { "for_ms", static_cast<int64_t>(millisecondsSince(now, server.pausedUntil)) } });
}

void RequestForwarder::finishWithoutServer(ForwardingState& state, const char* reason)
{
    const SteadyTime now = this->dependencies.clock.now();
    const std::optional<SteadyTime> pauseEnd
        = earliestPauseEnd(this->dependencies.fleet, state.serviceName, state.rule, now);
    if (!pauseEnd || state.fallbackResponse || state.isPossiblyExecuted) {
        this->finishAfterFailure(state, reason);
        return;
    }
    this->rejectFor(state, "servers-pause", pauseRetryAfter(now, *pauseEnd, this->remainingMs(state)));
}

ReportedServerLoad RequestForwarder::recordServerLoad(BackendServer& server, const HttpResponse& response)
{
    constexpr double usualMachinePercent = 100;
    const std::string text = headerValue(response.base(), this->dependencies.headers.serverLoad);
    // Running, waiting, slots and percent of the usual processing time; later servers may send more figures.
    std::array<int64_t, 4> figures { -1, -1, -1, -1 };
    std::string_view rest = text;
    for (int64_t& figure : figures) {
        const size_t comma = std::min(rest.find(','), rest.size());
        figure = parseNumber(rest.substr(0, comma));
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    const auto [executing, waiting, slots, machinePercent] = figures;
    ReportedServerLoad reported;
    if (executing >= 0 && waiting >= 0 && slots >= 0) {
        this->dependencies.fleet.recordLoadReport(server, executing, waiting, slots);
        reported.load = ReportedLoad { executing, waiting, slots };
    }
    if (machinePercent > 0)
        reported.machineFactor = static_cast<double>(machinePercent) / usualMachinePercent;
    return reported;
}

void RequestForwarder::recordProcessingTime(const ForwardingState& state, BackendServer& server,
    const PlacementChoice& choice, double durationMs, const ReportedServerLoad& reported)
{
    ProcessingTimeEstimate& processingTime = this->processingTimeOf(state.rule);
    const double base = choice.isObjectCached ? processingTime.cachedMs : processingTime.uncachedMs;
    const double loadRatio
        = reported.load ? measuredLoadRatio(loadRatioOf(choice), *reported.load) : loadRatioOf(choice);
    const bool isCold = this->dependencies.clock.now() < server.coldUntil;
    const double expectedMs = choice.expectedWaitMs + (isCold ? coldServerProcessingFactor * base : base);
    this->dependencies.fleet.recordDuration(server, { durationMs, expectedMs, loadRatio, reported.machineFactor });
    // The route's processing time is known only for requests that did not wait, on servers that are not cold, not
    // beyond their knee and not known as slow. Latency at full load would be learned as the floor otherwise.
    if (isCold || choice.expectedWaitMs > 0 || loadRatioOf(choice) > server.capacity.knee || server.capacity.speed < 1)
        return;
    // A low quantile, because some requests wait unnoticed behind requests of other instances, and some objects are not
    // cached.
    double& estimate = choice.isObjectCached ? processingTime.cachedMs : processingTime.uncachedMs;
    const double quantile = choice.isObjectCached ? cachedTimeQuantile : uncachedTimeQuantile;
    estimate *= durationMs > estimate ? 1 + processingTimeStep * quantile : 1 - processingTimeStep * (1 - quantile);
}

RequestForwarder::NextStep RequestForwarder::handleResponse(
    ForwardingState& state, BackendServer& server, const PlacementChoice& choice, Call& call, double durationMs)
{
    HttpResponse& response = call.response;
    state.exchange->responseMemory = std::move(call.responseMemory);
    const unsigned status = response.result_int();
    const EdgeHeaderNames& headers = this->dependencies.headers;
    const bool isIdempotent = state.rule.idempotency == version::Idempotency::Idempotent;
    const ReportedServerLoad reported = this->recordServerLoad(server, response);
    if (status == 421 || !headerValue(response.base(), headers.notExecuted).empty()) {
        this->dependencies.fleet.endAttempt(server, status == 421 ? AttemptOutcome::Answered : AttemptOutcome::Shed);
        if (status == 421)
            this->dependencies.fleet.markLeaving(server, "address-reused");
        // A server that refuses the request although its estimated load is below its number of slots can be chosen
        // again: it is as good as any other and has the object cached.
        else if (estimateLoad(server, this->dependencies.clock.now()) < static_cast<double>(server.record.slots))
            state.excludedServers.erase(&server);
        return this->retryOrFinish(state);
    }
    this->dependencies.crashQuarantine.recordResponse(state.fingerprint);
    const bool isServerFailure = status >= 500 || status == 429 || status == 408;
    const bool hasSeal = !headerValue(response.base(), headers.responseSeal).empty();
    // A success, a redirect or an error of the caller ends the request for good, so it has to be the server's own.
    if (!isServerFailure && !hasSeal) {
        state.isPossiblyExecuted = true;
        state.lastCallOutcome = "no-seal";
        this->dependencies.fleet.endAttempt(server, AttemptOutcome::BrokenResponse);
        if (isIdempotent)
            return this->retryOrFinish(state);
        this->respondWithError(state, http::status::bad_gateway, "outcome-unknown");
        return NextStep::Finish;
    }
    if (isServerFailure) {
        state.isPossiblyExecuted = true;
        this->dependencies.fleet.endAttempt(server, AttemptOutcome::ErrorResponse);
        // The caller would take these status codes as a promise that the request was not executed, which the server
        // does not make.
        if (!isIdempotent && (status == 503 || status == 429 || status == 408)) {
            this->respondWithError(state, http::status::bad_gateway, "outcome-unknown");
            return NextStep::Finish;
        }
        state.fallbackResponse = std::move(response);
        if (isIdempotent)
            return this->retryOrFinish(state);
        this->forwardResponse(state, std::move(*state.fallbackResponse), "server-failure");
        return NextStep::Finish;
    }
    this->dependencies.fleet.endAttempt(server, AttemptOutcome::Answered);
    if (isIdempotent && server.region != this->dependencies.settings.region && server.capacity.speed >= 1
        && this->mayReceiveRequests(server))
        this->dependencies.serverConnections.keepPreconnected(
            server.record.address, this->dependencies.clock.now() + preconnectDuration);
    this->forwardResponse(state, std::move(response), "done");
    const auto roundTrip = this->roundTripsMs.find(server.region);
    const double networkMs = call.connectDurationMs + (roundTrip == this->roundTripsMs.end() ? 0 : roundTrip->second);
    this->recordProcessingTime(state, server, choice, std::max(1.0, durationMs - networkMs), reported);
    return NextStep::Finish;
}

void RequestForwarder::recordCompletion(const ForwardingState& state)
{
    const double seconds = millisecondsSince(state.exchange->arrivedAt, this->dependencies.clock.now()) / 1000;
    const std::string labels = "outcome=\"" + std::string(state.outcome) + "\"";
    this->dependencies.metrics.count("wagtailrack_requests_total", labels);
    this->dependencies.metrics.observeSeconds("wagtailrack_request_seconds", labels, seconds);
    const HttpResponse& response = state.exchange->response;
    const bool isSealed
        = state.isServerResponse && !headerValue(response.base(), this->dependencies.headers.responseSeal).empty();
    this->countResponse(response.result_int(), state.isServerResponse ? "server" : "instance");
    std::vector<LogField> fields { { "id", state.requestId }, { "request", toString(state.fingerprint) },
        { "route", state.rule.name }, { "workspace", state.workspaceName },
        { "version", state.routingTable ? state.routingTable->version() : 0 },
        { "configuration_age_ms", this->configurationAgeMs() }, { "service", state.serviceName },
        { "server", state.lastServerId }, { "sends", state.sendCount },
        { "connect_failures", state.connectFailureCount }, { "last_end", state.lastCallOutcome },
        { "warm", state.lastChoice && state.lastChoice->isObjectCached ? 1 : 0 },
        { "wait_ms", state.lastChoice ? static_cast<int64_t>(state.lastChoice->expectedWaitMs) : 0 },
        { "priority", state.priority },
        { "utilisation_percent", state.lastChoice ? static_cast<int64_t>(100 * state.lastChoice->utilisation) : 0 },
        { "wait_limit_ms",
            std::isfinite(state.admission.waitLimitMs) ? static_cast<int64_t>(state.admission.waitLimitMs) : -1 },
        { "work_ms", state.lastChoice ? static_cast<int64_t>(state.lastChoice->expectedProcessingMs) : 0 },
        { "took_ms", static_cast<int64_t>(state.lastAttemptDurationMs) },
        { "servers_age_ms", this->dependencies.clusterState.serverRecordsAgeMs() },
        { "status", static_cast<uint64_t>(response.result_int()) }, { "sealed", isSealed ? 1 : 0 },
        { "ms", static_cast<int64_t>(seconds * 1000) }, { "left_ms", static_cast<int64_t>(this->remainingMs(state)) },
        { "outcome", state.outcome } };
    if (state.relay) {
        const uint64_t bytes = state.relay->deliveredBytes();
        this->dependencies.metrics.count("wagtailrack_streamed_responses_total", labels);
        this->dependencies.metrics.count("wagtailrack_streamed_bytes_total", "", static_cast<double>(bytes));
        fields.emplace_back("streamed_bytes", bytes);
    }
    if (std::string_view(state.outcome) == noRouteOutcome) {
        const HttpRequest& request = state.exchange->request;
        fields.emplace_back("host", hostOf(request.base()));
        fields.emplace_back("path_prefix", pathPrefixOf(std::string(request.target())));
    }
    this->dependencies.log.write(LogCategory::Request, "request", fields);
}

void RequestForwarder::handleRefusedRequest(const RefusedRequest& refused, HttpResponse& response)
{
    const char* outcome = toString(refused.reason);
    const bool isTooLarge
        = refused.reason == RefusalReason::HeaderTooLarge || refused.reason == RefusalReason::BodyTooLarge;
    // A caller does not repeat a request after 413 or 431, so these are only for limits that are in force. The built-in
    // limits are not, nor are those of a version that was replaced while the request arrived.
    const bool isUnconfigured = refused.limits.configurationVersion == 0;
    const RoutingTablePointer table = this->dependencies.clusterState.routingTable();
    const bool isOutdated = this->dependencies.clusterState.isConfigurationOutdated()
        || (table && table->version() != refused.limits.configurationVersion);
    if (isTooLarge && (isUnconfigured || isOutdated)) {
        outcome = isUnconfigured ? noConfigurationOutcome : configurationOutdatedOutcome;
        response = makeResponse(
            http::status::service_unavailable, std::string(outcome) + "\n", unconfiguredRetryAfterSeconds);
    }
    this->dependencies.metrics.count("wagtailrack_requests_total", "outcome=\"" + std::string(outcome) + "\"");
    this->countResponse(response.result_int(), "instance");
    this->dependencies.log.write(LogCategory::Request, "request-refused",
        { { "id", headerValue(refused.fields, this->dependencies.headers.requestId) },
            { "host", hostOf(refused.fields) }, { "path_prefix", pathPrefixOf(refused.target) },
            { "version", refused.limits.configurationVersion }, { "configuration_age_ms", this->configurationAgeMs() },
            { "status", static_cast<uint64_t>(response.result_int()) }, { "outcome", outcome },
            { "error", refused.error }, { "bytes_read", static_cast<uint64_t>(refused.bytesRead) },
            { "max_header_bytes", refused.limits.maxHeaderBytes }, { "max_body_bytes", refused.limits.maxBodyBytes } });
}

void RequestForwarder::countResponse(unsigned status, const char* origin)
{
    this->dependencies.metrics.count(
        "wagtailrack_responses_total", "status=\"" + statusLabel(status) + "\",origin=\"" + std::string(origin) + "\"");
}

int64_t RequestForwarder::configurationAgeMs() const
{
    const ClusterStateCache& clusterState = this->dependencies.clusterState;
    return clusterState.routingTable() ? clusterState.configurationAgeMs() : -1;
}

}
