#include <wagtailrack/edge/RegionShares.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"
#include "ServiceSimulation.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(RegionShares)
{
    FakeClock clock;
    BackendFleet fleet { this->clock, simulation::regionOfDomain() };
    RegionShares shares { this->clock, "south" };
    std::map<std::string, double> roundTripsMs { { "north", 110 }, { "west", 110 } };

    // Four servers with three slots each in every region.
    void setup() override { this->fleet.applyRecords(simulation::serverRecords(12), this->clock.now()); }

    // Lets the hub report, each 100 ms for `seconds`, that the region's callers need the slots in their own region.
    double ownShareAfter(int seconds, uint32_t inFlightPerServer)
    {
        double share = 1;
        for (int step = 0; step < seconds * 10; ++step) {
            this->clock.advance(Milliseconds(100));
            ServerStatusTable table;
            table.lastServer = ~ServerKey(0);
            std::map<ServerKey, uint32_t> inFlight;
            for (const BackendServerPointer& server : this->fleet.servers("prices")) {
                const bool isOwn = server->region == "south";
                table.servers.push_back({ server->key, isOwn ? inFlightPerServer : 0, 0, 0, false });
                if (isOwn)
                    inFlight[server->key] = inFlightPerServer;
            }
            this->fleet.applyStatusTable(table);
            this->shares.setDemand(sumRegionDemand(this->fleet, inFlight), 0);
            share = this->ownShare();
        }
        return share;
    }

    double ownShare()
    {
        const std::vector<RegionShare>& current
            = this->shares.sharesOf(this->fleet, "prices", this->roundTripsMs, false);
        return current.empty() ? 1 : current.front().share;
    }
};

// Guards against objects of a region with enough room being sent to another region.
TEST(RegionShares, regionWithRoomKeepsAllObjects)
{
    DOUBLES_EQUAL(1, this->ownShareAfter(20, 2), 0);
    CHECK_TRUE(this->shares.sharesOf(this->fleet, "prices", this->roundTripsMs, false).empty());
}

// Guards against shares that move faster than the platform allows, in either direction, and against a region that does
// not take its objects back.
TEST(RegionShares, sharesMoveSlowlyAndReturn)
{
    this->ownShareAfter(1, 1);
    const double afterTwoSeconds = this->ownShareAfter(2, 9);
    CHECK_TRUE(afterTwoSeconds < 1 && afterTwoSeconds > 0.9);
    const double settled = this->ownShareAfter(40, 9);
    CHECK_TRUE(settled < 0.4);
    CHECK_TRUE(this->ownShareAfter(2, 1) < settled + 0.12);
    DOUBLES_EQUAL(1, this->ownShareAfter(60, 1), 0);
}

// Guards against objects running far away for ever in an instance that hears nothing from a hub, and against all of
// them returning at once.
TEST(RegionShares, objectsReturnSlowlyWithoutAHub)
{
    const double settled = this->ownShareAfter(60, 9);
    for (int step = 0; step < 290; ++step) {
        this->clock.advance(Milliseconds(100));
        this->ownShare();
    }
    DOUBLES_EQUAL(settled, this->ownShare(), 0.1);
    for (int step = 0; step < 1000; ++step) {
        this->clock.advance(Milliseconds(100));
        this->ownShare();
    }
    DOUBLES_EQUAL(1, this->ownShare(), 0.01);
}

// Guards against a change of the shares that moves more objects than the shares differ: each object that moves is
// executed once without a cache.
TEST(RegionShares, smallChangesMoveFewObjects)
{
    const std::vector<RegionShare> before { { "south", 11, 0.5 }, { "north", 22, 0.3 }, { "west", 33, 0.2 } };
    const std::vector<RegionShare> after { { "south", 11, 0.45 }, { "north", 22, 0.35 }, { "west", 33, 0.2 } };
    const auto isAny = [](const std::string&) { return true; };
    constexpr int objects = 20000;
    int moved = 0;
    int local = 0;
    for (int object = 0; object < objects; ++object) {
        const uint64_t hash = objectHashOf(simulation::lookupRoute(), std::to_string(object));
        moved += RegionShares::regionOf(hash, before, isAny) != RegionShares::regionOf(hash, after, isAny) ? 1 : 0;
        local += RegionShares::regionOf(hash, before, isAny) == 0 ? 1 : 0;
    }
    DOUBLES_EQUAL(0.5 * objects, local, 0.02 * objects);
    DOUBLES_EQUAL(0.05 * objects, moved, 0.01 * objects);
}

// Guards against regions being filled that are far away or full of their own callers' requests.
TEST(RegionShares, nearerRegionsAndRegionsWithRoomGetMore)
{
    const RegionRoom own { "south", true, 30, 70, 0, 0 };
    const auto shares
        = computeRegionShares({ own, { "north", false, 150, 0, 50, 20 }, { "west", false, 150, 0, 50, 200 } });
    DOUBLES_EQUAL(30 * 0.8 / 70, shares[0], 0.001);
    CHECK_TRUE(shares[1] > 2 * shares[2] && shares[2] > 0);
    const auto full
        = computeRegionShares({ own, { "north", false, 150, 0, 50, 20 }, { "west", false, 150, 0, 120, 20 } });
    DOUBLES_EQUAL(0, full[2], 0.001);
    // No region has room: the excess is spread over all of them.
    const auto overloaded
        = computeRegionShares({ own, { "north", false, 30, 0, 20, 20 }, { "west", false, 30, 0, 20, 20 } });
    DOUBLES_EQUAL(overloaded[1], overloaded[2], 0.001);
    CHECK_TRUE(overloaded[0] > overloaded[1] && overloaded[1] > 0);
    CHECK_TRUE(computeRegionShares({ { "south", true, 0, 0, 0, 0 } }).empty());
}
