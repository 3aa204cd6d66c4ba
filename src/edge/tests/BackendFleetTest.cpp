#include <wagtailrack/edge/BackendFleet.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(BackendFleet)
{
    FakeClock clock;
    BackendFleet fleet { this->clock, { { "north-a", "north" }, { "south-a", "south" } } };

    static ServerRecord record(const std::string& id, const std::string& domain = "north-a")
    {
        ServerRecord server;
        server.id = id;
        server.service = "prices";
        server.address = { "10.0.0.1", 8080 };
        server.failureDomain = domain;
        server.slots = 3;
        return server;
    }

    void apply(const std::vector<ServerRecord>& records, int64_t graceMs = 0)
    {
        this->fleet.applyRecords(records, this->clock.now() + Milliseconds(graceMs));
    }

    BackendServer& only() { return *this->fleet.servers("prices").front(); }
};

// Guards against requests to a server that drains or has gone.
TEST(BackendFleet, drainingAndMissingServersAreNotUsed)
{
    this->apply({ record("s1") });
    CHECK_TRUE(this->fleet.isUsable(this->only()));
    ServerRecord draining = record("s1");
    draining.state = version::ServerState::Draining;
    this->apply({ draining });
    CHECK_FALSE(this->fleet.isUsable(this->only()));
    this->apply({});
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against losing all servers when their records lapsed with the store, and against keeping those that do not
// come back.
TEST(BackendFleet, missingRecordsStayForTheGraceOnly)
{
    this->apply({ record("s1") });
    this->apply({}, 2200);
    CHECK_TRUE(this->fleet.isUsable(this->only()));
    this->clock.advance(Milliseconds(2300));
    this->fleet.removeExpiredServers();
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against a grace that later readings prolong.
TEST(BackendFleet, graceIsNotProlonged)
{
    this->apply({ record("s1") });
    this->apply({}, 2200);
    this->clock.advance(Milliseconds(1000));
    this->apply({}, 1200);
    this->clock.advance(Milliseconds(1300));
    this->apply({}, 0);
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against what was learned of a process being believed of its successor.
TEST(BackendFleet, restartUnderTheSameIdForgets)
{
    this->apply({ record("s1") });
    this->fleet.recordCachedObject(this->only(), 42);
    ServerRecord restarted = record("s1");
    restarted.startedAtMs = 5;
    this->apply({ restarted });
    CHECK_TRUE(this->only().cachedObjects.empty());
    CHECK_TRUE(this->fleet.isUsable(this->only()));
}

// Guards against requests to an evacuated failure domain, and against full load on its return.
TEST(BackendFleet, evacuatedDomainIsColdOnReturn)
{
    this->apply({ record("s1") });
    this->fleet.setEvacuatedDomains({ "north-a" }, 3000);
    CHECK_FALSE(this->fleet.isUsable(this->only()));
    this->fleet.setEvacuatedDomains({}, 3000);
    CHECK_TRUE(this->fleet.isUsable(this->only()));
    CHECK_TRUE(this->only().coldUntil > this->clock.now());
}

// Guards against more requests to a cold server than it bears, summed over the instances that send to it.
TEST(BackendFleet, coldTokensOfAllInstancesStayWithinTheBound)
{
    constexpr int instances = 4;
    constexpr double perSecond = 2.9;
    std::vector<std::unique_ptr<BackendFleet>> fleets;
    for (int index = 0; index < instances; ++index) {
        fleets.push_back(
            std::make_unique<BackendFleet>(this->clock, std::map<std::string, std::string> { { "north-a", "north" } }));
        fleets.back()->applyRecords({ record("s1") }, this->clock.now());
    }
    std::vector<int> taken;
    for (int tick = 0; tick < 100; ++tick) {
        this->clock.advance(Milliseconds(50));
        int count = 0;
        for (auto& one : fleets)
            count += one->tryTakeColdToken(*one->servers("prices").front(), perSecond, instances) ? 1 : 0;
        taken.push_back(count);
    }
    // The bound of the deployments: rate x 1.5 + 5 in any second.
    for (size_t first = 0; first + 20 <= taken.size(); ++first) {
        int inSecond = 0;
        for (size_t tick = first; tick < first + 20; ++tick)
            inSecond += taken[tick];
        CHECK_TRUE(inSecond <= perSecond * 1.5 + 5);
    }
}

// Guards against every request waiting for a server that is out of reach.
TEST(BackendFleet, unreachableServerIsAvoidedForAWhile)
{
    this->apply({ record("s1") });
    for (int attempt = 0; attempt < 2; ++attempt) {
        this->fleet.beginAttempt(this->only(), 100);
        this->fleet.endAttempt(this->only(), AttemptOutcome::Unreachable);
    }
    CHECK_TRUE(this->only().avoidUntil > this->clock.now());
    LONGS_EQUAL(0, this->only().inFlight);
}
