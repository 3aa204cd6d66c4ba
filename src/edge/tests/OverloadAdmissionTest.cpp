#include <wagtailrack/edge/OverloadAdmission.h>

#include <CppUTest/TestHarness.h>

#include "OverloadSimulation.h"
#include "TestSeed.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

namespace {

AdmissionRequest requestOf(const char* route, int64_t priority, const char* workspace = "")
{
    return { "prices", route, workspace, priority, 600, false };
}

PlacementChoice choiceOf(double utilisation, double waitMs)
{
    PlacementChoice choice;
    choice.score = 0.5;
    choice.utilisation = utilisation;
    choice.expectedWaitMs = waitMs;
    return choice;
}

simulation::OverloadLoad readAndPayLoad(double capacityRatio)
{
    simulation::OverloadLoad load;
    load.routes = { simulation::overloadRoute("tile", 2, 600, 4000, 650, 0.59, 1),
        simulation::overloadRoute("scan", 1, 800, 5000, 820, 0.205, 2),
        simulation::overloadRoute("pay", 0, 500, 2500, 440, 0.205, 3) };
    // 30 servers of 6 slots, and 192 ms for a cached object of the mix.
    load.requestsPerSecond = capacityRatio * 30 * 6 / 0.1924;
    load.seconds = 16;
    return load;
}

}

TEST_GROUP(OverloadAdmission)
{
    OverloadAdmission admission;

    void arrive(const AdmissionRequest& request, int count)
    {
        for (int index = 0; index < count; ++index)
            this->admission.recordArrival(request);
    }

    AdmissionOutcome outcome(const AdmissionRequest& request, const PlacementChoice& choice, bool isBeyondShare = false)
    {
        return this->admission.decide(request, isBeyondShare, choice).outcome;
    }
};

// Guards against a change for deployments that are not overloaded: the decision is that of shouldSend().
TEST(OverloadAdmission, withoutOverloadTheScoreDecides)
{
    this->arrive(requestOf("pay", 0), 50);
    this->arrive(requestOf("tile", 2), 50);
    CHECK_TRUE(this->outcome(requestOf("tile", 2), choiceOf(1, 5000)) == AdmissionOutcome::Send);
    PlacementChoice late = choiceOf(1, 5000);
    late.score = -0.1;
    CHECK_TRUE(this->outcome(requestOf("pay", 0), late) == AdmissionOutcome::NoTime);
}

// Guards against less urgent requests filling the queues of a full region before urgent ones; and against a difference
// between requests of equal priority.
TEST(OverloadAdmission, lessUrgentRequestsWaitLessInAFullRegion)
{
    this->arrive(requestOf("pay", 0), 50);
    this->arrive(requestOf("scan", 1), 50);
    this->arrive(requestOf("tile", 2), 50);
    const auto limit = [this](const AdmissionRequest& request) {
        return this->admission.decide(request, false, choiceOf(1.5, 0)).waitLimitMs;
    };
    CHECK_TRUE(limit(requestOf("pay", 0)) > limit(requestOf("scan", 1)));
    CHECK_TRUE(limit(requestOf("scan", 1)) > limit(requestOf("tile", 2)));
    DOUBLES_EQUAL(limit(requestOf("tile", 2)), limit(requestOf("other", 2)), 0.001);
    // The limit of a less urgent request follows the shortest target of the more urgent ones.
    AdmissionRequest slow = requestOf("report", 1);
    slow.targetLatencyMs = 6000;
    DOUBLES_EQUAL(limit(requestOf("scan", 1)), limit(slow), 0.001);
}

// Guards against a priority that stays behind others which are no longer requested.
TEST(OverloadAdmission, urgentRequestsOfThePastDoNotCount)
{
    this->arrive(requestOf("pay", 0), 50);
    this->arrive(requestOf("tile", 2), 300);
    OverloadAdmission fresh;
    fresh.recordArrival(requestOf("tile", 2));
    DOUBLES_EQUAL(fresh.decide(requestOf("tile", 2), false, choiceOf(1.5, 0)).waitLimitMs,
        this->admission.decide(requestOf("tile", 2), false, choiceOf(1.5, 0)).waitLimitMs, 0.001);
}

// Guards against a route that is refused for as long as more urgent ones fill the region.
TEST(OverloadAdmission, starvingRouteGetsTheLimitOfUrgentRequests)
{
    for (int index = 0; index < 50; ++index) {
        this->admission.recordArrival(requestOf("pay", 0));
        this->admission.recordSend(requestOf("pay", 0));
        this->admission.recordArrival(requestOf("tile", 2));
    }
    const PlacementChoice choice = choiceOf(1.5, 200);
    CHECK_TRUE(this->outcome(requestOf("tile", 2), choice) == AdmissionOutcome::Send);
    for (int index = 0; index < 30; ++index)
        this->admission.recordSend(requestOf("tile", 2));
    CHECK_TRUE(this->outcome(requestOf("tile", 2), choice) == AdmissionOutcome::Overload);
}

// Guards against a workspace with eight times its usual traffic that delays others, against treating usual traffic as a
// burst, and against a decision before the usual traffic is known.
TEST(OverloadAdmission, burstOfAWorkspaceIsBeyondItsShare)
{
    const auto beyondShare = [this](int rounds, int requestsOfSmall) {
        int count = 0;
        for (int round = 0; round < rounds; ++round) {
            this->arrive(requestOf("tile", 1, "large"), 9);
            for (int index = 0; index < requestsOfSmall; ++index)
                count += this->admission.recordArrival(requestOf("tile", 1, "small")) ? 1 : 0;
        }
        return count;
    };
    LONGS_EQUAL(0, beyondShare(5, 8));
    OverloadAdmission settled;
    this->admission = settled;
    LONGS_EQUAL(0, beyondShare(200, 1));
    CHECK_TRUE(beyondShare(10, 8) >= 40);
    CHECK_TRUE(
        this->outcome(requestOf("tile", 1, "small"), choiceOf(1, 300), true) == AdmissionOutcome::WorkspaceShare);
    CHECK_TRUE(this->outcome(requestOf("tile", 1, "large"), choiceOf(1, 300)) == AdmissionOutcome::Send);
}

// Guards against memory that grows with the names of workspaces.
TEST(OverloadAdmission, numberOfWorkspacesIsBounded)
{
    for (int workspace = 0; workspace < 12000; ++workspace)
        this->admission.recordArrival(requestOf("tile", 1, std::to_string(workspace).c_str()));
    CHECK_TRUE(this->admission.workspaceCount("prices") <= OverloadAdmission::maximumWorkspaces);
    this->arrive(requestOf("tile", 1), 5000);
    LONGS_EQUAL(0, this->admission.workspaceCount("prices"));
}

// 1.3 times the capacity. Guards against queues in which all responses are late, against less urgent requests that are
// served before urgent ones, and against routes that starve.
TEST(OverloadAdmission, overloadedServiceServesUrgentRequestsInTime)
{
    const uint32_t seed = testSeed(1);
    simulation::OverloadLoad load = readAndPayLoad(1.3);
    const simulation::OverloadResult admitted = simulation::OverloadRun(load, seed).execute();
    load.policy = simulation::AdmissionPolicy::ScoreOnly;
    load.isRetryAfterFromTarget = false;
    const simulation::OverloadResult before = simulation::OverloadRun(load, seed).execute();
    const std::string text = describeSeed(seed);
    CHECK_TEXT(admitted.all.worthRatio() > 2 * before.all.worthRatio(), text.c_str());
    CHECK_TEXT(admitted.byRoute.at("pay").worthRatio() > 0.8, text.c_str());
    for (const auto& [ignored, route] : admitted.byRoute)
        CHECK_TEXT(route.servedRatio() > 0.25 * admitted.all.servedRatio(), text.c_str());
    for (const auto& [urgent, other] : { std::pair("pay", "scan"), std::pair("scan", "tile") }) {
        CHECK_TEXT(
            admitted.byRoute.at(urgent).servedRatio() > admitted.byRoute.at(other).servedRatio() - 0.05, text.c_str());
        CHECK_TEXT(
            admitted.byRoute.at(urgent).worthRatio() > admitted.byRoute.at(other).worthRatio() - 0.15, text.c_str());
    }
}

// Deployments without workspaces whose routes have one priority. Guards against less worth in overload than by the
// score alone, and against refusals at 0.6 of the capacity.
TEST(OverloadAdmission, equalPrioritiesAreNotServedWorse)
{
    const uint32_t seed = testSeed(1);
    for (const double ratio : { 0.6, 1.3 }) {
        simulation::OverloadLoad load = readAndPayLoad(ratio);
        for (simulation::OverloadRoute& route : load.routes)
            route.rule.priority = 1;
        const simulation::OverloadResult admitted = simulation::OverloadRun(load, seed).execute();
        load.policy = simulation::AdmissionPolicy::ScoreOnly;
        load.isRetryAfterFromTarget = false;
        const simulation::OverloadResult before = simulation::OverloadRun(load, seed).execute();
        CHECK_TEXT(admitted.all.worthRatio() > before.all.worthRatio() - 0.005, describeSeed(seed).c_str());
        if (ratio < 1)
            CHECK_TEXT(admitted.all.servedRatio() > 0.995, describeSeed(seed).c_str());
    }
}

// One workspace sends eight times its usual traffic for ten seconds, to a service with 0.7 of its capacity in use.
// Guards against a burst whose costs the other workspaces bear, and against refusing nearly all requests of the
// workspace.
TEST(OverloadAdmission, burstOfAWorkspaceCostsThatWorkspaceMost)
{
    const uint32_t seed = testSeed(1);
    simulation::OverloadLoad load = readAndPayLoad(0.7);
    for (simulation::OverloadRoute& route : load.routes)
        route.rule.priority = 1;
    load.workspaces = 20;
    load.workspaceSurge = 8;
    load.seconds = 36;
    load.surgeFromSecond = 26;
    load.surgeToSecond = 36;
    load.measuredFromSecond = 26;
    const simulation::OverloadResult admitted = simulation::OverloadRun(load, seed).execute();
    load.policy = simulation::AdmissionPolicy::ScoreOnly;
    load.isRetryAfterFromTarget = false;
    const simulation::OverloadResult before = simulation::OverloadRun(load, seed).execute();
    const auto worthOfOthers = [](const simulation::OverloadResult& result) {
        const simulation::KindResult& bursting = result.byWorkspace.at("t3");
        return (result.all.worth - bursting.worth) / (result.all.possibleWorth - bursting.possibleWorth);
    };
    CHECK_TEXT(worthOfOthers(admitted) > worthOfOthers(before), describeSeed(seed).c_str());
    CHECK_TEXT(worthOfOthers(admitted) > 0.85, describeSeed(seed).c_str());
    CHECK_TEXT(worthOfOthers(admitted) > admitted.byWorkspace.at("t3").worthRatio(), describeSeed(seed).c_str());
    CHECK_TEXT(
        admitted.byWorkspace.at("t3").servedRatio() > 0.25 * admitted.all.servedRatio(), describeSeed(seed).c_str());
}
