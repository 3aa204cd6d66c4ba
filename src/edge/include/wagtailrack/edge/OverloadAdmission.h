#pragma once

#include <wagtailrack/edge/Placement.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>

namespace wagtailrack::edge {

// Properties of a caller's request on which its admission depends.
struct AdmissionRequest {
    std::string service;
    std::string route;
    // Empty if the request has none.
    std::string workspace;
    // 0 is the most urgent.
    int64_t priority = 0;
    int64_t targetLatencyMs = 0;
    // Whether the caller sends the request again, after it was refused or failed.
    bool isReturning = false;

    friend bool operator==(const AdmissionRequest&, const AdmissionRequest&) = default;
};

enum class AdmissionOutcome {
    Send,
    // The response would be late or worth less than what the slot is worth to others, whatever the priority.
    NoTime,
    // The wait at the server exceeds what the priority allows at this utilisation.
    Overload,
    // As Overload, for a request beyond the usual share of its workspace.
    WorkspaceShare,
};

const char* toString(AdmissionOutcome outcome) noexcept;

struct AdmissionDecision {
    AdmissionOutcome outcome = AdmissionOutcome::Send;
    // Longest expected wait at the server with which the request is sent; unlimited without overload.
    double waitLimitMs = std::numeric_limits<double>::infinity();
};

// Decides whether a request is sent to the server that was chosen for it, or refused as not executed. Without overload
// the decision is that of shouldSend(). As the requests per slot of a region rise, the wait at the server is limited
// for all requests, more tightly for less urgent ones and for those of a workspace beyond its usual share, so that
// urgent requests find short queues. A route, priority or workspace that is served far less often than the mean of its
// service gets the limit of the most urgent requests.
//
// Nothing waits here: the simulation in OverloadAdmissionTest shows that requests held at the instance are served later
// than those whose callers return after a short time (docs/design/request-queue.md).
//
// State: decaying counts of this instance's own requests, by service, priority, route and workspace; bounded by
// `maximumWorkspaces` and by the configuration. Lost at a restart; the counts are then learned again. Time is measured
// in requests of the service. Exists for the lifetime of the process; used by the event loop's thread only.
class OverloadAdmission {
public:
    // Workspaces of one service with counts. Requests of further workspaces are admitted without regard to their share.
    static constexpr size_t maximumWorkspaces = 1000;

    // Counts a request of a caller. Returns whether it is beyond the usual share of its workspace.
    bool recordArrival(const AdmissionRequest& request);
    // Returns what recordArrival() would return, without counting the request.
    bool isBeyondWorkspaceShare(const AdmissionRequest& request) const;
    // Counts that the request is sent to a server, once for each arrival.
    void recordSend(const AdmissionRequest& request);
    AdmissionDecision decide(
        const AdmissionRequest& request, bool isBeyondWorkspaceShare, const PlacementChoice& choice) const;
    size_t workspaceCount(const std::string& service) const;

private:
    // Decaying counts of the requests of one kind, as of the arrival with the number `at`.
    struct Counts {
        double asked = 0;
        double sent = 0;
        uint64_t at = 0;
        // Target latency of the latest request.
        double targetMs = 0;
    };

    struct WorkspaceState {
        Counts counts;
        // Number of requests of the workspace, decaying more slowly than `counts`: its usual share.
        double usualRequests = 0;
        // Requests that the workspace may send before they are beyond its share.
        double credit = 0;
    };

    struct ServiceState {
        uint64_t arrivals = 0;
        Counts all;
        std::map<int64_t, Counts> byPriority;
        std::map<std::string, Counts> byRoute;
        std::map<std::string, WorkspaceState> byWorkspace;
    };

    static void countArrival(Counts& counts, uint64_t arrival, double targetMs);
    static bool isRecent(const Counts& counts, uint64_t arrival) noexcept;
    static bool isUnderserved(const Counts& counts, const Counts& all) noexcept;
    static bool isAnyKindUnderserved(const ServiceState& state, const AdmissionRequest& request);
    static double creditAt(const WorkspaceState& workspace, uint64_t arrival);
    static bool takeCredit(WorkspaceState& workspace, uint64_t arrival);
    static void removeStaleKinds(ServiceState& state);

    std::map<std::string, ServiceState> services;
};

}
