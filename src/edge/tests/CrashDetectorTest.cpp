#include <wagtailrack/edge/CrashDetector.h>

#include <FakeClock.h>

#include <CppUTest/TestHarness.h>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(CrashDetector)
{
    FakeClock clock;
    CrashDetector detector { this->clock };
    BackendServer server;
    std::vector<ServerCrash> crashes;

    void setup() override
    {
        this->server.record.id = "s1";
        this->server.record.startedAtMs = 5;
        this->detector.setCrashHook(
            [this](const ServerCrash& crash, const BackendServer&, CrashEvidence) { this->crashes.push_back(crash); });
    }

    // An attempt that was sent now and ends 100 ms later without a response.
    void breakAttempt(RequestFingerprint request)
    {
        const SteadyTime sentAt = this->clock.now();
        this->clock.advance(Milliseconds(100));
        this->detector.recordBrokenAttempt(this->server, request, sentAt, true);
    }
};

// Guards against ends of servers that are known too late: a refused connection shows them at once, for all requests
// that the server was running.
TEST(CrashDetector, refusedConnectionConfirmsAllAttempts)
{
    this->breakAttempt(1);
    this->breakAttempt(2);
    LONGS_EQUAL(0, this->crashes.size());
    this->detector.recordRefusedConnection(this->server);
    LONGS_EQUAL(2, this->crashes.size());
    CHECK_TRUE(this->crashes[0].request == 1 && this->crashes[1].request == 2);
    CHECK_TRUE(this->crashes[0].endedAt - this->crashes[0].sentAt == Milliseconds(100));
    this->detector.recordRefusedConnection(this->server);
    LONGS_EQUAL(2, this->crashes.size());
}

// Guards against servers that end silently and are never found out.
TEST(CrashDetector, removalOfTheRecordConfirmsAttemptsThatTimedOut)
{
    this->breakAttempt(1);
    this->clock.advance(Milliseconds(5000));
    this->detector.recordRemoval(this->server);
    LONGS_EQUAL(1, this->crashes.size());
}

// Guards against resets of single connections that count as ends: the server goes on responding, and ends much later.
TEST(CrashDetector, laterResponseShowsThatTheServerRunsOn)
{
    this->breakAttempt(1);
    this->detector.recordResponse(this->server, this->clock.now());
    this->detector.recordRemoval(this->server);
    LONGS_EQUAL(0, this->crashes.size());
}

// Guards against a response that was on its way when the server ended, and is taken for a sign that it runs on.
TEST(CrashDetector, responseToAnEarlierAttemptShowsNothing)
{
    const SteadyTime before = this->clock.now();
    this->breakAttempt(1);
    this->detector.recordResponse(this->server, before);
    this->detector.recordRefusedConnection(this->server);
    LONGS_EQUAL(1, this->crashes.size());
}

// Guards against planned ends that count, another lifetime under the same id, and old attempts.
TEST(CrashDetector, plannedEndsOtherLifetimesAndOldAttemptsDoNotCount)
{
    this->breakAttempt(1);
    this->server.record.startedAtMs = 6;
    this->detector.recordRefusedConnection(this->server);
    this->clock.advance(CrashDetector::recordLapseTime + Milliseconds(1));
    this->server.record.startedAtMs = 5;
    this->detector.recordRefusedConnection(this->server);
    this->server.isLeaving = true;
    CHECK_FALSE(this->detector.recordBrokenAttempt(this->server, 1, this->clock.now(), true));
    this->detector.recordRefusedConnection(this->server);
    LONGS_EQUAL(0, this->crashes.size());
}

// Guards against memory that grows with the attempts that a service without servers gets.
TEST(CrashDetector, numberOfOpenAttemptsIsBounded)
{
    for (size_t index = 0; index < 2 * CrashDetector::maximumOpenAttempts; ++index)
        this->detector.recordBrokenAttempt(this->server, index, this->clock.now(), true);
    this->detector.recordRefusedConnection(this->server);
    LONGS_EQUAL(CrashDetector::maximumOpenAttempts, this->crashes.size());
}

// Guards against requests that are blamed although they were sent to a server that had fallen silent before.
TEST(CrashDetector, attemptsAfterTheServerFellSilentDoNotCount)
{
    this->breakAttempt(1);
    this->clock.advance(Milliseconds(1));
    this->detector.recordBrokenAttempt(this->server, 2, this->clock.now(), false);
    this->detector.recordRemoval(this->server);
    LONGS_EQUAL(1, this->crashes.size());
    CHECK_TRUE(this->crashes.front().request == 1 && this->crashes.front().isSilent);
}

// Guards against requests that differ in one part and count as the same.
TEST(CrashDetector, fingerprintDistinguishesAllParts)
{
    const RequestFingerprint request = fingerprintOf("a", "GET", "/p?x=1", "body");
    CHECK_TRUE(request == fingerprintOf("a", "GET", "/p?x=1", "body"));
    CHECK_TRUE(request != fingerprintOf("b", "GET", "/p?x=1", "body"));
    CHECK_TRUE(request != fingerprintOf("a", "PUT", "/p?x=1", "body"));
    CHECK_TRUE(request != fingerprintOf("a", "GET", "/p", "body"));
    CHECK_TRUE(request != fingerprintOf("a", "GET", "/p?x=1", ""));
    STRCMP_EQUAL("00000000000000ff", toString(RequestFingerprint(255)).c_str());
}
