#include <wagtailrack/edge/LoadHub.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"
#include "TestSeed.h"

#include <algorithm>
#include <random>
#include <set>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(LoadHub)
{
    FakeClock clock;
    LoadHub hub { this->clock };

    static InstanceLoadReport report(ServerKey server, uint32_t inFlight)
    {
        return { { { server, inFlight, 0, 0, 0, 0 } }, {} };
    }

    // What the tables say of a server; all zero when they do not name it.
    ServerStatus standing(ServerKey server)
    {
        for (const ServerStatusTable& table : this->hub.statusTables()) {
            for (const ServerStatus& entry : table.servers) {
                if (entry.server == server)
                    return entry;
            }
        }
        return {};
    }

    void pass(int64_t milliseconds) { this->clock.advance(Milliseconds(milliseconds)); }
};

// Guards against a queue that nobody sees because each instance has only a part of it.
TEST(LoadHub, reportsAndDigestsAddUp)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptReport(2, report(7, 3));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 }, { 8, 1 } }, {} }, true);
    LONGS_EQUAL(9, this->standing(7).totalInFlight);
    LONGS_EQUAL(1, this->standing(8).totalInFlight);
    // A later report replaces the former one.
    this->hub.acceptReport(2, report(7, 1));
    LONGS_EQUAL(7, this->standing(7).totalInFlight);
}

// Guards against digests that are sent on and counted twice by the hubs of other domains.
TEST(LoadHub, digestsTellOnlyOfTheOwnDomain)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    const std::vector<DomainLoadSummary> digests = this->hub.domainSummaries(true);
    LONGS_EQUAL(1, digests.size());
    CHECK_TRUE(digests.front().servers == (std::vector<ServerInFlightCount> { { 7, 2 } }));
}

// Guards against requests of an instance that died and are counted for ever.
TEST(LoadHub, silentSendersAreForgotten)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    this->pass(1100);
    LONGS_EQUAL(0, this->standing(7).totalInFlight);
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    this->pass(900);
    LONGS_EQUAL(4, this->standing(7).totalInFlight);
}

// Guards against a failing server that every instance has to find out for itself, and against one that is never tried
// again.
TEST(LoadHub, failuresAreToldAndForgiven)
{
    for (int attempt = 0; attempt < 10; ++attempt)
        this->hub.acceptReport(1, { { { 7, 0, 0, 1, 0, 0 } }, {} });
    CHECK_TRUE(this->standing(7).failureRatePercent > 70);
    this->pass(8000);
    CHECK_TRUE(this->standing(7).failureRatePercent < 20);
}

TEST(LoadHub, slowServersStandOut)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        this->hub.acceptReport(1, { { { 7, 0, 1, 0, 0, 500 }, { 8, 0, 2, 0, 0, 200 } }, {} });
    }
    LONGS_EQUAL(500, this->standing(7).latencyRatioPercent);
    LONGS_EQUAL(100, this->standing(8).latencyRatioPercent);
}

// Guards against connections that every instance tries to make to a server that is gone.
TEST(LoadHub, serverOutOfReachIsToldForAWhile)
{
    this->hub.acceptReport(1, { { { 7, 0, 0, 0, 1, 0 } }, {} });
    CHECK_FALSE(this->standing(7).isUnreachable);
    this->hub.acceptReport(2, { { { 7, 0, 0, 0, 1, 0 } }, {} });
    CHECK_TRUE(this->standing(7).isUnreachable);
    this->pass(2000);
    CHECK_FALSE(this->standing(7).isUnreachable);
    // One that answers again is in reach.
    this->hub.acceptReport(2, { { { 7, 0, 0, 0, 2, 0 } }, {} });
    this->hub.acceptReport(2, { { { 7, 0, 1, 0, 0, 100 } }, {} });
    CHECK_FALSE(this->standing(7).isUnreachable);
}

// Guards against traffic that grows with the number of known copies, and against copies that are told once and lost
// with that datagram.
TEST(LoadHub, copiesAreToldAgainOnlyWhileInUse)
{
    const CachedObject copy { 5, 7 };
    this->hub.acceptReport(1, { {}, { copy } });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { copy });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects.empty());
    this->pass(1000);
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { copy });
    this->pass(6000);
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects.empty());
    this->hub.acceptReport(1, { {}, { copy } });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { copy });
    // Copies of other domains are not sent on.
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), {}, { { 6, 8 } } }, true);
    for (const DomainLoadSummary& digest : this->hub.domainSummaries(false))
        CHECK_TRUE(digest.cachedObjects == std::vector<CachedObject> { copy });
}

// Guards against servers that fall between two messages and keep a former load.
TEST(LoadHub, messagesCoverAllServers)
{
    std::mt19937 random(testSeed(4));
    for (int round = 0; round < 50; ++round) {
        LoadHub big(this->clock);
        InstanceLoadReport all;
        std::set<ServerKey> keys;
        const size_t count = random() % 500;
        while (keys.size() < count)
            keys.insert(static_cast<ServerKey>(random()));
        for (const ServerKey key : keys)
            all.servers.push_back({ key, 1, 0, 0, 0, 0 });
        big.acceptReport(1, all);
        ServerKey next = 0;
        size_t named = 0;
        for (const ServerStatusTable& table : big.statusTables()) {
            LONGS_EQUAL(next, table.firstServer);
            next = table.lastServer + 1;
            named += table.servers.size();
            CHECK_TRUE(encodeLoadMessage(table).size() < 1400);
        }
        LONGS_EQUAL(0, next);
        LONGS_EQUAL(count, named);
    }
}

// Guards against a datagram from elsewhere that ends the process or reserves its memory.
TEST(LoadHub, malformedMessagesAreRefused)
{
    std::mt19937 random(testSeed(5));
    ServerStatusTable table { 0, ~ServerKey(0), { { 7, 1, 2, 3, true } }, { { 5, 7 } } };
    const std::string bytes = encodeLoadMessage(table);
    CHECK_TRUE(decodeLoadMessage<ServerStatusTable>(bytes) == table);
    CHECK_FALSE(decodeLoadMessage<InstanceLoadReport>(bytes).has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>(bytes.substr(0, bytes.size() - 1)).has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>(bytes + "x").has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>("").has_value());
    // A list that claims four billion entries.
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>("WRL1T\xdd\xff\xff\xff\xff").has_value());
    for (int round = 0; round < 20'000; ++round) {
        std::string spoilt = bytes;
        for (int change = 0; change < 3; ++change)
            spoilt[random() % spoilt.size()] = static_cast<char>(random());
        (void)decodeLoadMessage<ServerStatusTable>(spoilt);
        (void)decodeLoadMessage<DomainLoadSummary>(spoilt);
        (void)decodeLoadMessage<InstanceLoadReport>(spoilt);
    }
}
