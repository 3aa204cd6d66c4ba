#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/CallerSession.h>
#include <wagtailrack/edge/ClusterStateCache.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/HttpConnectionPool.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/Placement.h>
#include <wagtailrack/edge/RetryTokenBucket.h>

#include <wagtailrack/process/Metrics.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wagtailrack::edge {

// What the forwarder works with; all of it lives for the process.
struct ForwarderDependencies {
    asio::io_context& context;
    const Clock& clock;
    const EdgeSettings& settings;
    const EdgeHeaderNames& headers;
    ClusterStateCache& clusterState;
    BackendFleet& fleet;
    ShiftLimiter& shiftLimiter;
    InstanceMembership& membership;
    HttpConnectionPool& serverConnections;
    process::Metrics& metrics;
    EventLog& log;
};

// Answers callers' requests: finds the route, chooses a server, sends the request and sends it once more where that is
// allowed. Lives for the process; used by the event loop's thread only.
class RequestForwarder final : public RequestHandler {
public:
    explicit RequestForwarder(const ForwarderDependencies& services);

    asio::awaitable<void> handle(ExchangePointer exchange) override;
    bool canHandleConcurrently(const HttpRequest& request) const override;
    CallerLimits limits() const override;
    bool shouldCloseConnections() const override { return this->isDraining; }

    // From now on answers end their connections. Requests that arrive after `acceptUntil` are rejected: they would not
    // end before the process does.
    void startDraining(SteadyTime acceptUntil)
    {
        this->isDraining = true;
        this->acceptUntil = acceptUntil;
    }
    int64_t inFlightRequestCount() const noexcept { return this->inFlightRequests; }

private:
    // One request on its way: what was decided and what happened so far.
    struct ForwardingState {
        ExchangePointer exchange;
        RoutingTablePointer routingTable;
        RouteRule rule;
        std::string requestId;
        std::string affinityKey;
        std::string serviceName;
        SteadyTime deadline;
        std::set<const BackendServer*> excludedServers;
        // Servers to which the request was sent, and failed connections.
        int sendCount = 0;
        int connectFailureCount = 0;
        // A send may have run without an answer.
        bool isPossiblyExecuted = false;
        // Answer of a server to deliver when nothing better comes.
        std::optional<HttpResponse> fallbackResponse;
        // The last choice of a server and how the attempt ended.
        std::optional<PlacementChoice> lastChoice;
        double lastAttemptDurationMs = 0;
        std::string lastServerId;
        std::string lastCallOutcome;
        // Set by what ends the request.
        const char* outcome = "";
    };

    enum class Next {
        Finish,
        TryAnotherServer,
    };

    asio::awaitable<void> forwardRequest(ForwardingState& flight);
    asio::awaitable<Next> attemptSend(ForwardingState& flight, PlacementChoice choice);
    Next handleResponse(
        ForwardingState& flight, BackendServer& server, const PlacementChoice& choice, Call& call, double durationMs);
    // Ends a request that no server answers: with a server's failure if there is one, as unknown when it may have run,
    // and otherwise as not run for `reason`.
    void finishAfterFailure(ForwardingState& flight, const char* reason);
    Next retryOrFinish(ForwardingState& flight);
    bool prepareRequest(ForwardingState& flight);
    std::shared_ptr<Call> makeCall(const ForwardingState& flight, const BackendServer& server) const;
    // `durationMs` of the attempt without the way to the server.
    void recordProcessingTime(
        const ForwardingState& flight, BackendServer& server, const PlacementChoice& choice, double durationMs);
    void recordRoundTrip(const BackendServer& server, const Call& call);
    void recordServerLoad(BackendServer& server, const HttpResponse& response);
    void reject(ForwardingState& flight, const char* reason, double retryAfterSeconds);
    void respondWithError(ForwardingState& flight, http::status status, const char* reason);
    void forwardResponse(ForwardingState& flight, HttpResponse response, const char* outcome);
    void recordCompletion(const ForwardingState& flight);
    std::string chooseService(const RouteRule& rule);
    ProcessingTimeEstimate& processingTimeOf(const RouteRule& rule);
    void updateInstanceCounts();
    int instancesInRegion() const;
    double remainingMs(const ForwardingState& flight) const;
    double retrySlackPerInstance() const;

    ForwarderDependencies dependencies;
    std::map<std::string, RetryTokenBucket> retryTokenBuckets;
    std::map<std::string, ProcessingTimeEstimate> processingTimeByRoute;
    ColdServerSenders coldServerSenders;
    size_t aliveInstanceCount = 1;
    SteadyTime nextInstanceUpdateAt;
    // Round trips to other regions, from the time that connections to their servers take.
    std::map<std::string, double> roundTripsMs;
    // Error of each share's count against its weight, by route and service.
    std::map<std::string, std::map<std::string, double>> trafficSplitDeficits;
    int64_t inFlightRequests = 0;
    bool isDraining = false;
    SteadyTime acceptUntil;
};

}
