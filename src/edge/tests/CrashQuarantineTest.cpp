#include <wagtailrack/edge/CrashQuarantine.h>

#include <FakeClock.h>

#include <CppUTest/TestHarness.h>

using namespace wagtailrack;
using namespace wagtailrack::edge;

namespace {

constexpr RequestFingerprint poison = 1;
constexpr RequestFingerprint innocent = 2;

}

TEST_GROUP(CrashQuarantine)
{
    FakeClock clock;
    CrashQuarantine quarantine { this->clock };

    void advance(int64_t milliseconds)
    {
        this->clock.advance(Milliseconds(milliseconds));
        this->quarantine.update();
    }

    // The server ends now; the request had been sent to it 1 ms ago.
    ServerCrash crashOn(ServerLifetime server, RequestFingerprint request = poison)
    {
        return { request, server, this->clock.now() - Milliseconds(1), this->clock.now(), true };
    }

    void crash(ServerLifetime server, RequestFingerprint request = poison)
    {
        this->quarantine.recordCrash(this->crashOn(server, request));
    }

    // Two crashes, each of which counts in full.
    void putInQuarantine(RequestFingerprint request = poison)
    {
        this->crash(100 + 2 * request, request);
        this->advance(1000);
        this->crash(101 + 2 * request, request);
        this->advance(CrashQuarantine::settlingTime.count());
        CHECK_TRUE(this->quarantine.decide(request) == SendDecision::Refuse);
    }
};

// Guards against a request that takes a third server with it although two crashes are known.
TEST(CrashQuarantine, twoCrashesEndInQuarantine)
{
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    this->crash(11);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Wait);
    this->advance(CrashQuarantine::trialInterval.count());
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Wait);
    CHECK_TRUE(this->quarantine.decide(innocent) == SendDecision::Send);
    this->crash(12);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Wait);
    this->advance(CrashQuarantine::settlingTime.count());
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
    LONGS_EQUAL(1, this->quarantine.quarantinedCount());
}

// Guards against a harmless request that is refused after its server has crashed for another reason.
TEST(CrashQuarantine, responseAcquitsASuspect)
{
    this->crash(11);
    this->quarantine.recordResponse(poison);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    this->advance(1000);
    this->crash(12);
    this->advance(1000);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    LONGS_EQUAL(0, this->quarantine.quarantinedCount());
}

// Guards against one end that counts twice: copies of a harmless request were running on several servers when these
// ended together, or two instances report the same server.
TEST(CrashQuarantine, copiesThatWereRunningDoNotCount)
{
    const SteadyTime sentAt = this->clock.now();
    this->advance(100);
    for (ServerLifetime server = 11; server < 16; ++server)
        this->quarantine.recordCrash({ poison, server, sentAt, this->clock.now() });
    this->crash(11);
    this->advance(1000);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
}

// Guards against harmless requests that are refused after power failures of a failure domain, three times in a row,
// although no copy of them was answered in between.
TEST(CrashQuarantine, repeatedFailuresOfSeveralServersBlameNoRequest)
{
    for (ServerLifetime wave = 0; wave < 3; ++wave) {
        for (ServerLifetime server = 0; server < 6; ++server)
            this->crash(100 * (wave + 1) + server, 1000 + server);
        this->advance(2000);
    }
    LONGS_EQUAL(0, this->quarantine.quarantinedCount());
}

// Guards against requests that are refused because they ran beside one that crashes servers, twice.
TEST(CrashQuarantine, requestThatRanBesideAnotherSuspectIsNotBlamed)
{
    for (const ServerLifetime server : { 11, 12 }) {
        this->crash(server, poison);
        this->crash(server, innocent);
        this->advance(1000);
    }
    LONGS_EQUAL(0, this->quarantine.quarantinedCount());
    this->crash(13, poison);
    this->advance(1000);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
    CHECK_TRUE(this->quarantine.decide(innocent) == SendDecision::Send);
    this->crash(14, innocent);
    this->advance(1000);
    CHECK_TRUE(this->quarantine.decide(innocent) == SendDecision::Send);
}

// Guards against two such requests that protect each other, because their crashes coincide.
TEST(CrashQuarantine, requestsWhoseCrashesCoincideAreBothRefused)
{
    for (ServerLifetime round = 0; round < 4; ++round) {
        this->crash(20 + round, 3);
        this->crash(30 + round, 4);
        this->advance(1500);
    }
    CHECK_TRUE(this->quarantine.decide(3) == SendDecision::Refuse);
    CHECK_TRUE(this->quarantine.decide(4) == SendDecision::Refuse);
}

// Guards against a harmless request whose repetition met a server that ended in the same moment as the first: the
// connection was open before, so that its reset was on its way.
TEST(CrashQuarantine, repetitionOnAnOpenConnectionCountsHalf)
{
    this->crash(11);
    this->advance(2);
    ServerCrash second = this->crashOn(12);
    second.isOnNewConnection = false;
    this->quarantine.recordCrash(second);
    this->advance(1000);
    LONGS_EQUAL(0, this->quarantine.quarantinedCount());
}

// Guards against two copies that were sent to one server after it had fallen silent, and count as two crashes.
TEST(CrashQuarantine, silentServerCountsOnceAndHalf)
{
    for (ServerLifetime server = 11; server < 14; ++server) {
        for (int copy = 0; copy < 2; ++copy) {
            ServerCrash crash = this->crashOn(server);
            crash.isSilent = true;
            this->quarantine.recordCrash(crash);
            this->advance(1500);
        }
    }
    LONGS_EQUAL(0, this->quarantine.quarantinedCount());
}

// Guards against one server that starts again under its id, while the store cannot tell, and counts only once.
TEST(CrashQuarantine, repeatedCrashesOfOneServerCount)
{
    this->crash(11);
    this->advance(2000);
    this->crash(11);
    this->advance(1000);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
}

// Guards against a quarantine that ends while the request still comes, and one that never ends.
TEST(CrashQuarantine, quarantineEndsSomeTimeAfterTheLastRequest)
{
    this->putInQuarantine();
    const int64_t retentionMs = std::chrono::duration_cast<Milliseconds>(CrashQuarantine::retentionTime).count();
    for (int count = 0; count < 3; ++count) {
        this->advance(retentionMs - 1);
        CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
    }
    LONGS_EQUAL(retentionMs, this->quarantine.remainingTime(poison).count());
    this->advance(retentionMs);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    this->advance(2000);
    CHECK_TRUE(this->quarantine.entries().empty());
}

// Guards against a quarantine that comes back from a peer or from the store after an operator has cleared it.
TEST(CrashQuarantine, clearedRequestIsSentAndStaysCleared)
{
    CHECK_FALSE(this->quarantine.clear(poison));
    CrashQuarantine peer(this->clock);
    this->putInQuarantine();
    const SteadyTime beganAt = this->quarantine.entries().front().beganAt;
    peer.merge(this->quarantine.nextSummary());
    this->advance(1000);
    CHECK_TRUE(this->quarantine.clear(poison));
    this->quarantine.merge(peer.nextSummary());
    this->quarantine.adoptQuarantine(poison, beganAt, this->clock.now());
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    for (const QuarantineMessage& message : this->quarantine.collectNews())
        peer.merge(message);
    CHECK_TRUE(peer.decide(poison) == SendDecision::Send);
    // It crashes servers again.
    this->advance(1000);
    this->putInQuarantine();
    peer.adoptClearance(poison, this->clock.now());
    CHECK_TRUE(peer.decide(poison) == SendDecision::Send);
}

// Guards against crashes that count for one instance only: two instances each see one.
TEST(CrashQuarantine, crashesOfTwoInstancesAddUp)
{
    CrashQuarantine peer(this->clock);
    this->crash(11);
    peer.recordCrash(this->crashOn(11, innocent));
    this->advance(1000);
    for (const QuarantineMessage& message : this->quarantine.collectNews())
        peer.merge(message);
    peer.recordCrash(this->crashOn(12));
    this->advance(CrashQuarantine::settlingTime.count());
    peer.update();
    CHECK_TRUE(peer.decide(poison) == SendDecision::Refuse);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Send);
    for (const QuarantineMessage& message : peer.collectNews())
        this->quarantine.merge(message);
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
}

// Guards against memory and messages that grow with the number of different requests.
TEST(CrashQuarantine, memoryAndMessagesAreBounded)
{
    this->putInQuarantine();
    for (uint64_t request = 1000; request < 1'000'000; ++request) {
        CHECK_TRUE(this->quarantine.decide(request) == SendDecision::Send);
        this->quarantine.recordResponse(request);
    }
    LONGS_EQUAL(1, this->quarantine.entries().size());
    for (uint64_t request = 1000; request < 1000 + 3 * CrashQuarantine::maximumRequests; ++request)
        this->crash(request, request);
    LONGS_EQUAL(CrashQuarantine::maximumRequests, this->quarantine.entries().size());
    CHECK_TRUE(this->quarantine.decide(poison) == SendDecision::Refuse);
    CHECK_TRUE(this->quarantine.nextSummary().size() <= CrashQuarantine::maximumReportsPerMessage);
    for (const QuarantineMessage& message : this->quarantine.collectNews())
        CHECK_TRUE(message.size() <= CrashQuarantine::maximumReportsPerMessage);
}

// Guards against requests that are never part of a summary.
TEST(CrashQuarantine, summariesTellOfAllRequestsInTurn)
{
    constexpr RequestFingerprint requests = 100;
    for (RequestFingerprint request = 1; request <= requests; ++request)
        this->crash(request, request);
    CrashQuarantine peer(this->clock);
    for (size_t count = 0; count < 1 + requests / CrashQuarantine::maximumReportsPerMessage; ++count)
        peer.merge(this->quarantine.nextSummary());
    LONGS_EQUAL(requests, peer.entries().size());
}

// Guards against messages that are not what this release sends.
TEST(CrashQuarantine, malformedMessagesAreRefused)
{
    this->putInQuarantine();
    const std::string bytes = encodeLoadMessage(this->quarantine.nextSummary());
    CHECK_TRUE(decodeLoadMessage<QuarantineMessage>(bytes).has_value());
    for (size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decodeLoadMessage<QuarantineMessage>(std::string_view(bytes).substr(0, size)).has_value());
    CHECK_FALSE(decodeLoadMessage<QuarantineMessage>(bytes + "x").has_value());
    CHECK_FALSE(decodeLoadMessage<QuarantineMessage>("WRL1Qnothing").has_value());
}
