#include "TestSeed.h"
#include "UsageSimulation.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace wagtailrack;
using namespace wagtailrack::edge;
using simulation::UsageFleet;

namespace {

constexpr int64_t startMs = 6000;

// Instances with a power law of demand, in an order that does not depend on their domain.
std::vector<double> unevenWeights(size_t count, uint32_t seed)
{
    std::vector<double> weights;
    for (size_t rank = 1; rank <= count; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank), -0.8));
    std::mt19937 random(seed);
    std::shuffle(weights.begin(), weights.end(), random);
    return weights;
}

std::vector<double> regionWeights(const UsageFleet& fleet, size_t region, double partInRegion)
{
    std::vector<double> weights;
    for (size_t index = 0; index < fleet.instances.size(); ++index)
        weights.push_back(fleet.regionOf(index) == region ? partInRegion : 1 - partInRegion);
    return weights;
}

Workspace limited(double perSecond) { return { "mill", {}, perSecond, perSecond, {} }; }

struct Fleet {
    size_t instances;
    size_t domains;
    size_t regions;
};

constexpr Fleet small { 75, 6, 3 };
constexpr Fleet large { 1300, 56, 18 };

}

TEST_GROUP(UsageExchange)
{
    uint32_t seed = testSeed(4711);

    void checkBound(const UsageFleet& fleet) const
    {
        CHECK_TEXT(static_cast<double>(fleet.mostInWindow) <= fleet.bound(), describeSeed(this->seed).c_str());
    }

    void checkUnevenDemand(const Fleet& size, double limit)
    {
        UsageFleet fleet(size.instances, size.domains, size.regions, limited(limit), this->seed);
        const std::vector<double> weights = unevenWeights(size.instances, this->seed);
        fleet.run(startMs, limit, weights);
        fleet.resetCounts();
        fleet.run(12'000, limit, weights);
        fleet.finishWaiting();
        this->checkBound(fleet);
        CHECK_TEXT(fleet.servedShareOfLimit() >= 0.95, describeSeed(this->seed).c_str());
    }

    void checkMovedDemand(const Fleet& size, double limit)
    {
        UsageFleet fleet(size.instances, size.domains, size.regions, limited(limit), this->seed);
        fleet.run(startMs, limit, regionWeights(fleet, 0, 0.95));
        for (const double part : { 0.8, 0.6, 0.4, 0.2, 0.05 }) {
            std::vector<double> weights = regionWeights(fleet, 1, 1 - part);
            const std::vector<double> before = regionWeights(fleet, 0, part);
            for (size_t index = 0; index < weights.size(); ++index)
                weights[index] = fleet.regionOf(index) <= 1 ? weights[index] + before[index] : 0.05;
            fleet.run(200, limit, weights);
        }
        fleet.resetCounts();
        fleet.run(2000, limit, regionWeights(fleet, 1, 0.95));
        fleet.finishWaiting();
        this->checkBound(fleet);
        CHECK_TEXT(fleet.servedShareOfLimit() >= 0.85, describeSeed(this->seed).c_str());
    }

    // The workspace's usual demand is its limit / 1.6.
    void checkSurge(UsageFleet & fleet)
    {
        const std::vector<double> even(fleet.instances.size(), 1);
        const double limit = fleet.workspace.requestsPerSecond;
        fleet.run(startMs, limit / 1.6, even);
        fleet.resetCounts();
        fleet.run(7000, 7.6 * limit / 1.6, even);
        this->checkBound(fleet);
    }
};

// Guards against a workspace that is refused below its limit, because its requests arrive at a few instances.
TEST(UsageExchange, unevenDemandGetsTheWholeLimit)
{
    for (const double limit : { 5.0, 40.0, 900.0 })
        this->checkUnevenDemand(small, limit);
}

TEST(UsageExchange, unevenDemandGetsTheWholeLimitInALargeSystem)
{
    for (const double limit : { 5.0, 900.0 })
        this->checkUnevenDemand(large, limit);
}

// Guards against shares that stay where the workspace's callers were.
TEST(UsageExchange, sharesFollowDemandToAnotherRegion)
{
    for (const double limit : { 5.0, 40.0, 900.0 })
        this->checkMovedDemand(small, limit);
}

TEST(UsageExchange, sharesFollowDemandToAnotherRegionInALargeSystem) { this->checkMovedDemand(large, 900); }

// Guards against more requests than the limit, when all instances spend what they have at the same time.
TEST(UsageExchange, surgeEverywhereStaysWithinTheBound)
{
    for (const double limit : { 5.0, 40.0, 900.0 }) {
        UsageFleet fleet(small.instances, small.domains, small.regions, limited(limit), this->seed);
        this->checkSurge(fleet);
        CHECK_TRUE(static_cast<double>(fleet.served) >= 7 * limit * 0.95);
    }
    UsageFleet fleet(large.instances, large.domains, large.regions, limited(900), this->seed);
    this->checkSurge(fleet);
}

// Guards against hubs that hold a share twice, and against tokens of messages that are late or were kept by a process
// that stood still: loss, delays of a second, cuts between and inside domains, deaths, restarts and pauses, while the
// workspace sends far more than its limit.
TEST(UsageExchange, faultsKeepTheSurgeWithinTheBound)
{
    for (const double limit : { 5.0, 40.0, 300.0 }) {
        std::mt19937 random(this->seed + static_cast<uint32_t>(limit));
        UsageFleet fleet(small.instances, small.domains, small.regions, limited(limit), this->seed);
        const std::vector<double> weights = unevenWeights(small.instances, this->seed);
        const auto chooseIndex = [&] { return std::uniform_int_distribution<size_t>(0, small.instances - 1)(random); };
        fleet.run(startMs, limit / 1.6, weights);
        for (int round = 0; round < 60; ++round) {
            fleet.lossProbability = round % 3 == 0 ? 0.3 : 0;
            fleet.extraDelayMs = round % 4 == 0 ? 1000 : 0;
            const size_t index = chooseIndex();
            switch (std::uniform_int_distribution<int>(0, 4)(random)) {
            case 0:
                // The first instances of the domains are their hubs.
                fleet.kill(index % 2 == 0 ? index : index % small.domains);
                break;
            case 1:
                for (size_t dead = 0; dead < small.instances; ++dead) {
                    if (!fleet.instances[dead])
                        fleet.start(dead);
                }
                break;
            case 2:
                fleet.pause(index % 2 == 0 ? index : index % small.domains, 3000);
                break;
            case 3:
                for (size_t cut = 0; cut < small.instances; ++cut)
                    fleet.setGroup(cut, index % 2 == 0 ? (fleet.regionOf(cut) == 0) : (cut % 5 == 0));
                break;
            default:
                for (size_t healed = 0; healed < small.instances; ++healed)
                    fleet.setGroup(healed, 0);
            }
            fleet.run(700, 7.6 * limit / 1.6, weights);
        }
        this->checkBound(fleet);
    }
}

// Guards against a cut that takes the workspace's limit from one side, or that gives it to both.
TEST(UsageExchange, bothSidesOfACutServeTheUsualDemand)
{
    UsageFleet fleet(small.instances, small.domains, small.regions, limited(40), this->seed);
    const std::vector<double> even(small.instances, 1);
    fleet.run(startMs, 25, even);
    for (size_t index = 0; index < small.instances; ++index)
        fleet.setGroup(index, fleet.regionOf(index) == 0 ? 1 : 0);
    fleet.resetCounts();
    fleet.run(9000, 25, even);
    CHECK_TEXT(fleet.servedShareOfLimit() >= 0.95, describeSeed(this->seed).c_str());
    fleet.run(7000, 300, even);
    this->checkBound(fleet);
}

// Guards against refusals of a workspace within its limit while its hub is replaced.
TEST(UsageExchange, usualDemandIsServedAfterAHubHasDied)
{
    UsageFleet fleet(small.instances, small.domains, small.regions, limited(40), this->seed);
    const std::vector<double> even(small.instances, 1);
    fleet.run(startMs, 25, even);
    fleet.resetCounts();
    fleet.kill(0);
    // Callers notice the death of their instance at once.
    std::vector<double> others = even;
    others[0] = 0;
    fleet.run(3000, 25, others);
    this->checkBound(fleet);
    CHECK_TEXT(fleet.servedShareOfLimit() >= 0.95, describeSeed(this->seed).c_str());
}

// Guards against tokens of the former limit that are used on.
TEST(UsageExchange, loweredLimitHoldsAfterOneWindow)
{
    UsageFleet fleet(small.instances, small.domains, small.regions, limited(200), this->seed);
    const std::vector<double> even(small.instances, 1);
    fleet.run(startMs + 5000, 400, even);
    fleet.setWorkspace(limited(20));
    fleet.run(fleet.bounds.usageWindowMs, 400, even);
    fleet.resetCounts();
    fleet.run(6000, 400, even);
    this->checkBound(fleet);
}

// Guards against buckets that allow more than the bound, in a window that begins with full ones.
TEST(UsageExchange, bucketsAreWithinTheBound)
{
    for (const double rate : { 0.5, 3.0, 50.0, 2000.0 }) {
        for (const double burst : { 0.0, rate / 2, rate, 10 * rate }) {
            for (const double slack : { 0.0, 20.0 }) {
                FleetBounds bounds;
                bounds.usageSlack = slack;
                const UsageBucketSize size = usageBucketSize({ "mill", {}, rate, burst, {} }, bounds);
                const double used = size.tokensPerSecond * (5 + 0.65) + size.depth;
                CHECK_TRUE(used <= (rate * 5 + burst) * 1.1 + slack);
                CHECK_TRUE(size.tokensPerSecond > 0 || rate < 1);
            }
        }
    }
}

// Guards against tokens that are used after a pause of the process, and against refusals without an end.
TEST(UsageExchange, tokensExpire)
{
    FakeClock clock;
    UsageLimiter limiter(clock);
    const Workspace workspace = limited(10);
    limiter.addTokens(workspaceKey(workspace.name), 2, clock.now() + Milliseconds(300));
    const UsageDecision first = limiter.admit(workspace);
    CHECK_TRUE(first.isAllowed);
    limiter.refund(workspace.name, first.refundableUntil);
    CHECK_TRUE(limiter.admit(workspace).isAllowed);
    clock.advance(Milliseconds(5000));
    const UsageDecision waiting = limiter.admit(workspace);
    CHECK_TRUE(waiting.isPending);
    // The token of a request that began before the pause is not returned.
    limiter.refund(workspace.name, first.refundableUntil);
    clock.advance(UsageLimiter::maximumWait);
    const UsageDecision refused = limiter.continueWaiting(workspace, waiting.waitsUntil);
    CHECK_FALSE(refused.isAllowed || refused.isPending);
    CHECK_TRUE(refused.retryAt > clock.now());
    CHECK_TRUE(limiter.admit({ "unlimited", {}, 0, 0, {} }).isAllowed);
}
