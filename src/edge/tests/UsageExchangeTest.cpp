#include "TestSeed.h"
#include "UsageSimulation.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdio>

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

Tenant limited(double perSecond) { return { "mill", {}, perSecond, perSecond, {} }; }

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
        std::printf("[bound %.0f most %zu share %.3f wait %.0f ms datagrams %llu] ", fleet.bound(), fleet.mostInWindow,
            fleet.servedShare(), static_cast<double>(fleet.waitedMs) / std::max<double>(1, double(fleet.served)),
            static_cast<unsigned long long>(fleet.datagramCount));
        CHECK_TEXT(static_cast<double>(fleet.mostInWindow) <= fleet.bound(), describeSeed(this->seed).c_str());
    }

    void checkUnevenDemand(const Fleet& size, double limit, double part = 1)
    {
        UsageFleet fleet(size.instances, size.domains, size.regions, limited(limit), this->seed);
        const std::vector<double> weights = unevenWeights(size.instances, this->seed);
        fleet.run(startMs, limit * part, weights);
        fleet.resetCounts();
        fleet.run(12'000, limit * part, weights);
        this->checkBound(fleet);
        CHECK_TEXT(fleet.servedShare() >= 0.95, describeSeed(this->seed).c_str());
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
        this->checkBound(fleet);
        CHECK_TEXT(fleet.servedShare() >= 0.85, describeSeed(this->seed).c_str());
    }

    // The tenant's usual demand is its limit / 1.6.
    void checkSurge(UsageFleet & fleet)
    {
        const std::vector<double> even(fleet.instances.size(), 1);
        const double limit = fleet.tenant.requestsPerSecond;
        fleet.run(startMs, limit / 1.6, even);
        fleet.resetCounts();
        fleet.run(7000, 7.6 * limit / 1.6, even);
        this->checkBound(fleet);
    }
};

// Guards against a tenant that is refused below its limit, because its requests arrive at a few instances.
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

// Guards against shares that stay where the tenant's callers were.
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
