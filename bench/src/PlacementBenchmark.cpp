#include "Benchmark.h"

#include <wagtailrack/edge/Placement.h>

#include "FakeClock.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

namespace wagtailrack::bench {

namespace {

constexpr int objects = 400;
constexpr int choicesPerRound = 2000;
constexpr int rounds = 41;

std::vector<edge::ServerRecord> makeRecords()
{
    std::vector<edge::ServerRecord> records;
    const std::vector<std::pair<std::string, int>> sizes { { "north-a", 50 }, { "south-a", 10 }, { "west-a", 42 } };
    for (const auto& [domain, count] : sizes) {
        for (int index = 0; index < count; ++index) {
            edge::ServerRecord record;
            record.id = domain + std::to_string(index);
            record.service = "tiles";
            record.address = { "10.0.0." + std::to_string(index + 1), 8080 };
            record.failureDomain = domain;
            record.slots = 9;
            records.push_back(std::move(record));
        }
    }
    return records;
}

// Prints the time of one choice among 102 servers in three regions, of callers in the region with the fewest servers,
// where all requests find room there.
void measureChoice(const char* name, bool hasShares)
{
    FakeClock clock;
    edge::RegionShares regionShares(clock, "south");
    edge::BackendFleet fleet(clock, { { "north-a", "north" }, { "south-a", "south" }, { "west-a", "west" } });
    fleet.applyRecords(makeRecords(), clock.now());
    edge::ShiftLimiter shiftLimiter(clock);
    edge::RouteRule rule;
    rule.name = "read";
    rule.weightedServices = { { "tiles", 1 } };
    rule.timeoutMs = 4000;
    rule.targetLatencyMs = 600;
    rule.hasAffinity = true;
    const edge::ServiceSettings service { "tiles", 0, 0, 1 };
    const std::map<std::string, double> roundTripsMs { { "north", 110 }, { "west", 110 } };
    const edge::ColdServerSenders senders { { 1 }, 1, 5 };
    const std::set<const edge::BackendServer*> excluded;
    std::vector<double> microseconds;
    for (int round = 0; round < rounds; ++round) {
        clock.advance(Milliseconds(100));
        edge::ServerStatusTable table;
        table.lastServer = ~edge::ServerKey(0);
        for (const auto& server : fleet.servers("tiles"))
            table.servers.push_back({ server->key, 4, 0, 0, false });
        fleet.applyStatusTable(table);
        const auto startedAt = std::chrono::steady_clock::now();
        for (int index = 0; index < choicesPerRound; ++index) {
            const edge::PlacementRequest request { rule, service, std::to_string(index % objects), "south", "south-a",
                roundTripsMs, [](const edge::BackendServer&) { return true; }, clock.now(),
                clock.now() + Milliseconds(4000), shiftLimiter, senders, excluded, false,
                hasShares ? &regionShares : nullptr };
            const auto choice = edge::chooseServer(fleet, request, { 640, 190 }, clock.now());
            if (choice)
                fleet.recordCachedObject(*choice->server, edge::objectKeyOf(choice->objectHash));
        }
        const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - startedAt;
        microseconds.push_back(elapsed.count() / choicesPerRound);
    }
    std::sort(microseconds.begin(), microseconds.end());
    std::printf("%s: median %.2f us, fastest %.2f us\n", name, microseconds[rounds / 2], microseconds.front());
}

}

void runPlacement()
{
    measureChoice("choice without shares", false);
    measureChoice("choice with shares, all objects in the own region", true);
}

}
