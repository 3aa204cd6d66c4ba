#pragma once

#include <wagtailrack/edge/ApiKey.h>
#include <wagtailrack/edge/CrashQuarantine.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/OverloadAdmission.h>
#include <wagtailrack/edge/Placement.h>
#include <wagtailrack/edge/RecentRequests.h>
#include <wagtailrack/edge/RegionShares.h>
#include <wagtailrack/edge/ShiftLimiter.h>
#include <wagtailrack/edge/TrafficSplit.h>
#include <wagtailrack/edge/UsageLimiter.h>

#include <wagtailrack/base/Error.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Tells an operator where this instance would send a request now, and why, without sending it. Uses the functions that
// decide on requests, on constant objects: a question changes no token, share, counter or statistic. Without state,
// input or output; used by the event loop's thread. Times are in milliseconds unless a name says otherwise.
namespace wagtailrack::edge {

// What a decision depends on.
struct ExplanationSources {
    const Clock& clock;
    const EdgeSettings& settings;
    // Null: no configuration is known yet.
    RoutingTablePointer table;
    int64_t configurationAgeMs = -1;
    bool isConfigurationOutdated = false;
    bool isStopping = false;
    const BackendFleet& fleet;
    const ShiftLimiter& shiftLimiter;
    const RegionShares& regionShares;
    const CrashQuarantine& quarantine;
    const UsageLimiter& usageLimiter;
    const OverloadAdmission& admission;
    const TrafficSplit& trafficSplit;
    const std::map<std::string, ProcessingTimeEstimate>& processingTimeByRoute;
    const std::map<std::string, double>& roundTripsMs;
    const ColdServerSenders& coldServerSenders;
    bool isPreferredServerWarm = false;
    // Whether an idle connection to the server is open.
    std::function<bool(const BackendServer&)> hasIdleConnection;
    const RecentRequests& recentRequests;
};

// The request that is asked about: one with these properties, or one of the last minute with this id.
struct ExplanationQuery {
    std::string host;
    std::string path;
    std::string method = "GET";
    // Affinity key.
    std::string object {};
    // Name of the workspace.
    std::string workspace {};
    std::string id {};

    friend bool operator==(const ExplanationQuery&, const ExplanationQuery&) = default;
};

// Reads the query part of a target. Fails with UnknownKey, MissingKey or SyntaxError; the text of the failure does not
// repeat values, since one may be an API key.
Result<ExplanationQuery> parseExplanationQuery(std::string_view query);

struct ExplainedServer {
    BackendServerPointer server;
    // "chosen", "lower-score", the outcome of the admission, or a ServerExclusion.
    std::string reason;
    // Only of servers that were scored.
    std::optional<double> score;
    double load = 0;
    double expectedWaitMs = 0;
    double expectedProcessingMs = 0;
    double networkMs = 0;
    bool isObjectCached = false;
};

// What the caller of the request would get instead of a server's response.
struct ExpectedRefusal {
    std::string reason;
    unsigned status = 0;
    // Negative: the response has no Retry-After.
    double retryAfterSeconds = -1;

    friend bool operator==(const ExpectedRefusal&, const ExpectedRefusal&) = default;
};

struct RequestExplanation {
    ExplanationQuery request;
    std::optional<uint64_t> configurationVersion;
    // The route with the regions that the workspace allows as well; nothing if there is none.
    std::optional<RouteRule> rule;
    std::optional<Workspace> workspace;
    UsageLimiter::Remainder usage;
    SendDecision quarantine = SendDecision::Send;
    std::string service;
    std::string objectRegion;
    // The best server first, then the ones that were left out.
    std::vector<ExplainedServer> servers;
    std::optional<PlacementChoice> choice;
    std::optional<AdmissionDecision> admission;
    // Nothing: the request would be sent to the server of `choice`.
    std::optional<ExpectedRefusal> refusal;
    // What would happen if no server could be chosen.
    std::optional<ExpectedRefusal> withoutServer;
};

// Fails with NotFound if the instance knows no such request or workspace.
Result<RequestExplanation> explain(const ExplanationSources& sources, ExplanationQuery query);

// Responses to GET /explain and GET /servers at the internal address, in JSON.
HttpResponse explainRequest(const ExplanationSources& sources, std::string_view query);
HttpResponse listServers(const ExplanationSources& sources);

}
