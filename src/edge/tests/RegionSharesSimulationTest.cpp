#include <wagtailrack/edge/RegionShares.h>

#include <CppUTest/TestHarness.h>

#include "ServiceSimulation.h"
#include "TestSeed.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

// Regions with 49%, 10% and 41% of the servers and equal demand, which varies in waves a third of a period apart. The
// servers have room for all requests if these run on servers that have the objects cached.
TEST_GROUP(RegionSharesSimulation)
{
    static constexpr double seconds = 46;

    static simulation::Workload unevenRegions(double utilisation, bool isFullSize)
    {
        const int factor = isFullSize ? 2 : 1;
        return { .requestsPerSecond
            = utilisation * 51 * factor * simulation::defaultSlots * 1000 / simulation::SimulatedServer::cachedMs,
            .objects = 200 * factor,
            .seconds = static_cast<int>(seconds),
            .domainSizes
            = { { 16 * factor, 25 * factor, 1 }, { 16 * factor, 5 * factor, 1 }, { 17 * factor, 21 * factor, 1 } },
            .hasObjectsPerDomain = true,
            .interRegionRoundTripMs = 110,
            .targetLatencyMs = 600,
            .hasNetworkDelay = true,
            .waveAmplitude = 0.55 };
    }

    // Ratio of timely responses of the poor region to that of the others, in the seconds from `from` to `to`.
    static double poorToOthers(const simulation::Result& result, size_t from, size_t to)
    {
        return 2 * result.inTimeRatioOf("south", from, to)
            / (result.inTimeRatioOf("north", from, to) + result.inTimeRatioOf("west", from, to));
    }

    static void print(const char* name, const simulation::Result& result, size_t from, size_t to)
    {
        const std::string text = StringFromFormat("\n  %s: in time north %.3f, south %.3f, west %.3f; largest shift "
                                                  "%.3f, %.3f, %.3f, from second 4 on %.3f\n",
            name, result.inTimeRatioOf("north", from, to), result.inTimeRatioOf("south", from, to),
            result.inTimeRatioOf("west", from, to), result.largestShift("north"), result.largestShift("south"),
            result.largestShift("west"), result.largestShift("south", 4))
                                     .asCharString();
        UT_PRINT(text.c_str());
    }
};

// Guards against callers of a region with few servers being refused or served late while other regions have room, and
// against objects that change their region faster than the platform allows.
TEST(RegionSharesSimulation, poorRegionIsServedNearlyAsWellAsTheOthers)
{
    const uint32_t seed = testSeed(1);
    const simulation::Workload load = unevenRegions(0.7, true);
    const simulation::Result before = simulation::run(simulation::Policy::PlacementWithoutShares, load, seed);
    print("without shares", before, 10, 46);
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    print("with shares", result, 10, 46);
    CHECK_TEXT(poorToOthers(result, 10, 46) >= 0.9, describeSeed(seed).c_str());
    CHECK_TEXT(poorToOthers(result, 10, 46) > poorToOthers(before, 10, 46) + 0.15, describeSeed(seed).c_str());
    CHECK_TEXT(result.inTimeRatio() > before.inTimeRatio(), describeSeed(seed).c_str());
    for (const char* region : { "north", "south", "west" })
        CHECK_TEXT(result.largestShift(region, 4) <= 0.15, describeSeed(seed).c_str());
}

// Guards against objects that return faster than the platform allows while the caches fill after a start.
TEST(RegionSharesSimulation, shiftAtTheStart)
{
    const uint32_t seed = testSeed(1);
    simulation::Workload load = unevenRegions(0.7, true);
    load.seconds = 8;
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    for (const char* region : { "north", "south", "west" })
        CHECK_TEXT(result.largestShift(region) <= 0.15, describeSeed(seed).c_str());
}

// All servers of the poor region are gone for ten seconds. Guards against its callers not being served meanwhile, and
// against shares that do not settle afterwards.
TEST(RegionSharesSimulation, lostRegion)
{
    const uint32_t seed = testSeed(2);
    simulation::Workload load = unevenRegions(0.6, false);
    load.lostDomain = 1;
    load.lostFromSecond = 16;
    load.lostToSecond = 26;
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    print("lost", result, 18, 26);
    print("afterwards", result, 30, 46);
    CHECK_TEXT(result.inTimeRatioOf("south", 20, 26) >= 0.6, describeSeed(seed).c_str());
    CHECK_TEXT(poorToOthers(result, 32, 46) >= 0.9, describeSeed(seed).c_str());
}

// The poor region is cut off for eight seconds. Guards against its objects being sent to servers that cannot be
// reached, so that not even its own servers are used.
TEST(RegionSharesSimulation, partition)
{
    const uint32_t seed = testSeed(3);
    simulation::Workload load = unevenRegions(0.6, false);
    load.cutDomain = 1;
    load.cutFromSecond = 16;
    load.cutToSecond = 24;
    const simulation::Result before = simulation::run(simulation::Policy::PlacementWithoutShares, load, seed);
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    print("cut off, without shares", before, 16, 24);
    print("cut off", result, 16, 24);
    print("afterwards", result, 30, 46);
    CHECK_TEXT(result.inTimeRatioOf("south", 18, 24) >= 0.9 * before.inTimeRatioOf("south", 18, 24),
        describeSeed(seed).c_str());
    CHECK_TEXT(poorToOthers(result, 32, 46) >= 0.9, describeSeed(seed).c_str());
}

// No load messages arrive for ten seconds. Guards against the shares of a region being given up with the messages.
TEST(RegionSharesSimulation, noStatusTables)
{
    const uint32_t seed = testSeed(4);
    simulation::Workload load = unevenRegions(0.6, false);
    load.silentFromSecond = 16;
    load.silentToSecond = 26;
    const simulation::Result before = simulation::run(simulation::Policy::PlacementWithoutShares, load, seed);
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    print("silent, without shares", before, 16, 26);
    print("silent", result, 16, 26);
    print("afterwards", result, 30, 46);
    CHECK_TEXT(
        result.inTimeRatioOf("south", 16, 26) > before.inTimeRatioOf("south", 16, 26), describeSeed(seed).c_str());
}

// Guards against a change of anything in a deployment whose regions have room for their own callers.
TEST(RegionSharesSimulation, evenRegionsAreNotChanged)
{
    const uint32_t seed = testSeed(5);
    simulation::Workload load = unevenRegions(0.45, false);
    load.seconds = 20;
    load.objects = 100;
    load.waveAmplitude = 0.2;
    load.domainSizes = { { 16, 17, 1 }, { 16, 17, 1 }, { 16, 17, 1 } };
    // While the caches are empty, the servers have no room. All objects are cached after the first seconds.
    const simulation::Result result = simulation::run(simulation::Policy::Placement, load, seed);
    const simulation::Result before = simulation::run(simulation::Policy::PlacementWithoutShares, load, seed);
    print("even, without shares", before, 10, 20);
    print("even", result, 10, 20);
    CHECK_TEXT(result.inTimeRatioBetween(8, 20) >= before.inTimeRatioBetween(8, 20) - 0.01, describeSeed(seed).c_str());
}
