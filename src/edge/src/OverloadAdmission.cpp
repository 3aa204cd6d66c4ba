#include <wagtailrack/edge/OverloadAdmission.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Number of requests of a service in which the counts decay; a few seconds of an instance with 20 requests a second.
constexpr double countDecayRequests = 200;
// As above, for the usual share of a workspace: a burst of some seconds changes it little.
constexpr double usualShareDecayRequests = 1000;
// Requests after which shares are known well enough to tell a burst of a workspace from its usual traffic.
constexpr uint64_t shareLearningRequests = 200;
// A workspace may exceed its usual share by this factor, and by this number of requests at once: with a few requests a
// second at one instance, their number varies by chance.
constexpr double shareTolerance = 1.5;
constexpr double maximumCredit = 4;
// Weight of a request beyond the share in the usual share, so that a burst does not soon count as usual.
constexpr double beyondShareWeight = 0.25;
// Number of arrivals after which kinds without requests are removed.
constexpr uint64_t staleKindArrivals = 4000;
constexpr uint64_t removalInterval = 500;

// A kind that is sent less often than this fraction of the mean of its service is given the limit of the most urgent
// requests. Above the quarter that is guaranteed, because sent requests may still fail.
constexpr double underservedRatio = 0.35;
// Decayed number of requests from which on a kind's ratio is considered.
constexpr double minimumAskedRequests = 3;

// Limit of the expected wait at the server, relative to the target latency: `fullWaitRatio` at the end of the
// utilisation range, and `rangeWaitRatio` more at its start. The values gave the highest total worth of those that
// were simulated; waits that are not limited at all leave one in eight responses in time at 1.3 times the capacity.
struct WaitLimit {
    double startUtilisation;
    double fullUtilisation;
    double fullWaitRatio;
    double rangeWaitRatio;
};

// By the number of more urgent priorities; the last one also holds for all further ones.
constexpr std::array<WaitLimit, 3> limitsByLevel { {
    { 1.0, 1.3, 0.5, 2 },
    { 1.0, 1.3, 0.3, 2 },
    { 1.0, 1.3, 0.1, 2 },
} };
constexpr WaitLimit beyondShareLimit { 0.8, 1.0, 0.1, 1 };

double waitLimitMs(const WaitLimit& limit, double utilisation, double targetMs)
{
    if (utilisation <= limit.startUtilisation)
        return std::numeric_limits<double>::infinity();
    const double fraction
        = std::min(1.0, (utilisation - limit.startUtilisation) / (limit.fullUtilisation - limit.startUtilisation));
    return targetMs * (limit.fullWaitRatio + limit.rangeWaitRatio * (1 - fraction));
}

double decayFactor(uint64_t arrivals, double decayRequests)
{
    return std::exp(-static_cast<double>(arrivals) / decayRequests);
}

}

const char* toString(AdmissionOutcome outcome) noexcept
{
    switch (outcome) {
    case AdmissionOutcome::Send:
        return "send";
    case AdmissionOutcome::NoTime:
        return "no-time";
    case AdmissionOutcome::Overload:
        return "overload";
    case AdmissionOutcome::WorkspaceShare:
        return "workspace-share";
    }
    return "unknown";
}

void OverloadAdmission::countArrival(Counts& counts, uint64_t arrival, double targetMs)
{
    const double factor = decayFactor(arrival - counts.at, countDecayRequests);
    counts.asked = counts.asked * factor + 1;
    counts.sent *= factor;
    counts.at = arrival;
    counts.targetMs = targetMs;
}

bool OverloadAdmission::isRecent(const Counts& counts, uint64_t arrival) noexcept
{
    return static_cast<double>(arrival - counts.at) <= countDecayRequests;
}

bool OverloadAdmission::isUnderserved(const Counts& counts, const Counts& all) noexcept
{
    return counts.asked > minimumAskedRequests
        && counts.sent * std::max(all.asked, 1.0) < underservedRatio * all.sent * counts.asked;
}

bool OverloadAdmission::isAnyKindUnderserved(const ServiceState& state, const AdmissionRequest& request)
{
    const auto priority = state.byPriority.find(request.priority);
    if (priority != state.byPriority.end() && isUnderserved(priority->second, state.all))
        return true;
    const auto route = state.byRoute.find(request.route);
    if (route != state.byRoute.end() && isUnderserved(route->second, state.all))
        return true;
    const auto workspace = state.byWorkspace.find(request.workspace);
    return workspace != state.byWorkspace.end() && isUnderserved(workspace->second.counts, state.all);
}

double OverloadAdmission::creditAt(const WorkspaceState& workspace, uint64_t arrival)
{
    const uint64_t elapsed = arrival - workspace.counts.at;
    // Decaying number of all requests; after a start, the workspace's number is small because all numbers are.
    const double allRequests = usualShareDecayRequests * (1 - decayFactor(arrival, usualShareDecayRequests));
    const double usualShare = workspace.usualRequests / std::max(allRequests, 1.0);
    return std::min(workspace.credit + shareTolerance * usualShare * static_cast<double>(elapsed), maximumCredit);
}

bool OverloadAdmission::takeCredit(WorkspaceState& workspace, uint64_t arrival)
{
    const uint64_t elapsed = arrival - workspace.counts.at;
    workspace.credit = creditAt(workspace, arrival);
    const bool hasCredit = workspace.credit >= 1;
    workspace.credit -= hasCredit ? 1 : 0;
    const double weight = hasCredit || arrival <= shareLearningRequests ? 1 : beyondShareWeight;
    workspace.usualRequests = workspace.usualRequests * decayFactor(elapsed, usualShareDecayRequests) + weight;
    return hasCredit;
}

void OverloadAdmission::removeStaleKinds(ServiceState& state)
{
    const auto isStale = [&state](const Counts& counts) { return state.arrivals - counts.at > staleKindArrivals; };
    std::erase_if(state.byPriority, [&](const auto& entry) { return isStale(entry.second); });
    std::erase_if(state.byRoute, [&](const auto& entry) { return isStale(entry.second); });
    std::erase_if(state.byWorkspace, [&](const auto& entry) { return isStale(entry.second.counts); });
}

bool OverloadAdmission::recordArrival(const AdmissionRequest& request)
{
    ServiceState& state = this->services[request.service];
    const uint64_t arrival = ++state.arrivals;
    const auto targetMs = static_cast<double>(request.targetLatencyMs);
    if (arrival % removalInterval == 0)
        removeStaleKinds(state);
    countArrival(state.all, arrival, targetMs);
    countArrival(state.byPriority[request.priority], arrival, targetMs);
    countArrival(state.byRoute[request.route], arrival, targetMs);
    if (request.workspace.empty())
        return false;
    auto workspace = state.byWorkspace.find(request.workspace);
    if (workspace == state.byWorkspace.end()) {
        if (state.byWorkspace.size() >= maximumWorkspaces)
            return false;
        workspace
            = state.byWorkspace.emplace(request.workspace, WorkspaceState { { 0, 0, arrival, 0 }, 0, maximumCredit })
                  .first;
    }
    const bool hasCredit = takeCredit(workspace->second, arrival);
    countArrival(workspace->second.counts, arrival, targetMs);
    return !hasCredit && arrival > shareLearningRequests;
}

bool OverloadAdmission::isBeyondWorkspaceShare(const AdmissionRequest& request) const
{
    const auto service = this->services.find(request.service);
    if (service == this->services.end() || request.workspace.empty())
        return false;
    const uint64_t arrival = service->second.arrivals + 1;
    const auto workspace = service->second.byWorkspace.find(request.workspace);
    return workspace != service->second.byWorkspace.end() && creditAt(workspace->second, arrival) < 1
        && arrival > shareLearningRequests;
}

void OverloadAdmission::recordSend(const AdmissionRequest& request)
{
    const auto service = this->services.find(request.service);
    if (service == this->services.end())
        return;
    ServiceState& state = service->second;
    state.all.sent += 1;
    const auto priority = state.byPriority.find(request.priority);
    if (priority != state.byPriority.end())
        priority->second.sent += 1;
    const auto route = state.byRoute.find(request.route);
    if (route != state.byRoute.end())
        route->second.sent += 1;
    const auto workspace = state.byWorkspace.find(request.workspace);
    if (workspace != state.byWorkspace.end())
        workspace->second.counts.sent += 1;
}

AdmissionDecision OverloadAdmission::decide(
    const AdmissionRequest& request, bool isBeyondWorkspaceShare, const PlacementChoice& choice) const
{
    if (!shouldSend(choice, request.isReturning))
        return { AdmissionOutcome::NoTime };
    auto targetMs = static_cast<double>(request.targetLatencyMs);
    size_t level = 0;
    const auto service = this->services.find(request.service);
    if (service != this->services.end()) {
        const ServiceState& state = service->second;
        // Longer targets of less urgent requests must not let them fill the queues in which urgent ones wait.
        for (const auto& [priority, counts] : state.byPriority) {
            if (priority >= request.priority || !isRecent(counts, state.arrivals))
                continue;
            ++level;
            targetMs = std::min(targetMs, counts.targetMs);
        }
    }
    const WaitLimit& levelLimit = limitsByLevel.at(std::min(level, limitsByLevel.size() - 1));
    const double limitMs
        = waitLimitMs(isBeyondWorkspaceShare ? beyondShareLimit : levelLimit, choice.utilisation, targetMs);
    if (choice.expectedWaitMs <= limitMs)
        return { AdmissionOutcome::Send, limitMs };
    if (service != this->services.end() && isAnyKindUnderserved(service->second, request)
        && choice.expectedWaitMs <= waitLimitMs(limitsByLevel.front(), choice.utilisation, targetMs))
        return { AdmissionOutcome::Send, limitMs };
    return { isBeyondWorkspaceShare ? AdmissionOutcome::WorkspaceShare : AdmissionOutcome::Overload, limitMs };
}

size_t OverloadAdmission::workspaceCount(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.byWorkspace.size();
}

}
