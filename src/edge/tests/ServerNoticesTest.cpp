#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/Placement.h>
#include <wagtailrack/edge/ServerNotices.h>

#include <CppUTest/TestHarness.h>

#include "ServiceSimulation.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(ServerNotices)
{
    FakeClock clock;
    BackendFleet fleet { this->clock, simulation::regionOfDomain() };
    RouteRule rule = simulation::lookupRoute();
    ServiceSettings service { "prices", 0, 0, 1 };
    EdgeHeaderNames names;

    void setup() override
    {
        this->names.serverLeaving = "X-Leaving";
        this->applyRecords(2);
    }

    void applyRecords(int count) { this->fleet.applyRecords(simulation::serverRecords(count), this->clock.now()); }

    BackendServer& server(size_t index) { return *this->fleet.servers("prices").at(index); }

    ServerNotices read(unsigned status, const std::string& retryAfter, const std::string& leaving = "")
    {
        http::response_header<> head;
        head.result(status);
        if (!retryAfter.empty())
            head.set(http::field::retry_after, retryAfter);
        if (!leaving.empty())
            head.set("X-Leaving", leaving);
        return readServerNotices(head, this->names, this->clock.now());
    }

    std::optional<PlacementChoice> choose(const std::string& key = "17")
    {
        ShiftLimiter shiftLimiter(this->clock);
        return this->choose(key, shiftLimiter);
    }

    std::optional<PlacementChoice> choose(const std::string& key, ShiftLimiter& shiftLimiter)
    {
        const SteadyTime now = this->clock.now();
        const std::map<std::string, double> roundTripsMs;
        const std::set<const BackendServer*> excludedServers;
        const ColdServerSenders senders { { 1 }, 1, 5 };
        const PlacementRequest request { this->rule, this->service, key, "north", "north-a", roundTripsMs,
            [](const BackendServer&) { return true; }, now, now + Milliseconds(2000), shiftLimiter, senders,
            excludedServers };
        return chooseServer(this->fleet, request, { 640, 190 }, now);
    }
};

// Guards against values of Retry-After that are no number of seconds pausing a server, or valid ones being dropped.
TEST(ServerNotices, onlySecondsPause)
{
    for (const char* text :
        { "-1", "nan", "inf", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", "0x10", "1,5", ".5", "1.2.3" })
        LONGS_EQUAL(1, this->read(503, text).invalidFields);
    for (const char* text : { "-1", "nan", "inf", "1e9", "soon" })
        CHECK_FALSE(this->read(503, text).pausesUntil.has_value());
    CHECK_TRUE(this->read(503, "0").pausesUntil == this->clock.now());
    CHECK_TRUE(this->read(503, "1.5").pausesUntil == this->clock.now() + Milliseconds(1500));
    CHECK_TRUE(this->read(503, std::string(400, '9')).pausesUntil.value_or(this->clock.now())
        <= this->clock.now() + maximumServerPause);
    CHECK_FALSE(this->read(429, "2").pausesUntil.has_value());
}

// Guards against any value of the leaving field taking a server out of use for good.
TEST(ServerNotices, onlyOneMeansLeaving)
{
    CHECK_TRUE(this->read(200, "", "1").isLeaving);
    CHECK_TRUE(this->read(503, "", "1").isLeaving);
    for (const char* value : { "0", "true", "11" }) {
        CHECK_FALSE(this->read(200, "", value).isLeaving);
        LONGS_EQUAL(1, this->read(200, "", value).invalidFields);
    }
}

// Guards against a server that said it leaves getting requests again because its record is written again, or comes back
// after an outage of the store.
TEST(ServerNotices, leavingServerStaysOutForItsLifetime)
{
    CHECK_TRUE(this->fleet.recordLeavingNotice(this->server(0)));
    CHECK_FALSE(this->fleet.recordLeavingNotice(this->server(0)));
    this->applyRecords(2);
    CHECK_FALSE(this->fleet.isUsable(this->server(0)));
    this->applyRecords(0);
    this->clock.advance(Milliseconds(120'000));
    this->applyRecords(2);
    CHECK_FALSE(this->fleet.isUsable(this->server(0)));
    CHECK_TRUE(this->fleet.isUsable(this->server(1)));
    auto records = simulation::serverRecords(2);
    records[0].startedAtMs = 7;
    this->fleet.applyRecords(records, this->clock.now());
    CHECK_TRUE(this->fleet.isUsable(this->server(0)));
}

// Guards against another server at the address of one that left being kept out of use.
TEST(ServerNotices, otherServerAtTheSameAddressIsUsed)
{
    this->fleet.recordLeavingNotice(this->server(0));
    auto records = simulation::serverRecords(1);
    records[0].id = "successor";
    this->fleet.applyRecords(records, this->clock.now());
    CHECK_TRUE(this->choose().has_value());
}

// Guards against requests to a server that asked for a pause, as the preferred server of an object and as the last one.
TEST(ServerNotices, pausingServerGetsNoRequests)
{
    const BackendServerPointer preferred = this->choose()->server;
    const SteadyTime until = this->clock.now() + Milliseconds(3000);
    this->fleet.pause(*preferred, until);
    CHECK_TRUE(this->choose()->server != preferred);
    this->fleet.pause(*this->choose()->server, until - Milliseconds(1000));
    CHECK_FALSE(this->choose().has_value());
    CHECK_TRUE(earliestPauseEnd(this->fleet, "prices", this->rule, this->clock.now()) == until - Milliseconds(1000));
    // A shorter pause that is asked for later does not end the longer one.
    this->fleet.pause(*preferred, until - Milliseconds(2000));
    this->clock.advance(Milliseconds(2500));
    CHECK_TRUE(this->choose()->server != preferred);
    this->clock.advance(Milliseconds(600));
    CHECK_TRUE(this->choose()->server == preferred);
}

// Guards against all requests that prefer a server reaching it at the moment at which its pause ends.
TEST(ServerNotices, requestsReturnStepByStepAfterAPause)
{
    this->applyRecords(1);
    BackendServer& paused = this->server(0);
    this->fleet.pause(paused, this->clock.now() + Milliseconds(1000));
    this->clock.advance(Milliseconds(1000));
    for (int64_t allowed = 1; allowed <= paused.record.slots; ++allowed) {
        for (int64_t sent = 0; sent < allowed; ++sent) {
            CHECK_TRUE(this->choose().has_value());
            this->fleet.beginAttempt(paused, 190);
        }
        CHECK_FALSE(this->choose().has_value());
        this->fleet.endAttempt(paused, AttemptOutcome::Answered);
        for (int64_t sent = 1; sent < allowed; ++sent)
            this->fleet.endAttempt(paused, AttemptOutcome::Shed);
    }
    LONGS_EQUAL(0, paused.resumeWindow);
    CHECK_TRUE(this->choose().has_value());
}

// Guards against a server that said it leaves getting requests again because the store returns from a copy with the
// record of an earlier process of the same id.
TEST(ServerNotices, recordOfAnEarlierProcessDoesNotEndTheLeaving)
{
    auto records = simulation::serverRecords(1);
    records[0].startedAtMs = 7;
    this->fleet.applyRecords(records, this->clock.now());
    this->fleet.recordLeavingNotice(this->server(0));
    records[0].startedAtMs = 6;
    this->fleet.applyRecords(records, this->clock.now());
    CHECK_FALSE(this->fleet.isUsable(this->server(0)));
    records[0].startedAtMs = 8;
    this->fleet.applyRecords(records, this->clock.now());
    CHECK_TRUE(this->fleet.isUsable(this->server(0)));
}

// Guards against notices being lost whose request began before the server's record was missing for some time.
TEST(ServerNotices, noticeOfARequestFromBeforeTheRecordReturned)
{
    const BackendServerPointer before = this->fleet.servers("prices").at(0);
    this->applyRecords(0);
    this->applyRecords(2);
    this->fleet.pause(*before, this->clock.now() + Milliseconds(1000));
    CHECK_FALSE(isAcceptingRequests(this->server(0), this->clock.now()));
    CHECK_TRUE(this->fleet.recordLeavingNotice(*before));
    CHECK_FALSE(this->fleet.isUsable(this->server(0)));
    CHECK_TRUE(this->fleet.isUsable(this->server(1)));
}

// Guards against a pause ending early because the server's record is missing for some time.
TEST(ServerNotices, pauseOutlastsAMissingRecord)
{
    this->fleet.pause(this->server(0), this->clock.now() + Milliseconds(1000));
    this->applyRecords(0);
    this->applyRecords(2);
    CHECK_FALSE(isAcceptingRequests(this->server(0), this->clock.now()));
    this->clock.advance(Milliseconds(1000));
    CHECK_TRUE(isAcceptingRequests(this->server(0), this->clock.now()));
    auto records = simulation::serverRecords(1);
    this->fleet.pause(this->server(0), this->clock.now() + Milliseconds(1000));
    records[0].startedAtMs = 7;
    this->fleet.applyRecords(records, this->clock.now());
    CHECK_TRUE(isAcceptingRequests(this->server(0), this->clock.now()));
}

// Guards against refusals until the end of one server's long pause while other servers do not pause.
TEST(ServerNotices, pauseOfOneServerIsNotThatOfItsService)
{
    this->fleet.pause(this->server(0), this->clock.now() + Milliseconds(60'000));
    CHECK_FALSE(earliestPauseEnd(this->fleet, "prices", this->rule, this->clock.now()).has_value());
    this->fleet.recordLeavingNotice(this->server(1));
    CHECK_TRUE(earliestPauseEnd(this->fleet, "prices", this->rule, this->clock.now()).has_value());
}

// Guards against servers that pause at once being taken for lost servers, whose requests may change their region
// without a limit.
TEST(ServerNotices, pausesDoNotLiftTheLimitOfShiftsBetweenRegions)
{
    constexpr int requestCount = 200;
    constexpr double maximumShift = 0.15;
    this->applyRecords(12);
    ShiftLimiter shiftLimiter(this->clock);
    const auto countCrossRegion = [&] {
        int sent = 0;
        for (int index = 0; index < requestCount; ++index) {
            this->clock.advance(Milliseconds(5));
            const auto choice = this->choose(std::to_string(index), shiftLimiter);
            if (!choice)
                continue;
            shiftLimiter.recordSend(choice->server->region != "north");
            sent += choice->server->region != "north" ? 1 : 0;
        }
        return sent;
    };
    LONGS_EQUAL(0, countCrossRegion());
    int paused = 0;
    for (const BackendServerPointer& server : this->fleet.servers("prices")) {
        if (server->region != "north")
            continue;
        this->fleet.pause(*server, this->clock.now() + Milliseconds(10'000));
        // The first case is a region with one of four servers left, whose slots are taken.
        if (++paused == 3)
            CHECK_TRUE(countCrossRegion() <= maximumShift * requestCount);
    }
    LONGS_EQUAL(4, paused);
    CHECK_TRUE(countCrossRegion() <= maximumShift * requestCount);
}
