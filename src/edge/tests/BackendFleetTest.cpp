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

    void applyRecords(const std::vector<ServerRecord>& records, int64_t graceMs = 0)
    {
        this->fleet.applyRecords(records, this->clock.now() + Milliseconds(graceMs));
    }

    BackendServer& onlyServer() { return *this->fleet.servers("prices").front(); }
};

// Guards against requests being sent to a server that is draining or missing from the registry.
TEST(BackendFleet, drainingAndMissingServersAreNotUsed)
{
    this->applyRecords({ record("s1") });
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
    ServerRecord draining = record("s1");
    draining.state = version::ServerState::Draining;
    this->applyRecords({ draining });
    CHECK_FALSE(this->fleet.isUsable(this->onlyServer()));
    this->applyRecords({});
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against removing all servers when their records expire during an outage of the store, and against keeping
// servers whose records do not reappear within the grace period.
TEST(BackendFleet, missingServersAreKeptForTheGracePeriodOnly)
{
    this->applyRecords({ record("s1") });
    this->applyRecords({}, 2200);
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
    this->clock.advance(Milliseconds(2300));
    this->fleet.removeExpiredServers();
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against later registry snapshots extending the grace period of a missing server.
TEST(BackendFleet, gracePeriodIsNotExtended)
{
    this->applyRecords({ record("s1") });
    this->applyRecords({}, 2200);
    this->clock.advance(Milliseconds(1000));
    this->applyRecords({}, 1200);
    this->clock.advance(Milliseconds(1300));
    this->applyRecords({}, 0);
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against applying the state of a former server process, such as its cached objects, to the restarted process.
TEST(BackendFleet, restartUnderTheSameIdResetsState)
{
    this->applyRecords({ record("s1") });
    this->fleet.recordCachedObject(this->onlyServer(), 42);
    ServerRecord restarted = record("s1");
    restarted.startedAtMs = 5;
    this->applyRecords({ restarted });
    CHECK_TRUE(this->onlyServer().cachedObjects.empty());
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
}

// Guards against sending requests to an evacuated failure domain, and against full load on its servers when the
// evacuation ends.
TEST(BackendFleet, serversAreColdAfterAnEvacuation)
{
    this->applyRecords({ record("s1") });
    this->fleet.setEvacuatedDomains({ "north-a" }, 3000);
    CHECK_FALSE(this->fleet.isUsable(this->onlyServer()));
    this->fleet.setEvacuatedDomains({}, 3000);
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
    CHECK_TRUE(this->onlyServer().coldUntil > this->clock.now());
}

// Guards against the instances together sending more requests to a cold server than its limit allows.
TEST(BackendFleet, coldTokensOfAllInstancesStayWithinTheLimit)
{
    constexpr int instances = 4;
    constexpr double requestsPerSecond = 2.9;
    std::vector<std::unique_ptr<BackendFleet>> fleets;
    for (int index = 0; index < instances; ++index) {
        fleets.push_back(
            std::make_unique<BackendFleet>(this->clock, std::map<std::string, std::string> { { "north-a", "north" } }));
        fleets.back()->applyRecords({ record("s1") }, this->clock.now());
    }
    std::vector<int> takenTokens;
    for (int tick = 0; tick < 100; ++tick) {
        this->clock.advance(Milliseconds(50));
        int count = 0;
        for (auto& instanceFleet : fleets)
            count += instanceFleet->tryTakeColdToken(
                         *instanceFleet->servers("prices").front(), requestsPerSecond, instances)
                ? 1
                : 0;
        takenTokens.push_back(count);
    }
    // Limit in the deployments: rate x 1.5 + 5 requests in any second.
    for (size_t firstTick = 0; firstTick + 20 <= takenTokens.size(); ++firstTick) {
        int tokensInSecond = 0;
        for (size_t tick = firstTick; tick < firstTick + 20; ++tick)
            tokensInSecond += takenTokens[tick];
        CHECK_TRUE(tokensInSecond <= requestsPerSecond * 1.5 + 5);
    }
}

// Guards against every request first waiting for the connection timeout of an unreachable server.
TEST(BackendFleet, unreachableServerIsAvoidedForAWhile)
{
    this->applyRecords({ record("s1") });
    for (int attempt = 0; attempt < 2; ++attempt) {
        this->fleet.beginAttempt(this->onlyServer(), 100);
        this->fleet.endAttempt(this->onlyServer(), AttemptOutcome::Unreachable);
    }
    CHECK_TRUE(this->onlyServer().avoidUntil > this->clock.now());
    LONGS_EQUAL(0, this->onlyServer().inFlight);
}

// Guards against requests to a server that has left, because the store has returned from a copy in which it was ready.
TEST(BackendFleet, serverThatWasDrainingStaysOutWhenAnOlderCopySaysReady)
{
    ServerRecord draining = record("s1");
    draining.state = version::ServerState::Draining;
    this->applyRecords({ draining });
    this->applyRecords({});
    this->fleet.holdDepartedServers(this->clock.now() + Milliseconds(2200));
    this->applyRecords({ record("s1") });
    CHECK_TRUE(this->fleet.servers("prices").empty());
    LONGS_EQUAL(1, this->fleet.heldServerCount());
    // It never returns; its record may be there until its lease ends.
    this->clock.advance(Milliseconds(2300));
    this->fleet.removeExpiredServers();
    CHECK_TRUE(this->fleet.servers("prices").empty());
}

// Guards against the same with a server whose record was removed, and against losing it for good: it may be running.
TEST(BackendFleet, serverThatWasMissingIsUsedAfterTheRecovery)
{
    this->applyRecords({ record("s1") });
    this->applyRecords({});
    this->fleet.holdDepartedServers(this->clock.now() + Milliseconds(2200));
    this->applyRecords({ record("s1") });
    this->clock.advance(Milliseconds(2100));
    this->fleet.removeExpiredServers();
    CHECK_TRUE(this->fleet.servers("prices").empty());
    this->clock.advance(Milliseconds(200));
    this->fleet.removeExpiredServers();
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
    LONGS_EQUAL(0, this->fleet.heldServerCount());
}

// Guards against an older copy that replaces a restarted server by its former process.
TEST(BackendFleet, formerLifetimeDoesNotReplaceTheRunningOne)
{
    ServerRecord former = record("s1");
    former.startedAtMs = 5;
    ServerRecord running = record("s1");
    running.startedAtMs = 9;
    this->applyRecords({ former });
    this->applyRecords({ running });
    this->fleet.holdDepartedServers(this->clock.now() + Milliseconds(2200));
    this->applyRecords({ former });
    LONGS_EQUAL(9, this->onlyServer().record.startedAtMs);
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
}

// Guards against a server that is kept out although it left and came back in the new era, or with a store that has no
// eras.
TEST(BackendFleet, departuresAfterTheRollbackAreNotHeld)
{
    this->applyRecords({ record("s1") });
    this->applyRecords({});
    this->applyRecords({ record("s1") });
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
    this->fleet.holdDepartedServers(this->clock.now() + Milliseconds(2200));
    this->clock.advance(Milliseconds(100));
    this->applyRecords({});
    this->applyRecords({ record("s1") });
    CHECK_TRUE(this->fleet.isUsable(this->onlyServer()));
}

// Guards against an instance that started from the older copy and uses a server which its peers know to have left.
TEST(BackendFleet, departuresThatAPeerHasSeenAreHeld)
{
    this->applyRecords({ record("s1"), record("s2"), record("s3") });
    this->fleet.holdDepartedServers(
        { { { "s1", 0 }, true }, { { "s2", 0 }, false } }, this->clock.now() + Milliseconds(1000));
    size_t usableCount = 0;
    for (const BackendServerPointer& server : this->fleet.servers("prices"))
        usableCount += this->fleet.isUsable(*server) ? 1 : 0;
    LONGS_EQUAL(1, usableCount);
    LONGS_EQUAL(2, this->fleet.heldDepartures().size());
    this->clock.advance(Milliseconds(1100));
    this->fleet.removeExpiredServers();
    LONGS_EQUAL(3, this->fleet.servers("prices").size());
}

// Guards against estimates changing the choice of servers although they are only observed.
TEST(BackendFleet, estimatesAreFollowedOnlyIfTheyAreApplied)
{
    this->applyRecords({ record("s1") });
    ServerStatusTable table;
    table.lastServer = ~ServerKey(0);
    table.servers.push_back({ this->onlyServer().key, 0, 0, 100, false, 50, 300, 90, 400 });
    this->fleet.applyStatusTable(table);
    DOUBLES_EQUAL(0.5, this->onlyServer().estimatedCapacity.knee, 0.001);
    DOUBLES_EQUAL(1, this->onlyServer().capacity.knee, 0.001);
    this->fleet.setCapacityUse(CapacityUse::Apply);
    this->fleet.applyStatusTable(table);
    DOUBLES_EQUAL(0.5, this->onlyServer().capacity.knee, 0.001);
}

// Guards against a restarted server getting the estimates that peers still tell about its former process.
TEST(BackendFleet, restartedServerBeginsWithANeutralCapacity)
{
    ServerRecord first = record("s1");
    first.startedAtMs = 5;
    this->applyRecords({ first });
    const ServerKey formerKey = this->onlyServer().key;
    const auto applyTable = [this, formerKey] {
        ServerStatusTable table;
        table.lastServer = ~ServerKey(0);
        table.servers.push_back({ formerKey, 0, 0, 400, false, 50, 300, 90, 400 });
        this->fleet.applyStatusTable(table);
    };
    applyTable();
    DOUBLES_EQUAL(0.5, this->onlyServer().estimatedCapacity.knee, 0.001);
    ServerRecord restarted = first;
    restarted.startedAtMs = 9;
    this->applyRecords({ restarted });
    applyTable();
    CHECK_TRUE(formerKey != this->onlyServer().key);
    DOUBLES_EQUAL(1, this->onlyServer().estimatedCapacity.knee, 0.001);
    DOUBLES_EQUAL(1, this->onlyServer().estimatedCapacity.speed, 0.001);
}
