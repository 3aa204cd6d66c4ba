#pragma once

#include <wagtailrack/edge/ApiKey.h>
#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/CallerSession.h>
#include <wagtailrack/edge/ClusterStateCache.h>
#include <wagtailrack/edge/CrashDetector.h>
#include <wagtailrack/edge/CrashQuarantine.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/HttpConnectionPool.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/OverloadAdmission.h>
#include <wagtailrack/edge/Placement.h>
#include <wagtailrack/edge/RecentRequests.h>
#include <wagtailrack/edge/RefusalDelays.h>
#include <wagtailrack/edge/RequestExplanation.h>
#include <wagtailrack/edge/RetryTokenBucket.h>
#include <wagtailrack/edge/ServerNotices.h>
#include <wagtailrack/edge/TrafficSplit.h>
#include <wagtailrack/edge/UsageLimiter.h>

#include <wagtailrack/process/Metrics.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wagtailrack::edge {

// Objects that RequestForwarder uses; all of them live as long as the process.
struct ForwarderDependencies {
    asio::io_context& context;
    const Clock& clock;
    const EdgeSettings& settings;
    const EdgeHeaderNames& headers;
    ClusterStateCache& clusterState;
    BackendFleet& fleet;
    ShiftLimiter& shiftLimiter;
    RegionShares& regionShares;
    InstanceMembership& membership;
    HttpConnectionPool& serverConnections;
    CrashDetector& crashDetector;
    CrashQuarantine& crashQuarantine;
    UsageLimiter& usageLimiter;
    process::Metrics& metrics;
    EventLog& log;
};

// Forwards callers' requests to backend servers: finds the route, chooses a server, sends the request and retries it
// where that is allowed. Lives as long as the process; used by the event loop's thread only.
class RequestForwarder final : public RequestHandler {
public:
    explicit RequestForwarder(const ForwarderDependencies& services);

    asio::awaitable<void> handle(ExchangePointer exchange) override;
    bool canHandleConcurrently(const HttpRequest& request) const override;
    CallerLimits limits() const override;
    void handleRefusedRequest(const RefusedRequest& refused, HttpResponse& response) override;
    bool shouldCloseConnections() const override { return this->isDraining; }

    // From now on connections are closed after a response. Requests that arrive at `acceptUntil` or later are rejected,
    // because they would not finish before the process exits.
    void startDraining(SteadyTime acceptUntil)
    {
        this->isDraining = true;
        this->acceptUntil = acceptUntil;
    }
    // What explainRequest() reads; valid as long as this object.
    ExplanationSources explanationSources() const;
    int64_t inFlightRequestCount() const noexcept { return this->inFlightRequests; }

private:
    // State of one request while it is forwarded: decisions and results of the attempts so far.
    struct ForwardingState {
        ExchangePointer exchange;
        RoutingTablePointer routingTable;
        // The route, with the regions that both it and the workspace allow.
        RouteRule rule;
        // Name of the workspace whose API key the request carries; empty if it carries none.
        std::string workspaceName;
        // The workspace's priority if it has one, otherwise that of the route.
        int64_t priority = 0;
        // Decision on the usage limit of the workspace, which the request is counted for even if its key is withdrawn
        // later.
        std::string limitedWorkspaceName;
        UsageDecision usage;
        std::string requestId;
        RequestFingerprint fingerprint = 0;
        std::string affinityKey;
        std::string serviceName;
        SteadyTime deadline;
        // Whether the caller sends the request again, after it was rejected or failed.
        bool isReturning = false;
        // Whether the request is beyond the usual share of its workspace, and whether it counts as sent there.
        bool isBeyondWorkspaceShare = false;
        bool isCountedAsSent = false;
        // Latest decision on whether the request is sent, and on how long it may wait at the server.
        AdmissionDecision admission;
        std::set<const BackendServer*> excludedServers;
        // Whether the request may be sent although it is suspected of crashing servers; until it has been sent.
        bool isSendGranted = false;
        // Until when the request waits for another copy of it that is being tried; the epoch: it does not wait.
        SteadyTime waitsUntil;
        // Number of times that the request was sent, and number of failed connection attempts.
        int sendCount = 0;
        int connectFailureCount = 0;
        // Whether the connection of an attempt ended without a response: further attempts open a new connection, which
        // shows that their server has not ended with the first one's.
        bool needsNewConnection = false;
        // Whether a server may have executed the request without returning a successful response.
        bool isPossiblyExecuted = false;
        // Error response of a server, returned to the caller if no later attempt succeeds.
        std::optional<HttpResponse> fallbackResponse;
        // Latest choice of a server, and duration, server and outcome of the latest attempt.
        std::optional<PlacementChoice> lastChoice;
        double lastAttemptDurationMs = 0;
        std::string lastServerId;
        std::string lastCallOutcome;
        // Whether the response is one of a server, not one that this instance made.
        bool isServerResponse = false;
        // The response, if it is passed on while it arrives.
        ResponseRelayPointer relay;
        // Set when the request ends; label of the metrics and field of the event log.
        const char* outcome = "";
    };

    enum class NextStep {
        Finish,
        TryAnotherServer,
    };

    asio::awaitable<void> forwardRequest(ForwardingState& state);
    // Applies the quarantine to a request that is to be sent. Rejects it if the result is Refuse.
    SendDecision checkQuarantine(ForwardingState& state);
    static AdmissionRequest admissionRequestOf(const ForwardingState& state);
    // Returns whether the request is sent to the chosen server; refuses it otherwise.
    bool admit(ForwardingState& state, const PlacementChoice& choice);
    asio::awaitable<void> pause(Milliseconds duration);
    asio::awaitable<NextStep> attemptSend(ForwardingState& state, PlacementChoice choice);
    // Makes the call pass a large response on while it arrives.
    void prepareRelay(ForwardingState& state, const std::shared_ptr<Call>& call);
    // Waits until the caller has the whole response, which has arrived.
    asio::awaitable<void> finishRelay(ForwardingState& state);
    // Ends a request whose caller has been sent a part of the response.
    void endBrokenRelay(ForwardingState& state, BackendServer& server, CallOutcome outcome);
    NextStep handleResponse(
        ForwardingState& state, BackendServer& server, const PlacementChoice& choice, Call& call, double durationMs);
    // Ends a request for which no attempt succeeded: with a server's error response if there is one, with
    // "outcome-unknown" if a server may have executed the request, and otherwise with `reason` as not executed.
    void finishAfterFailure(ForwardingState& state, const char* reason);
    // As above, with the Retry-After of a refused request.
    void finishAfterFailure(ForwardingState& state, const char* reason, double retryAfterSeconds);
    NextStep retryOrFinish(ForwardingState& state);
    bool prepareRequest(ForwardingState& state);
    void keepForExplanation(const ForwardingState& state);
    // Counts the request for the usage limit of its workspace. Responds to the caller and returns false if it is
    // refused.
    bool admitUsage(ForwardingState& state);
    // Waits for the decision on the usage limit if it is pending; as admitUsage().
    asio::awaitable<bool> awaitUsageDecision(ForwardingState& state);
    bool applyUsageDecision(ForwardingState& state, const Workspace& workspace);
    // Returns the request to its workspace's usage limit if no server has executed it.
    void refundUsage(const ForwardingState& state);
    // Finds the route and the workspace of the request in `state.routingTable`. Responds to the caller and returns
    // false if the request must not be forwarded.
    bool resolveRoute(ForwardingState& state);
    // As resolveRoute(), for the API key alone.
    bool resolveWorkspace(ForwardingState& state);
    static ConnectionUse connectionUseOf(const ForwardingState& state);
    std::shared_ptr<Call> makeCall(const ForwardingState& state, const BackendServer& server) const;
    // `durationMs` is the duration of the attempt without the time to connect and the network round trip.
    void recordProcessingTime(const ForwardingState& state, BackendServer& server, const PlacementChoice& choice,
        double durationMs, const ReportedServerLoad& reported);
    // Finds out whether the server of an attempt that ended without a response has ended.
    void investigateBrokenAttempt(
        const ForwardingState& state, const BackendServerPointer& server, const Call& call, SteadyTime sentAt);
    asio::awaitable<void> probeServer(BackendServerPointer server);
    void recordRoundTrip(const BackendServer& server, const Call& call);
    // Applies what a server tells about itself in the head of a response to a request for the server `addressed`.
    void applyServerNotices(BackendServer& addressed, const http::response_header<>& head);
    bool mayReceiveRequests(const BackendServer& server) const;
    // Ends a request for which no further server may be used. If all servers of the service pause and it has not been
    // executed, it is rejected until the first pause ends; otherwise as finishAfterFailure() does.
    void finishWithoutServer(ForwardingState& state, const char* reason);
    // Records the load that the server tells in its response, and returns it.
    ReportedServerLoad recordServerLoad(BackendServer& server, const HttpResponse& response);
    // Rejects the request as not executed, with a Retry-After of at most a third of the time that its caller has left.
    void reject(ForwardingState& state, const char* reason, double retryAfterSeconds);
    // As reject(), with a Retry-After that may be longer than the caller waits.
    void rejectFor(ForwardingState& state, const char* reason, double seconds);
    void respondWithError(ForwardingState& state, http::status status, const char* reason);
    void refuseUnknownRoute(ForwardingState& state);
    void refuseKey(ForwardingState& state, KeyProblem problem);
    void forwardResponse(ForwardingState& state, HttpResponse response, const char* outcome);
    void recordCompletion(const ForwardingState& state);
    // `origin` is "instance" for a response that this instance made, and "server" for one of a server.
    void countResponse(unsigned status, const char* origin);
    // Age of the copy of the configuration; -1 while no configuration is known.
    int64_t configurationAgeMs() const;
    ProcessingTimeEstimate& processingTimeOf(const RouteRule& rule);
    void updateInstanceCounts();
    double remainingMs(const ForwardingState& state) const;
    bool isPreferredServerWarm() const;
    bool isReturningCaller(const RouteRule& rule, int64_t callerTimeoutMs);
    double retrySlackPerInstance() const;

    ForwarderDependencies dependencies;
    RecentRequests recentRequests;
    // After a restart of a running system.
    SteadyTime warmCachesAssumedUntil;
    std::map<std::string, RetryTokenBucket> retryTokenBuckets;
    OverloadAdmission overloadAdmission;
    std::map<std::string, ProcessingTimeEstimate> processingTimeByRoute;
    // Time that callers wait for their first try of a request, by route.
    std::map<std::string, double> fullCallerTimeoutMs;
    ColdServerSenders coldServerSenders;
    size_t sharingInstanceCount = 1;
    SteadyTime nextInstanceUpdateAt;
    // Round-trip times to other regions, estimated from the time to connect to their servers.
    std::map<std::string, double> roundTripsMs;
    TrafficSplit trafficSplit;
    int64_t inFlightRequests = 0;
    bool isDraining = false;
    SteadyTime acceptUntil;
};

}
