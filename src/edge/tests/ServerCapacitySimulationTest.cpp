#include "ServiceSimulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>

using namespace wagtailrack;
using namespace wagtailrack::edge;
using namespace wagtailrack::edge::simulation;

namespace {

uint32_t seed()
{
    const char* text = std::getenv("WAGTAILRACK_TEST_SEED");
    return text ? static_cast<uint32_t>(std::strtoul(text, nullptr, 10)) : 1;
}

constexpr double goodputRatio = 0.95;
constexpr double p99Ratio = 1.2;
// Lowest ratio of the responses in time without estimates: chance alone makes runs differ by 0.02.
constexpr double neutralRatio = 0.97;

Workload baseWorkload()
{
    Workload load;
    load.domainSizes = { { 8, 12, 1 }, { 8, 12, 1 }, { 8, 12, 1 } };
    load.slots = 6;
    load.objects = 240;
    load.requestsPerSecond = 330;
    load.seconds = 24;
    load.hasNetworkDelay = true;
    return load;
}

// Compares the estimates with an oracle, and with no estimates, from `fromSecond` on.
void compare(const char* name, const Workload& load, size_t fromSecond = 6)
{
    const auto end = static_cast<size_t>(load.seconds);
    const simulation::Result oracle = simulation::run(Policy::PlacementWithOracle, load, seed());
    const simulation::Result estimated = simulation::run(Policy::Placement, load, seed());
    const simulation::Result neutral = simulation::run(Policy::PlacementWithoutCapacity, load, seed());
    const double fromMs = 1000.0 * static_cast<double>(fromSecond);
    const double inTime = estimated.inTimeRatioBetween(fromSecond, end);
    const double oracleInTime = oracle.inTimeRatioBetween(fromSecond, end);
    const double neutralInTime = neutral.inTimeRatioBetween(fromSecond, end);
    std::printf("%s: in time %.3f (oracle %.3f, without estimates %.3f), p99 %.0f ms (%.0f, %.0f)\n", name, inTime,
        oracleInTime, neutralInTime, estimated.p99Ms(fromMs, 1e9), oracle.p99Ms(fromMs, 1e9),
        neutral.p99Ms(fromMs, 1e9));
    CHECK_TRUE(inTime >= goodputRatio * oracleInTime);
    CHECK_TRUE(inTime >= neutralRatio * neutralInTime);
    CHECK_TRUE(estimated.p99Ms(fromMs, 1e9) <= p99Ratio * oracle.p99Ms(fromMs, 1e9));
}

}

TEST_GROUP(ServerCapacitySimulation) {};

// Guards against requests that go to slow servers as often as to others.
TEST(ServerCapacitySimulation, aThirdOfTheServersIsTwiceAsSlow)
{
    Workload load = baseWorkload();
    load.processingFactor = [](size_t server, double, size_t) { return server % 3 == 0 ? 2.0 : 1.0; };
    load.trueCapacity = [](size_t server, double) {
        return ServerCapacityEstimate { server % 3 == 0 ? 0.5 : 1.0, 1, 1, 1, {} };
    };
    compare("a third twice as slow", load);
}

// Guards against servers that are filled to their slots although they are slower from half of them on.
TEST(ServerCapacitySimulation, serversGetSlowerFromHalfOfTheirSlots)
{
    Workload load = baseWorkload();
    load.requestsPerSecond = 150;
    load.processingFactor = [](size_t, double, size_t running) { return running > 3 ? 4.0 : 1.0; };
    load.trueCapacity = [](size_t, double) { return ServerCapacityEstimate { 1, 0.5, 4, 1, {} }; };
    load.seconds = 32;
    // Before that, the servers execute most requests uncached, which needs more slots than there are below the knees.
    compare("knee at half of the slots", load, 12);
}

// Guards against estimates that stay with the servers that were slow before.
TEST(ServerCapacitySimulation, speedsSwap)
{
    Workload load = baseWorkload();
    const auto isSlow = [](size_t server, double nowMs) { return (server % 3 == 0) == (nowMs < 12000); };
    load.processingFactor
        = [isSlow](size_t server, double nowMs, size_t) { return isSlow(server, nowMs) && server % 3 < 2 ? 2.0 : 1.0; };
    load.trueCapacity = [isSlow](size_t server, double nowMs) {
        return ServerCapacityEstimate { isSlow(server, nowMs) && server % 3 < 2 ? 0.5 : 1.0, 1, 1, 1, {} };
    };
    compare("speeds swap", load);
}

// Guards against a busy neighbour on the machine being taken for the server's speed.
TEST(ServerCapacitySimulation, busyNeighboursAreNotLearned)
{
    Workload load = baseWorkload();
    load.machineFactor = [](size_t server, double nowMs) {
        const auto period = static_cast<size_t>(nowMs / 600);
        return std::hash<size_t> {}(server * 7919 + period * 104729) % 7 == 0 ? 2.5 : 1.0;
    };
    load.trueCapacity = [](size_t, double) { return ServerCapacityEstimate {}; };
    compare("busy neighbours", load);
}

// Guards against an only server being avoided because it is slow.
TEST(ServerCapacitySimulation, onlyServerIsUsed)
{
    Workload load = baseWorkload();
    load.domainSizes = { { 8, 1, 1 }, { 0, 0, 0 }, { 0, 0, 0 } };
    load.objects = 20;
    load.requestsPerSecond = 10;
    load.processingFactor = [](size_t, double, size_t) { return 1.5; };
    load.trueCapacity = [](size_t, double) { return ServerCapacityEstimate {}; };
    compare("only server", load);
}

// Guards against single servers being blamed when all are slow.
TEST(ServerCapacitySimulation, allServersAreSlow)
{
    Workload load = baseWorkload();
    load.processingFactor = [](size_t, double nowMs, size_t) { return nowMs > 10000 ? 1.6 : 1.0; };
    load.trueCapacity = [](size_t, double) { return ServerCapacityEstimate {}; };
    compare("all slow", load);
}

// Guards against knees and slowness found in servers that are all alike and nearly full.
TEST(ServerCapacitySimulation, healthyServersUnderLoad)
{
    Workload load = baseWorkload();
    load.requestsPerSecond = 560;
    load.trueCapacity = [](size_t, double) { return ServerCapacityEstimate {}; };
    compare("healthy under load", load);
}
