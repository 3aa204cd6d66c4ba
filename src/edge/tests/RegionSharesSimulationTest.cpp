#include <wagtailrack/edge/LoadExchange.h>
#include <wagtailrack/edge/Placement.h>

#include <CppUTest/TestHarness.h>

#include "ServiceSimulation.h"
#include "TestSeed.h"

#include <cstdio>
#include <cstdlib>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(RegionSharesSimulation)
{
};

TEST(RegionSharesSimulation, explore)
{
    const auto seed = testSeed(1);
    for (const double rate : { std::atof(std::getenv("RATE")) }) {
        for (const auto policy : { std::getenv("OLD") ? simulation::Policy::PlacementWithoutShares : simulation::Policy::Placement }) {
            const simulation::Workload load { .requestsPerSecond = rate,
                .objects = std::getenv("OBJ") ? std::atoi(std::getenv("OBJ")) : 400,
                .seconds = 50,
                .domainSizes = { { 33, 50, 1 }, { 33, 10, 1 }, { 34, 42, 1 } },
                .hasObjectsPerDomain = true,
                .interRegionRoundTripMs = 110,
                .targetLatencyMs = 600,
                .hasNetworkDelay = true,
                .waveAmplitude = 0.55 };
            const simulation::Result r = simulation::run(policy, load, seed);
            std::printf("rate %.0f util %.2f policy %d:", rate, rate * .19 / 306, static_cast<int>(policy));
            for (const char* region : { "north", "south", "west" }) {
                double cross = 0, all = 0;
                const auto& sends = r.sendsByRegion.at(region);
                for (size_t i = 20; i < sends.size(); ++i)
                    for (const auto& [to, n] : sends[i]) {
                        all += n;
                        cross += to == region ? 0 : n;
                    }
                double sent = all, req = 0;
                for (size_t s = 10; s < 50; ++s)
                    req += r.requestsByRegion.at(region)[s];
                std::printf(" %s %.3f (cross %.2f sent %.2f shift %.3f)", region, r.inTimeRatioOf(region, 10, 50),
                    cross / all, sent / req, r.largestShift(region));
            }
            std::printf("\n");
            if (std::getenv("TRACE")) {
                const auto& sends = r.sendsByRegion.at("south");
                for (size_t i = 0; i < 50; i += 2) {
                    const size_t h = i * 2;
                    std::map<std::string, int> sum;
                    int all = 0;
                    for (size_t k = h; k < h + 4; ++k)
                        for (const auto& [to, n] : sends[k]) {
                            sum[to] += n;
                            all += n;
                        }
                    std::printf("  t=%zu req %d sent %d north %.2f south %.2f west %.2f in time %.2f | n %.2f w %.2f\n", i,
                        r.requestsByRegion.at("south")[i] + r.requestsByRegion.at("south")[i + 1], all,
                        1.0 * sum["north"] / all, 1.0 * sum["south"] / all, 1.0 * sum["west"] / all,
                        r.inTimeRatioOf("south", i, i + 2), r.inTimeRatioOf("north", i, i + 2),
                        r.inTimeRatioOf("west", i, i + 2));
                }
            }
        }
    }
}
