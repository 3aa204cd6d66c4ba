#include <wagtailrack/edge/RequestExplanation.h>

#include <wagtailrack/edge/RefusalDelays.h>

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace wagtailrack::edge {

namespace {

// Members by which the command recognises a response of an instance.
constexpr const char* kindField = "wagtailrack";
constexpr const char* explanationKind = "explain";
constexpr const char* serversKind = "servers";
// Significant digits of the figures in responses; more would suggest a precision that estimates do not have.
constexpr int figureDigits = 4;

struct QueryField {
    std::string_view name;
    std::string ExplanationQuery::*member;
};

constexpr std::array<QueryField, 6> queryFields { {
    { "host", &ExplanationQuery::host },
    { "path", &ExplanationQuery::path },
    { "method", &ExplanationQuery::method },
    { "object", &ExplanationQuery::object },
    { "workspace", &ExplanationQuery::workspace },
    { "id", &ExplanationQuery::id },
} };

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> decodePercent(std::string_view text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index];
            continue;
        }
        const std::string_view digits = text.substr(index + 1, 2);
        unsigned value = 0;
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || failure != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        decoded += static_cast<char>(value);
        index += 2;
    }
    return decoded;
}

// Builds the explanation of one request, in the order in which RequestForwarder decides.
class Explainer {
public:
    Explainer(const ExplanationSources& sources, RequestExplanation& result)
        : sources(sources)
        , result(result)
        , now(sources.clock.now())
    {
    }

    // `fingerprint` is that of the request of the last minute, if there is one.
    Status run(std::optional<RequestFingerprint> fingerprint)
    {
        const ExplanationQuery& request = this->result.request;
        if (!this->sources.table) {
            this->refuseUnrouted("no-configuration");
            return success();
        }
        this->result.configurationVersion = this->sources.table->version();
        const RouteRule* rule = this->sources.table->findRouteOfHost(request.host, request.path);
        if (!rule) {
            if (this->sources.isConfigurationOutdated)
                this->refuseUnrouted("configuration-outdated");
            else
                this->refuse({ "no-route", 404 });
            return success();
        }
        this->result.rule = *rule;
        if (Status status = this->resolveWorkspace(); !status)
            return status;
        this->decideUsage();
        this->result.service = this->sources.trafficSplit.preview(*this->result.rule);
        this->decideQuarantine(
            fingerprint ? *fingerprint : fingerprintOf(request.host, request.method, request.path, ""));
        this->placeRequest();
        return success();
    }

private:
    // The first refusal is the one that the caller gets.
    void refuse(ExpectedRefusal refusal)
    {
        if (!this->result.refusal)
            this->result.refusal = std::move(refusal);
    }

    void refuseUnrouted(const char* reason)
    {
        this->refuse({ reason, 503,
            limitedRetryAfter(unconfiguredRetryAfterSeconds, static_cast<double>(unroutedRequestTime.count())) });
    }

    Status resolveWorkspace()
    {
        const std::string& name = this->result.request.workspace;
        const RoutingTable& table = *this->sources.table;
        if (name.empty()) {
            if (!table.hasWorkspaces() || this->result.rule->isAnonymous)
                return success();
            if (this->sources.isConfigurationOutdated)
                this->refuseUnrouted("configuration-outdated");
            else
                this->refuse({ toString(KeyProblem::Missing), 401 });
            return success();
        }
        const Workspace* workspace = table.findWorkspaceByName(name);
        if (!workspace)
            return makeError(ErrorCode::NotFound, "workspace", "the configuration has no workspace of this name");
        this->result.workspace = *workspace;
        if (!this->sources.settings.bounds.isKeyConfirmed(this->sources.configurationAgeMs))
            this->refuseUnrouted("keys-unconfirmed");
        if (!limitHomeRegions(*this->result.rule, *workspace))
            this->refuseUnrouted("no-common-home");
        return success();
    }

    void decideUsage()
    {
        if (!this->result.workspace)
            return;
        this->result.usage = this->sources.usageLimiter.remainderOf(*this->result.workspace);
        const UsageDecision& decision = this->result.usage.decision;
        if (!decision.isAllowed && !decision.isPending)
            this->refuse(
                { "usage-limit", 429, std::max(0.0, millisecondsBetween(this->now, decision.retryAt) / 1000) });
    }

    void decideQuarantine(RequestFingerprint fingerprint)
    {
        this->result.quarantine = this->sources.quarantine.preview(fingerprint);
        // The request itself would begin the time anew.
        if (this->result.quarantine == SendDecision::Refuse)
            this->refuse({ "quarantined", 503, std::chrono::duration<double>(CrashQuarantine::retentionTime).count() });
    }

    void placeRequest()
    {
        const RouteRule& rule = *this->result.rule;
        const ServiceSettings* known = this->sources.table->findService(this->result.service);
        const ServiceSettings service = known ? *known : ServiceSettings { this->result.service, 0, 0, 1 };
        const std::function<bool(const BackendServer&)> hasConnection = [this, &rule](const BackendServer& server) {
            return rule.idempotency == version::Idempotency::Idempotent && this->sources.hasIdleConnection(server);
        };
        const std::string object = rule.hasAffinity ? this->result.request.object : std::string();
        const std::set<const BackendServer*> noneTried;
        const RankingRequest request { rule, service, object, this->sources.settings.region,
            this->sources.settings.failureDomain, this->sources.roundTripsMs, hasConnection, this->now,
            this->now + Milliseconds(rule.timeoutMs), this->sources.shiftLimiter, this->sources.coldServerSenders,
            noneTried, this->sources.isPreferredServerWarm, this->sources.regionShares.currentShares(service.name) };
        const auto measured = this->sources.processingTimeByRoute.find(rule.name);
        const ProcessingTimeEstimate processingTime
            = measured == this->sources.processingTimeByRoute.end() ? initialProcessingTime(rule) : measured->second;
        std::vector<ExcludedServer> excluded;
        std::vector<ExcludedServer> skipped;
        const ServerRanking ranking = rankServers(this->sources.fleet, request, processingTime, this->now, &excluded);
        this->result.objectRegion = ranking.objectRegion;
        this->result.choice = previewChoice(this->sources.fleet, request, ranking, this->now, &skipped);
        this->decideWithoutServer();
        if (this->result.choice)
            this->decideAdmission();
        else
            this->refuse(*this->result.withoutServer);
        this->listCandidates(request, ranking, skipped);
        for (const ExcludedServer& server : excluded)
            this->listExcluded(request, server, processingTime, ranking.objectHash);
    }

    void decideWithoutServer()
    {
        const auto remainingMs = static_cast<double>(this->result.rule->timeoutMs);
        const std::optional<SteadyTime> pauseEnd
            = earliestPauseEnd(this->sources.fleet, this->result.service, *this->result.rule, this->now);
        this->result.withoutServer = pauseEnd
            ? ExpectedRefusal { "servers-pause", 503, pauseRetryAfter(this->now, *pauseEnd, remainingMs) }
            : ExpectedRefusal { "no-server", 503, limitedRetryAfter(failureRetryAfter(remainingMs), remainingMs) };
    }

    void decideAdmission()
    {
        const RouteRule& rule = *this->result.rule;
        const std::optional<Workspace>& workspace = this->result.workspace;
        const AdmissionRequest request { this->result.service, rule.name, workspace ? workspace->name : std::string(),
            workspace ? workspace->priority.value_or(rule.priority) : rule.priority, rule.targetLatencyMs, false };
        this->result.admission = this->sources.admission.decide(
            request, this->sources.admission.isBeyondWorkspaceShare(request), *this->result.choice);
        if (this->result.admission->outcome == AdmissionOutcome::Send)
            return;
        const auto remainingMs = static_cast<double>(rule.timeoutMs);
        this->refuse({ toString(this->result.admission->outcome), 503,
            limitedRetryAfter(overloadRetryAfter(rule.targetLatencyMs, remainingMs), remainingMs) });
    }

    std::string reasonOf(const PlacementCandidate& candidate, const std::vector<ExcludedServer>& skipped) const
    {
        for (const ExcludedServer& server : skipped) {
            if (server.server == candidate.server)
                return toString(server.reason);
        }
        if (!this->result.choice || this->result.choice->server != candidate.server)
            return "lower-score";
        return this->result.refusal ? this->result.refusal->reason : "chosen";
    }

    void listCandidates(
        const RankingRequest& request, const ServerRanking& ranking, const std::vector<ExcludedServer>& skipped)
    {
        for (const PlacementCandidate& candidate : ranking.candidates) {
            const PlacementChoice& choice = candidate.choice;
            this->result.servers.push_back({ candidate.server, this->reasonOf(candidate, skipped), choice.score,
                choice.load, choice.expectedWaitMs, choice.expectedProcessingMs,
                estimateNetworkMs(request, *candidate.server), choice.isObjectCached });
        }
    }

    void listExcluded(const RankingRequest& request, const ExcludedServer& excluded,
        const ProcessingTimeEstimate& processingTime, uint64_t objectHash)
    {
        const BackendServer& server = *excluded.server;
        const double load = estimateLoad(server, this->now);
        const bool isCached = !request.affinityKey.empty() && isObjectProbablyCached(server, objectHash, this->now);
        this->result.servers.push_back({ excluded.server, toString(excluded.reason), std::nullopt, load,
            estimateWaitMs(server, processingTime, this->now),
            (isCached ? processingTime.cachedMs : processingTime.uncachedMs) * processingFactor(server, load + 1),
            estimateNetworkMs(request, server), isCached });
    }

    const ExplanationSources& sources;
    RequestExplanation& result;
    const SteadyTime now;
};

const char* toString(SendDecision decision)
{
    switch (decision) {
    case SendDecision::Send:
        return "send";
    case SendDecision::Wait:
        return "wait";
    case SendDecision::Refuse:
        return "refuse";
    }
    return "unknown";
}

Json::Value encodeServer(const BackendServer& server, const BackendFleet& fleet, SteadyTime now)
{
    const auto remainingMs = [now](SteadyTime until) {
        return static_cast<Json::Int64>(std::max(0.0, std::ceil(millisecondsBetween(now, until))));
    };
    Json::Value item;
    item["id"] = server.record.id;
    item["address"] = server.record.address.toString();
    item["region"] = server.region;
    item["failure_domain"] = server.record.failureDomain;
    item["slots"] = static_cast<Json::Int64>(server.record.slots);
    item["usable_slots"] = usableSlots(server);
    item["load"] = estimateLoad(server, now);
    item["failure_rate"] = server.failureRate;
    item["speed"] = server.estimatedCapacity.speed;
    item["knee"] = server.estimatedCapacity.knee;
    item["slowdown"] = server.estimatedCapacity.slowdown;
    item["confidence"] = server.estimatedCapacity.confidence;
    item["leaving"] = server.isLeaving;
    item["draining"] = server.record.state != version::ServerState::Active;
    item["evacuated"] = fleet.isEvacuated(server);
    item["cold_ms"] = remainingMs(server.coldUntil);
    item["pause_ms"] = remainingMs(server.pausedUntil);
    item["unreachable_ms"] = remainingMs(server.avoidUntil);
    return item;
}

Json::Value encodeRefusal(const ExpectedRefusal& refusal)
{
    Json::Value item;
    item["reason"] = refusal.reason;
    item["status"] = refusal.status;
    if (refusal.retryAfterSeconds >= 0)
        item["retry_after_s"] = refusal.retryAfterSeconds;
    return item;
}

Json::Value encodeRoute(const RouteRule& rule)
{
    Json::Value item;
    item["name"] = rule.name;
    item["prefix"] = rule.pathPrefix;
    item["idempotent"] = rule.idempotency == version::Idempotency::Idempotent;
    item["timeout_ms"] = static_cast<Json::Int64>(rule.timeoutMs);
    item["target_latency_ms"] = static_cast<Json::Int64>(rule.targetLatencyMs);
    item["priority"] = static_cast<Json::Int64>(rule.priority);
    item["home_regions"] = Json::Value(Json::arrayValue);
    for (const std::string& region : rule.homeRegions)
        item["home_regions"].append(region);
    for (const WeightedService& share : rule.weightedServices)
        item["services"][share.service] = share.weight;
    return item;
}

Json::Value encodeWorkspace(const Workspace& workspace, const UsageLimiter::Remainder& usage)
{
    Json::Value item;
    item["name"] = workspace.name;
    if (workspace.priority)
        item["priority"] = static_cast<Json::Int64>(*workspace.priority);
    if (workspace.requestsPerSecond <= 0)
        return item;
    Json::Value& limit = item["limit"];
    limit["rate_per_s"] = workspace.requestsPerSecond;
    limit["burst"] = workspace.burst;
    limit["tokens_here"] = static_cast<Json::UInt64>(usage.tokens);
    limit["waiting"] = static_cast<Json::UInt64>(usage.waiting);
    limit["decision"] = usage.decision.isAllowed ? "allow" : usage.decision.isPending ? "wait" : "refuse";
    return item;
}

Json::Value encodeRequest(const ExplanationQuery& request)
{
    Json::Value item;
    for (const QueryField& field : queryFields) {
        if (!(request.*field.member).empty())
            item[std::string(field.name)] = request.*field.member;
    }
    return item;
}

Json::Value encodeInstance(const char* kind, const ExplanationSources& sources)
{
    Json::Value root;
    root[kindField] = kind;
    root["instance"] = sources.settings.name;
    root["region"] = sources.settings.region;
    root["failure_domain"] = sources.settings.failureDomain;
    root["stopping"] = sources.isStopping;
    if (sources.table) {
        root["configuration"]["version"] = static_cast<Json::UInt64>(sources.table->version());
        root["configuration"]["age_ms"] = static_cast<Json::Int64>(sources.configurationAgeMs);
        root["configuration"]["outdated"] = sources.isConfigurationOutdated;
    }
    return root;
}

Json::Value encodeExplanation(const ExplanationSources& sources, const RequestExplanation& explanation)
{
    Json::Value root = encodeInstance(explanationKind, sources);
    root["request"] = encodeRequest(explanation.request);
    if (explanation.rule)
        root["route"] = encodeRoute(*explanation.rule);
    if (explanation.workspace)
        root["workspace"] = encodeWorkspace(*explanation.workspace, explanation.usage);
    if (!explanation.service.empty()) {
        root["service"] = explanation.service;
        root["object_region"] = explanation.objectRegion;
        root["quarantine"] = toString(explanation.quarantine);
    }
    root["servers"] = Json::Value(Json::arrayValue);
    for (const ExplainedServer& explained : explanation.servers) {
        Json::Value item = encodeServer(*explained.server, sources.fleet, sources.clock.now());
        item["reason"] = explained.reason;
        if (explained.score)
            item["score"] = *explained.score;
        item["load"] = explained.load;
        item["wait_ms"] = explained.expectedWaitMs;
        item["processing_ms"] = explained.expectedProcessingMs;
        item["distance_ms"] = explained.networkMs;
        item["cached"] = explained.isObjectCached;
        root["servers"].append(std::move(item));
    }
    if (explanation.choice)
        root["utilisation"] = explanation.choice->utilisation;
    if (explanation.admission && std::isfinite(explanation.admission->waitLimitMs))
        root["wait_limit_ms"] = explanation.admission->waitLimitMs;
    root["outcome"] = explanation.refusal ? explanation.refusal->reason : "send";
    if (explanation.refusal)
        root["refusal"] = encodeRefusal(*explanation.refusal);
    else
        root["server"] = explanation.choice->server->record.id;
    if (explanation.withoutServer)
        root["without_server"] = encodeRefusal(*explanation.withoutServer);
    return root;
}

HttpResponse makeJsonResponse(http::status status, const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = figureDigits;
    HttpResponse response = makeResponse(status, Json::writeString(builder, value));
    response.set(http::field::content_type, "application/json");
    return response;
}

}

Result<ExplanationQuery> parseExplanationQuery(std::string_view query)
{
    ExplanationQuery parsed;
    while (!query.empty()) {
        const size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const size_t separator = parameter.find('=');
        const auto field = std::find_if(queryFields.begin(), queryFields.end(),
            [&](const QueryField& known) { return known.name == parameter.substr(0, separator); });
        if (separator == std::string_view::npos || field == queryFields.end())
            return makeError(ErrorCode::UnknownKey, "query", "only host, path, method, object, workspace and id");
        const std::optional<std::string> value = decodePercent(parameter.substr(separator + 1));
        if (!value)
            return makeError(ErrorCode::SyntaxError, std::string(field->name), "malformed percent encoding");
        parsed.*(field->member) = *value;
    }
    if (parsed.id.empty() && (parsed.host.empty() || !parsed.path.starts_with('/')))
        return makeError(ErrorCode::MissingKey, "query", "expected an id, or a host and a path that begins with '/'");
    return parsed;
}

Result<RequestExplanation> explain(const ExplanationSources& sources, ExplanationQuery query)
{
    std::optional<RequestFingerprint> fingerprint;
    if (!query.id.empty()) {
        const std::optional<RecentRequest> recent = sources.recentRequests.find(query.id);
        if (!recent)
            return makeError(ErrorCode::NotFound, "id", "this instance got no request with this id in the last minute");
        fingerprint = recent->fingerprint;
        query = { recent->host, recent->path, recent->method, recent->object, recent->workspace, recent->id };
    }
    RequestExplanation explanation;
    explanation.request = std::move(query);
    if (Status status = Explainer(sources, explanation).run(fingerprint); !status)
        return status.error();
    return explanation;
}

HttpResponse explainRequest(const ExplanationSources& sources, std::string_view query)
{
    const auto fail = [](http::status status, const Error& error) {
        Json::Value root;
        root[kindField] = explanationKind;
        root["error"] = describe(error);
        return makeJsonResponse(status, root);
    };
    const Result<ExplanationQuery> parsed = parseExplanationQuery(query);
    if (!parsed)
        return fail(http::status::bad_request, parsed.error());
    const Result<RequestExplanation> explanation = explain(sources, parsed.value());
    if (!explanation)
        return fail(http::status::not_found, explanation.error());
    return makeJsonResponse(http::status::ok, encodeExplanation(sources, explanation.value()));
}

HttpResponse listServers(const ExplanationSources& sources)
{
    Json::Value root = encodeInstance(serversKind, sources);
    root["services"] = Json::Value(Json::objectValue);
    for (const auto& [service, servers] : sources.fleet.serversByService()) {
        Json::Value& list = root["services"][service];
        for (const BackendServerPointer& server : servers)
            list.append(encodeServer(*server, sources.fleet, sources.clock.now()));
    }
    return makeJsonResponse(http::status::ok, root);
}

}
