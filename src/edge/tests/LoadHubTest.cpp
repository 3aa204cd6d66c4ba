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

    // Status of a server in the status tables; all zero if they do not list it.
    ServerStatus statusOf(ServerKey server)
    {
        for (const ServerStatusTable& table : this->hub.statusTables()) {
            for (const ServerStatus& entry : table.servers) {
                if (entry.server == server)
                    return entry;
            }
        }
        return {};
    }

    void advanceClock(int64_t milliseconds) { this->clock.advance(Milliseconds(milliseconds)); }
};

// Guards against a queue that stays undetected because each instance has only some of the requests in it.
TEST(LoadHub, reportsAndSummariesAddUp)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptReport(2, report(7, 3));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 }, { 8, 1 } }, {} }, true);
    LONGS_EQUAL(9, this->statusOf(7).totalInFlight);
    LONGS_EQUAL(1, this->statusOf(8).totalInFlight);
    // A later report replaces the sender's previous one.
    this->hub.acceptReport(2, report(7, 1));
    LONGS_EQUAL(7, this->statusOf(7).totalInFlight);
}

// Guards against requests that are counted twice because a hub forwards the counts of other domains in its summaries.
TEST(LoadHub, summariesContainOnlyTheOwnDomain)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    const std::vector<DomainLoadSummary> summaries = this->hub.domainSummaries(true);
    LONGS_EQUAL(1, summaries.size());
    CHECK_TRUE(summaries.front().servers == (std::vector<ServerInFlightCount> { { 7, 2 } }));
}

// Guards against requests of a dead instance that stay in the totals forever.
TEST(LoadHub, countsOfSilentSendersExpire)
{
    this->hub.acceptReport(1, report(7, 2));
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    this->advanceClock(1100);
    LONGS_EQUAL(0, this->statusOf(7).totalInFlight);
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), { { 7, 4 } }, {} }, true);
    this->advanceClock(900);
    LONGS_EQUAL(4, this->statusOf(7).totalInFlight);
}

// Guards against a failing server that every instance has to detect by itself, and against one that is never tried
// again.
TEST(LoadHub, failureRatesArePublishedAndDecay)
{
    for (int attempt = 0; attempt < 10; ++attempt)
        this->hub.acceptReport(1, { { { 7, 0, 0, 1, 0, 0 } }, {} });
    CHECK_TRUE(this->statusOf(7).failureRatePercent > 70);
    this->advanceClock(8000);
    CHECK_TRUE(this->statusOf(7).failureRatePercent < 20);
}

TEST(LoadHub, slowServersHaveAHighLatencyRatio)
{
    for (int attempt = 0; attempt < 10; ++attempt) {
        this->hub.acceptReport(1, { { { 7, 0, 1, 0, 0, 500 }, { 8, 0, 2, 0, 0, 200 } }, {} });
    }
    LONGS_EQUAL(500, this->statusOf(7).latencyRatioPercent);
    LONGS_EQUAL(100, this->statusOf(8).latencyRatioPercent);
}

// Guards against a slow server that every instance has to detect by itself. The estimate is drawn towards that of a
// server of usual speed by two samples' weight, so it stays below the five times that was measured.
TEST(LoadHub, slowServersHaveAHighDurationRatio)
{
    const int32_t fiveTimes = 161;
    for (int attempt = 0; attempt < 10; ++attempt) {
        this->hub.acceptReport(
            1, { { { 7, 0, 1, 0, 0, 0, { { 0, 10, fiveTimes } } }, { 8, 0, 2, 0, 0, 0, { { 0, 20, 0 } } } }, {} });
    }
    CHECK_TRUE(this->statusOf(7).durationRatioPercent > 350 && this->statusOf(7).durationRatioPercent <= 500);
    LONGS_EQUAL(100, this->statusOf(8).durationRatioPercent);
}

// Guards against connection attempts by every instance to a server that no longer exists.
TEST(LoadHub, unreachableServerIsPublishedForALimitedTime)
{
    this->hub.acceptReport(1, { { { 7, 0, 0, 0, 1, 0 } }, {} });
    CHECK_FALSE(this->statusOf(7).isUnreachable);
    this->hub.acceptReport(2, { { { 7, 0, 0, 0, 1, 0 } }, {} });
    CHECK_TRUE(this->statusOf(7).isUnreachable);
    this->advanceClock(2000);
    CHECK_FALSE(this->statusOf(7).isUnreachable);
    // A server that answers again is reachable.
    this->hub.acceptReport(2, { { { 7, 0, 0, 0, 2, 0 } }, {} });
    this->hub.acceptReport(2, { { { 7, 0, 1, 0, 0, 100 } }, {} });
    CHECK_FALSE(this->statusOf(7).isUnreachable);
}

// Guards against traffic that grows with the number of cached objects, and against objects that are sent only once and
// are lost with that datagram.
TEST(LoadHub, cachedObjectsAreRepeatedOnlyWhileInUse)
{
    const CachedObject object { 5, 7 };
    this->hub.acceptReport(1, { {}, { object } });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { object });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects.empty());
    this->advanceClock(1000);
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { object });
    this->advanceClock(6000);
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects.empty());
    this->hub.acceptReport(1, { {}, { object } });
    CHECK_TRUE(this->hub.statusTables().back().cachedObjects == std::vector<CachedObject> { object });
    // Cached objects of other domains are not forwarded.
    this->hub.acceptDomainSummary(9, { 0, ~ServerKey(0), {}, { { 6, 8 } } }, true);
    for (const DomainLoadSummary& summary : this->hub.domainSummaries(false))
        CHECK_TRUE(summary.cachedObjects == std::vector<CachedObject> { object });
}

// Guards against servers between the ranges of two messages, which would keep an outdated load.
TEST(LoadHub, messagesCoverAllServers)
{
    std::mt19937 random(testSeed(4));
    for (int round = 0; round < 50; ++round) {
        LoadHub largeHub(this->clock);
        InstanceLoadReport fullReport;
        std::set<ServerKey> keys;
        const size_t count = random() % 500;
        while (keys.size() < count)
            keys.insert(static_cast<ServerKey>(random()));
        for (const ServerKey key : keys)
            fullReport.servers.push_back({ key, 1, 0, 0, 0, 0 });
        largeHub.acceptReport(1, fullReport);
        ServerKey nextFirstServer = 0;
        size_t listedServers = 0;
        for (const ServerStatusTable& table : largeHub.statusTables()) {
            LONGS_EQUAL(nextFirstServer, table.firstServer);
            nextFirstServer = table.lastServer + 1;
            listedServers += table.servers.size();
            CHECK_TRUE(encodeLoadMessage(table).size() < 1400);
        }
        LONGS_EQUAL(0, nextFirstServer);
        LONGS_EQUAL(count, listedServers);
    }
}

// Guards against a foreign datagram that crashes the process or makes it allocate excessive memory.
TEST(LoadHub, malformedMessagesAreRejected)
{
    std::mt19937 random(testSeed(5));
    ServerStatusTable table { 0, ~ServerKey(0), { { 7, 1, 2, 3, true } }, { { 5, 7 } } };
    const std::string bytes = encodeLoadMessage(table);
    CHECK_TRUE(decodeLoadMessage<ServerStatusTable>(bytes) == table);
    CHECK_FALSE(decodeLoadMessage<InstanceLoadReport>(bytes).has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>(bytes.substr(0, bytes.size() - 1)).has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>(bytes + "x").has_value());
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>("").has_value());
    // An array that claims four billion entries.
    CHECK_FALSE(decodeLoadMessage<ServerStatusTable>("WRL1T\xdd\xff\xff\xff\xff").has_value());
    for (int round = 0; round < 20'000; ++round) {
        std::string corrupted = bytes;
        for (int change = 0; change < 3; ++change)
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        (void)decodeLoadMessage<ServerStatusTable>(corrupted);
        (void)decodeLoadMessage<DomainLoadSummary>(corrupted);
        (void)decodeLoadMessage<InstanceLoadReport>(corrupted);
    }
}
