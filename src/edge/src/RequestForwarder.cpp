#include <wagtailrack/edge/RequestForwarder.h>

#include <wagtailrack/base/Hash.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// A connection within the region is made in about a millisecond; to another region it takes a round trip.
constexpr Milliseconds connectTimeoutNearby(250);
constexpr Milliseconds connectTimeoutRemote(800);
// A connection to a server of another region is kept ready this long after a request: making one takes a round trip,
// and an instance sends to each of many servers only once in several seconds.
constexpr Milliseconds keepOpenTime(20000);
// Servers out of reach that are tried for one request.
constexpr int maximumConnectFailures = 3;
// A server answers at its deadline itself; its answer is awaited this much longer.
constexpr Milliseconds answerGrace(80);
// Weight of a new sample of a round trip.
constexpr double roundTripWeight = 0.2;
// Quantiles of a route's durations that are taken for its work, and the step of their estimates.
constexpr double warmQuantile = 0.25;
constexpr double coldQuantile = 0.5;
constexpr double workStep = 0.08;
// Part of the retry slack that the instances divide; the rest covers instances that are not seen yet.
constexpr double slackPart = 0.8;
// Retry-After: callers come back after a part of the time that a slot needs to become free.
constexpr double shortestReturnSeconds = 0.05;
constexpr double returnTolerance = 0.25;
// Changes of membership are looked at this often.
constexpr Milliseconds countInterval(250);
// Until a first version is known.
constexpr double startReturnSeconds = 0.4;

double millisecondsSince(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// Null when no route matches.
const RouteRule* findRule(const RoutingTable& table, const HttpRequest& request)
{
    const auto target = request.target();
    return table.findRoute(headerValue(request.base(), "Host"), std::string_view(target.data(), target.size()));
}

// An idle connection that the server closes meanwhile would leave the outcome of a non-idempotent request unknown.
ConnectionUse useOf(const RouteRule& rule)
{
    return rule.idempotency == version::Idempotency::Idempotent ? ConnectionUse::ReuseIdle : ConnectionUse::OpenNew;
}

// Below zero when the text is no number.
int64_t parseNumber(std::string_view text)
{
    int64_t number = -1;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? number : -1;
}

}

RequestForwarder::RequestForwarder(const ForwarderDependencies& services)
    : dependencies(services)
{
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

double RequestForwarder::remainingMs(const ForwardingState& flight) const
{
    return millisecondsSince(this->dependencies.clock.now(), flight.deadline);
}

void RequestForwarder::updateInstanceCounts()
{
    const SteadyTime now = this->dependencies.clock.now();
    if (now < this->nextInstanceUpdateAt)
        return;
    this->nextInstanceUpdateAt = now + countInterval;
    const std::vector<InstanceHeartbeat> alive = this->dependencies.membership.aliveInstances();
    this->aliveInstanceCount = alive.size();
    this->coldServerSenders.instanceHashes.clear();
    this->coldServerSenders.ownHash = hash64(std::to_string(this->dependencies.membership.ownHeartbeat().address));
    this->coldServerSenders.maximumSenders
        = static_cast<size_t>(std::max(1.0, this->dependencies.settings.bounds.coldSlack));
    for (const InstanceHeartbeat& beat : alive) {
        if (this->dependencies.settings.regionOfDomainIndex(beat.domainIndex) == this->dependencies.settings.region)
            this->coldServerSenders.instanceHashes.push_back(hash64(std::to_string(beat.address)));
    }
}

int RequestForwarder::instancesInRegion() const
{
    return std::max(1, static_cast<int>(this->coldServerSenders.instanceHashes.size()));
}

double RequestForwarder::retrySlackPerInstance() const
{
    const auto instances = static_cast<double>(std::max<size_t>(this->aliveInstanceCount, 1));
    return this->dependencies.settings.bounds.retrySlack * slackPart / instances;
}

ProcessingTimeEstimate& RequestForwarder::processingTimeOf(const RouteRule& rule)
{
    const auto [found, isNew] = this->processingTimeByRoute.try_emplace(rule.name);
    if (isNew)
        found->second = initialProcessingTime(rule);
    return found->second;
}

std::string RequestForwarder::chooseService(const RouteRule& rule)
{
    if (rule.weightedServices.size() == 1)
        return rule.weightedServices.front().service;
    // The share that is furthest behind its weight, so that any run of requests is divided as the weights say.
    double total = 0;
    for (const WeightedService& share : rule.weightedServices)
        total += share.weight;
    auto& debts = this->trafficSplitDeficits[rule.name];
    std::erase_if(debts, [&rule](const auto& debt) {
        return std::none_of(rule.weightedServices.begin(), rule.weightedServices.end(),
            [&debt](const WeightedService& share) { return share.service == debt.first; });
    });
    const WeightedService* chosen = nullptr;
    for (const WeightedService& share : rule.weightedServices) {
        if (share.weight <= 0)
            continue;
        double& debt = debts[share.service];
        debt += share.weight / total;
        if (!chosen || debt > debts[chosen->service])
            chosen = &share;
    }
    if (!chosen)
        return rule.weightedServices.front().service;
    debts[chosen->service] -= 1;
    return chosen->service;
}

void RequestForwarder::reject(ForwardingState& flight, const char* reason, double retryAfterSeconds)
{
    const double third = std::max(0.0, this->remainingMs(flight)) / 3000;
    const double seconds = std::min(retryAfterSeconds, third);
    flight.exchange->response = makeResponse(http::status::service_unavailable, std::string(reason) + "\n", seconds);
    flight.outcome = reason;
}

void RequestForwarder::respondWithError(ForwardingState& flight, http::status status, const char* reason)
{
    flight.exchange->response = makeResponse(status, std::string(reason) + "\n");
    flight.outcome = reason;
}

void RequestForwarder::forwardResponse(ForwardingState& flight, HttpResponse response, const char* outcome)
{
    removeHopByHopHeaders(response);
    flight.exchange->response = std::move(response);
    flight.outcome = outcome;
}

bool RequestForwarder::prepareRequest(ForwardingState& flight)
{
    const HttpRequest& request = flight.exchange->request;
    const EdgeHeaderNames& headers = this->dependencies.headers;
    flight.requestId = headerValue(request.base(), headers.requestId);
    flight.deadline = flight.exchange->arrivedAt + Milliseconds(1000);
    if (this->isDraining && flight.exchange->arrivedAt >= this->acceptUntil) {
        this->reject(flight, "stopping", 0);
        return false;
    }
    flight.routingTable = this->dependencies.clusterState.routingTable();
    if (!flight.routingTable) {
        this->reject(flight, "no-configuration", startReturnSeconds);
        return false;
    }
    const RouteRule* rule = findRule(*flight.routingTable, request);
    if (!rule) {
        this->respondWithError(flight, http::status::not_found, "no-route");
        return false;
    }
    flight.rule = *rule;
    flight.affinityKey = rule->hasAffinity ? cookieValue(request.base(), headers.affinityCookie) : std::string();
    int64_t patienceMs = parseNumber(headerValue(request.base(), headers.deadlineMs));
    if (patienceMs < 0)
        patienceMs = rule->timeoutMs;
    flight.deadline = flight.exchange->arrivedAt + Milliseconds(std::min(patienceMs, rule->timeoutMs));
    flight.serviceName = this->chooseService(*rule);
    this->updateInstanceCounts();
    const FleetBounds& bounds = this->dependencies.settings.bounds;
    this->retryTokenBuckets[flight.serviceName].recordRequest(bounds.retryRatio, this->retrySlackPerInstance());
    return true;
}

asio::awaitable<void> RequestForwarder::handle(ExchangePointer exchange)
{
    ++this->inFlightRequests;
    ForwardingState flight;
    flight.exchange = exchange;
    if (this->prepareRequest(flight))
        co_await this->forwardRequest(flight);
    --this->inFlightRequests;
    this->recordCompletion(flight);
}

asio::awaitable<void> RequestForwarder::forwardRequest(ForwardingState& flight)
{
    while (true) {
        if (flight.exchange->hasCallerDisconnected) {
            this->respondWithError(flight, http::status::bad_gateway, "caller-left");
            co_return;
        }
        // A version that came meanwhile holds for what is sent from now on.
        const RoutingTablePointer table = this->dependencies.clusterState.routingTable();
        if (table != flight.routingTable && flight.sendCount == 0) {
            flight.routingTable = table;
            const HttpRequest& request = flight.exchange->request;
            const RouteRule* rule = findRule(*table, request);
            if (!rule) {
                this->respondWithError(flight, http::status::not_found, "no-route");
                co_return;
            }
            flight.rule = *rule;
            const bool isStillAllowed = std::any_of(rule->weightedServices.begin(), rule->weightedServices.end(),
                [&flight](const WeightedService& share) { return share.service == flight.serviceName; });
            if (!isStillAllowed)
                flight.serviceName = this->chooseService(*rule);
        }
        const ServiceSettings* service = flight.routingTable->findService(flight.serviceName);
        const ServiceSettings unknown { flight.serviceName, 0, 0, 1 };
        const PlacementRequest request { flight.rule, service ? *service : unknown, flight.affinityKey,
            this->dependencies.settings.region, this->dependencies.settings.failureDomain, this->roundTripsMs,
            [this, &flight](const BackendServer& server) {
                return useOf(flight.rule) == ConnectionUse::ReuseIdle
                    && this->dependencies.serverConnections.hasIdleConnection(server.record.address);
            },
            flight.exchange->arrivedAt, flight.deadline, this->dependencies.shiftLimiter, this->coldServerSenders,
            flight.excludedServers };
        const SteadyTime now = this->dependencies.clock.now();
        const std::optional<PlacementChoice> choice
            = chooseServer(this->dependencies.fleet, request, this->processingTimeOf(flight.rule), now);
        flight.lastChoice = choice;
        if (!choice || !shouldSend(*choice)) {
            this->finishAfterFailure(flight, choice ? "no-time" : "no-server");
            co_return;
        }
        const Next next = co_await this->attemptSend(flight, *choice);
        if (next == Next::Finish)
            co_return;
    }
}

std::shared_ptr<Call> RequestForwarder::makeCall(const ForwardingState& flight, const BackendServer& server) const
{
    const EdgeHeaderNames& headers = this->dependencies.headers;
    auto call = std::make_shared<Call>();
    call->request = flight.exchange->request;
    removeHopByHopHeaders(call->request);
    call->request.version(11);
    call->request.prepare_payload();
    const double left = std::max(1.0, this->remainingMs(flight));
    call->request.set(headers.deadlineMs, std::to_string(static_cast<int64_t>(left)));
    call->request.set(headers.expectedServerId, server.record.id);
    const SteadyTime now = this->dependencies.clock.now();
    const bool isNearby = server.region == this->dependencies.settings.region;
    call->connectDeadline = now + (isNearby ? connectTimeoutNearby : connectTimeoutRemote);
    call->deadline = flight.deadline + answerGrace;
    call->connectionUse = useOf(flight.rule);
    call->echoHeader = headers.requestId;
    call->echoValue = flight.requestId;
    return call;
}

asio::awaitable<RequestForwarder::Next> RequestForwarder::attemptSend(ForwardingState& flight, PlacementChoice choice)
{
    const BackendServerPointer server = choice.server;
    const bool isRetry = flight.sendCount > 0;
    if (isRetry && !this->retryTokenBuckets[flight.serviceName].tryTakeToken()) {
        this->dependencies.metrics.count("wagtailrack_retries_refused_total", "");
        flight.sendCount = static_cast<int>(flight.rule.maxAttempts);
        co_return this->retryOrFinish(flight);
    }
    const bool isIdempotent = flight.rule.idempotency == version::Idempotency::Idempotent;
    const std::shared_ptr<Call> call = this->makeCall(flight, *server);
    if (isIdempotent)
        flight.exchange->onCallerDisconnected = [call] { call->cancel(); };
    const SteadyTime sentAt = this->dependencies.clock.now();
    const Endpoint address = server->record.address;
    flight.lastServerId = server->record.id;
    flight.excludedServers.insert(server.get());
    this->dependencies.fleet.beginAttempt(*server, choice.expectedProcessingMs);
    this->dependencies.shiftLimiter.recordSend(server->region != this->dependencies.settings.region);
    this->dependencies.fleet.recordCachedObject(*server, choice.objectHash);
    const CallOutcome end = co_await this->dependencies.serverConnections.execute(call, address);
    flight.exchange->onCallerDisconnected = nullptr;
    flight.lastCallOutcome = toString(end);
    const double durationMs = millisecondsSince(sentAt, this->dependencies.clock.now());
    flight.lastAttemptDurationMs = durationMs;
    this->recordRoundTrip(*server, *call);
    switch (end) {
    case CallOutcome::Answered:
        ++flight.sendCount;
        co_return this->handleResponse(flight, *server, choice, *call, durationMs);
    case CallOutcome::ConnectFailed:
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::Unreachable);
        this->dependencies.serverConnections.closeIdleConnections(address);
        ++flight.connectFailureCount;
        if (flight.connectFailureCount < maximumConnectFailures)
            co_return Next::TryAnotherServer;
        if (flight.fallbackResponse || flight.isPossiblyExecuted)
            co_return this->retryOrFinish(flight);
        this->reject(flight, "servers-unreachable", shortestReturnSeconds);
        co_return Next::Finish;
    case CallOutcome::Cancelled:
        ++flight.sendCount;
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::Answered);
        this->respondWithError(flight, http::status::bad_gateway, "caller-left");
        co_return Next::Finish;
    case CallOutcome::TimedOut:
        ++flight.sendCount;
        this->dependencies.fleet.endAttempt(*server, AttemptOutcome::BrokenResponse);
        this->dependencies.fleet.recordDuration(
            *server, durationMs, choice.expectedWaitMs + choice.expectedProcessingMs);
        this->respondWithError(flight, http::status::gateway_timeout, "deadline-passed");
        co_return Next::Finish;
    case CallOutcome::Broken:
        break;
    }
    ++flight.sendCount;
    flight.isPossiblyExecuted = true;
    this->dependencies.fleet.endAttempt(*server, AttemptOutcome::BrokenResponse);
    if (!isIdempotent) {
        this->respondWithError(flight, http::status::bad_gateway, "outcome-unknown");
        co_return Next::Finish;
    }
    co_return this->retryOrFinish(flight);
}

void RequestForwarder::finishAfterFailure(ForwardingState& flight, const char* reason)
{
    if (flight.fallbackResponse)
        this->forwardResponse(flight, std::move(*flight.fallbackResponse), "server-failure");
    else if (flight.isPossiblyExecuted)
        this->respondWithError(flight, http::status::bad_gateway, "outcome-unknown");
    else
        this->reject(
            flight, reason, std::max(shortestReturnSeconds, returnTolerance * this->remainingMs(flight) / 1000));
}

RequestForwarder::Next RequestForwarder::retryOrFinish(ForwardingState& flight)
{
    const double left = this->remainingMs(flight);
    if (left > 0 && flight.sendCount < flight.rule.maxAttempts)
        return Next::TryAnotherServer;
    this->finishAfterFailure(flight, "servers-full");
    return Next::Finish;
}

void RequestForwarder::recordRoundTrip(const BackendServer& server, const Call& call)
{
    if (call.connectDurationMs <= 0 || server.region == this->dependencies.settings.region)
        return;
    const auto [found, isNew] = this->roundTripsMs.try_emplace(server.region, call.connectDurationMs);
    // A packet that is sent once more says nothing of the distance.
    const double sample = std::min(call.connectDurationMs, 2 * found->second);
    if (!isNew)
        found->second += roundTripWeight * (sample - found->second);
}

void RequestForwarder::recordServerLoad(BackendServer& server, const HttpResponse& response)
{
    const std::string text = headerValue(response.base(), this->dependencies.headers.serverLoad);
    const size_t first = text.find(',');
    const size_t second = first == std::string::npos ? first : text.find(',', first + 1);
    if (second == std::string::npos)
        return;
    const std::string_view view = text;
    const int64_t executing = parseNumber(view.substr(0, first));
    const int64_t waiting = parseNumber(view.substr(first + 1, second - first - 1));
    const int64_t slots = parseNumber(view.substr(second + 1));
    if (executing >= 0 && waiting >= 0)
        this->dependencies.fleet.recordLoadReport(server, executing, waiting, slots);
}

void RequestForwarder::recordProcessingTime(
    const ForwardingState& flight, BackendServer& server, const PlacementChoice& choice, double durationMs)
{
    const double waitMs = choice.expectedWaitMs;
    ProcessingTimeEstimate& work = this->processingTimeOf(flight.rule);
    const double base = choice.isObjectCached ? work.cachedMs : work.uncachedMs;
    this->dependencies.fleet.recordDuration(server, durationMs, waitMs + base);
    // Only runs without waiting tell the work.
    if (waitMs > 0 || this->dependencies.clock.now() < server.coldUntil)
        return;
    // A low quantile: some runs wait unseen behind requests of other instances, and some objects are not warm.
    double& estimate = choice.isObjectCached ? work.cachedMs : work.uncachedMs;
    const double quantile = choice.isObjectCached ? warmQuantile : coldQuantile;
    estimate *= durationMs > estimate ? 1 + workStep * quantile : 1 - workStep * (1 - quantile);
}

RequestForwarder::Next RequestForwarder::handleResponse(
    ForwardingState& flight, BackendServer& server, const PlacementChoice& choice, Call& call, double durationMs)
{
    HttpResponse& response = call.response;
    const unsigned status = response.result_int();
    const EdgeHeaderNames& headers = this->dependencies.headers;
    const bool isIdempotent = flight.rule.idempotency == version::Idempotency::Idempotent;
    this->recordServerLoad(server, response);
    if (status == 421 || !headerValue(response.base(), headers.notExecuted).empty()) {
        this->dependencies.fleet.endAttempt(server, status == 421 ? AttemptOutcome::Answered : AttemptOutcome::Shed);
        if (status == 421)
            this->dependencies.fleet.markLeaving(server, "address-reused");
        // A server that refuses although it has room is as good as another, and it knows the object.
        else if (estimateLoad(server, this->dependencies.clock.now()) < static_cast<double>(server.record.slots))
            flight.excludedServers.erase(&server);
        return this->retryOrFinish(flight);
    }
    const bool isSuccess = status >= 200 && status < 300;
    const bool hasSeal = !headerValue(response.base(), headers.responseSeal).empty();
    if (isSuccess && !hasSeal) {
        flight.isPossiblyExecuted = true;
        flight.lastCallOutcome = "no-seal";
        this->dependencies.fleet.endAttempt(server, AttemptOutcome::BrokenResponse);
        if (isIdempotent)
            return this->retryOrFinish(flight);
        this->respondWithError(flight, http::status::bad_gateway, "outcome-unknown");
        return Next::Finish;
    }
    if (status >= 500 || status == 429 || status == 408) {
        flight.isPossiblyExecuted = true;
        this->dependencies.fleet.endAttempt(server, AttemptOutcome::ErrorResponse);
        // These would promise that the request has not run, which the server does not say.
        if (!isIdempotent && (status == 503 || status == 429 || status == 408)) {
            this->respondWithError(flight, http::status::bad_gateway, "outcome-unknown");
            return Next::Finish;
        }
        flight.fallbackResponse = std::move(response);
        if (isIdempotent)
            return this->retryOrFinish(flight);
        this->forwardResponse(flight, std::move(*flight.fallbackResponse), "server-failure");
        return Next::Finish;
    }
    this->dependencies.fleet.endAttempt(server, AttemptOutcome::Answered);
    if (isIdempotent && server.region != this->dependencies.settings.region)
        this->dependencies.serverConnections.keepPreconnected(
            server.record.address, this->dependencies.clock.now() + keepOpenTime);
    this->forwardResponse(flight, std::move(response), "done");
    const auto roundTrip = this->roundTripsMs.find(server.region);
    const double networkMs = call.connectDurationMs + (roundTrip == this->roundTripsMs.end() ? 0 : roundTrip->second);
    this->recordProcessingTime(flight, server, choice, std::max(1.0, durationMs - networkMs));
    return Next::Finish;
}

void RequestForwarder::recordCompletion(const ForwardingState& flight)
{
    const double seconds = millisecondsSince(flight.exchange->arrivedAt, this->dependencies.clock.now()) / 1000;
    const std::string labels = "outcome=\"" + std::string(flight.outcome) + "\"";
    this->dependencies.metrics.count("wagtailrack_requests_total", labels);
    this->dependencies.metrics.observeSeconds("wagtailrack_request_seconds", labels, seconds);
    this->dependencies.log.write(LogCategory::Request, "request",
        { { "id", flight.requestId }, { "route", flight.rule.name },
            { "version", flight.routingTable ? flight.routingTable->version() : 0 }, { "service", flight.serviceName },
            { "server", flight.lastServerId }, { "sends", flight.sendCount },
            { "connect_failures", flight.connectFailureCount }, { "last_end", flight.lastCallOutcome },
            { "warm", flight.lastChoice && flight.lastChoice->isObjectCached ? 1 : 0 },
            { "wait_ms", flight.lastChoice ? static_cast<int64_t>(flight.lastChoice->expectedWaitMs) : 0 },
            { "work_ms", flight.lastChoice ? static_cast<int64_t>(flight.lastChoice->expectedProcessingMs) : 0 },
            { "took_ms", static_cast<int64_t>(flight.lastAttemptDurationMs) },
            { "servers_age_ms", this->dependencies.clusterState.serverRecordsAgeMs() },
            { "status", static_cast<uint64_t>(flight.exchange->response.result_int()) },
            { "ms", static_cast<int64_t>(seconds * 1000) },
            { "left_ms", static_cast<int64_t>(this->remainingMs(flight)) }, { "outcome", flight.outcome } });
}

}
