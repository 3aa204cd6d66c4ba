#include <wagtailrack/edge/RequestExplanation.h>

#include <FakeClock.h>

#include <CppUTest/TestHarness.h>

#include "ServiceSimulation.h"

#include <algorithm>

using namespace wagtailrack;
using namespace wagtailrack::edge;

namespace {

constexpr const char* host = "a.example";
constexpr int64_t demandOfTestedRegion = 40;

// The parts of an instance that decide on requests, with a route over two services and a limited workspace.
struct DecidingInstance {
    explicit DecidingInstance(FakeClock& usedClock)
        : clock(usedClock)
    {
        this->settings.name = "n1";
        this->settings.region = "north";
        this->settings.failureDomain = "north-a";
        std::vector<ServerRecord> records = simulation::serverRecords(12);
        const std::vector<ServerRecord> prices = records;
        for (ServerRecord record : prices) {
            record.id = "o" + record.id;
            record.service = "orders";
            record.address.port = 9090;
            records.push_back(record);
        }
        records[0].coldRemainingMs = 3000;
        this->fleet.applyRecords(records, this->clock.now());
        this->rule.weightedServices = { { "prices", 3 }, { "orders", 1 } };
        this->publish();
    }

    void publish()
    {
        WorkspaceDirectory directory;
        directory.add({ "mill", std::nullopt, 4, 4, {} }, { "key-1" });
        this->table
            = std::make_shared<RoutingTable>(7, CallerLimits(), RoutingTable::RoutesByHost { { host, { this->rule } } },
                RoutingTable::ServicesByName {
                    { "prices", { "prices", 330, 3000, 2.9 } }, { "orders", { "orders", 330, 3000, 2.9 } } },
                std::move(directory));
    }

    ExplanationSources sources() const
    {
        return { this->clock, this->settings, this->table, 10, this->isOutdated, false, this->fleet, this->shiftLimiter,
            this->regionShares, this->quarantine, this->usageLimiter, this->admission, this->trafficSplit,
            this->processingTimes, this->roundTripsMs, this->senders, false, [](const BackendServer&) { return true; },
            this->recentRequests };
    }

    RequestExplanation ask(const std::string& object, const std::string& path = "/p/1") const
    {
        const auto answer = explain(this->sources(), { host, path, "GET", object, "mill", "" });
        CHECK_TRUE(answer.has_value());
        return answer.value();
    }

    // Decides on a request as RequestForwarder does, and returns all that was decided.
    std::string decide(const std::string& object)
    {
        const SteadyTime now = this->clock.now();
        const Workspace& workspace = *this->table->findWorkspaceByName("mill");
        const UsageDecision usage = this->usageLimiter.admit(workspace);
        const RequestFingerprint fingerprint = fingerprintOf(host, "GET", "/p/1", "");
        const SendDecision send = this->quarantine.decide(fingerprint);
        const std::string service = this->trafficSplit.choose(this->rule);
        const AdmissionRequest admitted { service, this->rule.name, "mill", this->rule.priority, 400, false };
        const bool isBeyondShare = this->admission.recordArrival(admitted);
        const PlacementRequest request { this->rule, *this->table->findService(service), object, "north", "north-a",
            this->roundTripsMs, [](const BackendServer&) { return true; }, now, now + Milliseconds(2000),
            this->shiftLimiter, this->senders, this->noneTried, false, &this->regionShares };
        const auto choice = chooseServer(this->fleet, request, initialProcessingTime(this->rule), now);
        this->chosen = choice ? choice->server->record.id : "";
        std::string text = service + " " + std::to_string(static_cast<int>(send)) + std::to_string(usage.isAllowed)
            + std::to_string(usage.isPending) + std::to_string(isBeyondShare) + " " + this->chosen;
        if (!choice)
            return text;
        const AdmissionDecision decision = this->admission.decide(admitted, isBeyondShare, *choice);
        this->admission.recordSend(admitted);
        this->shiftLimiter.recordSend(choice->server->region != "north");
        this->fleet.recordCachedObject(*choice->server, choice->objectHash);
        this->fleet.beginAttempt(*choice->server, choice->expectedProcessingMs);
        if (object.size() % 2 == 0)
            this->fleet.endAttempt(*choice->server, AttemptOutcome::Answered);
        return text + " " + std::to_string(choice->score) + toString(decision.outcome);
    }

    BackendServer& server(const std::string& id)
    {
        for (const BackendServerPointer& server : this->fleet.servers("prices")) {
            if (server->record.id == id)
                return *server;
        }
        FAIL("no such server");
        throw std::logic_error(id);
    }

    FakeClock& clock;
    EdgeSettings settings;
    RouteRule rule = simulation::lookupRoute();
    RoutingTablePointer table;
    bool isOutdated = false;
    BackendFleet fleet { this->clock, simulation::regionOfDomain() };
    ShiftLimiter shiftLimiter { this->clock };
    RegionShares regionShares { this->clock, "north" };
    CrashQuarantine quarantine { this->clock };
    UsageLimiter usageLimiter { this->clock };
    OverloadAdmission admission;
    TrafficSplit trafficSplit;
    RecentRequests recentRequests { this->clock };
    std::map<std::string, ProcessingTimeEstimate> processingTimes;
    std::map<std::string, double> roundTripsMs { { "south", 60 }, { "west", 80 } };
    ColdServerSenders senders { { 1 }, 1, 5 };
    std::set<const BackendServer*> noneTried;
    std::string chosen;
};

std::string refusalOf(const RequestExplanation& explanation)
{
    return explanation.refusal ? explanation.refusal->reason : "send";
}

}

TEST_GROUP(RequestExplanation)
{
    FakeClock clock;
    DecidingInstance instance { this->clock };

    void setup() override
    {
        this->instance.rule.weightedServices = { { "prices", 1 } };
        this->instance.publish();
        this->instance.usageLimiter.addTokens(workspaceKey("mill"), 100, this->clock.now() + Milliseconds(60000));
    }

    std::string reasonFor(const std::string& server) const
    {
        const RequestExplanation explanation = this->instance.ask("17");
        for (const ExplainedServer& explained : explanation.servers) {
            if (explained.server->record.id == server)
                return explained.reason;
        }
        return "not listed";
    }
};

// Guards against questions that take cold or usage tokens, move shares or count requests: two instances with the same
// requests, one of which is asked 10,000 questions, decide alike. Also guards against answers that differ from the
// decision on the next request.
TEST(RequestExplanation, questionsChangeNoDecision)
{
    constexpr int decisions = 200;
    constexpr int questionsPerDecision = 50;
    DecidingInstance asked(this->clock);
    DecidingInstance unasked(this->clock);
    for (DecidingInstance* each : { &asked, &unasked }) {
        each->quarantine.recordCrash({ fingerprintOf(host, "GET", "/p/1", ""), 11, this->clock.now(),
            this->clock.now() + Milliseconds(1), true });
        each->usageLimiter.addTokens(workspaceKey("mill"), 50, this->clock.now() + Milliseconds(3000));
    }
    int wrongAnswers = 0;
    for (int decision = 0; decision < decisions; ++decision) {
        const std::string object = std::to_string(decision % 60);
        RequestExplanation answer;
        for (int question = 0; question < questionsPerDecision; ++question)
            answer = asked.ask(object);
        STRCMP_EQUAL(unasked.decide(object).c_str(), asked.decide(object).c_str());
        const std::string told = answer.choice ? answer.choice->server->record.id : "";
        wrongAnswers += told != asked.chosen ? 1 : 0;
        this->clock.advance(Milliseconds(20));
    }
    LONGS_EQUAL(0, wrongAnswers);
}

// Guards against a question that recomputes or moves the shares of the regions.
TEST(RequestExplanation, questionsMoveNoShares)
{
    const auto demandKey = sumRegionDemand(this->instance.fleet, { { this->instance.server("s3").key, 1 } });
    this->instance.regionShares.setDemand(
        { { demandKey.front().serviceAndRegion, static_cast<uint32_t>(demandOfTestedRegion) } }, 0);
    this->instance.ask("17");
    const auto sharesAreKnown = [this] {
        bool isKnown = false;
        this->instance.regionShares.forEachShare([&](const std::string&, const RegionShare&) { isKnown = true; });
        return isKnown;
    };
    CHECK_FALSE(sharesAreKnown());
    this->instance.decide("17");
    const std::vector<RegionShare> before = this->instance.regionShares.currentShares("prices");
    CHECK_FALSE(before.empty());
    this->clock.advance(Milliseconds(1000));
    this->instance.ask("17");
    CHECK_TRUE(before == this->instance.regionShares.currentShares("prices"));
}

// Guards against a server without a reason, or with a wrong one.
TEST(RequestExplanation, namesOneReasonForEachServer)
{
    LONGS_EQUAL(12, this->instance.ask("17").servers.size());
    const std::string best = this->instance.ask("17").choice->server->record.id;
    STRCMP_EQUAL("chosen", this->reasonFor(best).c_str());
    STRCMP_EQUAL("lower-score", this->reasonFor(best == "s3" ? "s6" : "s3").c_str());
    BackendServer& first = this->instance.server("s3");
    first.coldUntil = this->clock.now() + Milliseconds(1000);
    first.coldTokens = 0;
    first.coldTokensRefilledAt = this->clock.now();
    for (const char* other : { "s0", "s6", "s9" })
        this->instance.server(other).isLeaving = true;
    this->instance.fleet.setEvacuatedDomains({ "west-a" }, 0);
    this->instance.rule.homeRegions = { "north", "west" };
    this->instance.publish();
    STRCMP_EQUAL("cold-no-token", this->reasonFor("s3").c_str());
    this->instance.senders.isSettled = false;
    STRCMP_EQUAL("cold-other-sender", this->reasonFor("s3").c_str());
    STRCMP_EQUAL("leaving", this->reasonFor("s6").c_str());
    STRCMP_EQUAL("evacuated", this->reasonFor("s2").c_str());
    STRCMP_EQUAL("not-home-region", this->reasonFor("s1").c_str());
    first.coldUntil = {};
    STRCMP_EQUAL("chosen", this->reasonFor("s3").c_str());
    first.pausedUntil = this->clock.now() + Milliseconds(700);
    STRCMP_EQUAL("pausing", this->reasonFor("s3").c_str());
    STRCMP_EQUAL("servers-pause", refusalOf(this->instance.ask("17")).c_str());
    DOUBLES_EQUAL(0.7, this->instance.ask("17").refusal->retryAfterSeconds, 0.001);
    first.pausedUntil = {};
    first.resumeWindow = 1;
    first.inFlight = 1;
    STRCMP_EQUAL("resuming", this->reasonFor("s3").c_str());
    STRCMP_EQUAL("no-server", refusalOf(this->instance.ask("17")).c_str());
}

// Guards against the limits that depend on other servers missing from the reasons.
TEST(RequestExplanation, namesLimitsThatDependOnOtherServers)
{
    this->instance.server("s3").avoidUntil = this->clock.now() + Milliseconds(1000);
    STRCMP_EQUAL("unreachable", this->reasonFor("s3").c_str());
    this->instance.shiftLimiter.setCrossRegionRatios({ 0.5, 0.1, false });
    for (int request = 0; request < 5; ++request)
        this->instance.shiftLimiter.recordSend(true);
    STRCMP_EQUAL("shift-limit", this->reasonFor("s1").c_str());
    BackendServer& tried = this->instance.server("s6");
    const std::set<const BackendServer*> triedServers { &tried };
    const std::string object = "17";
    const std::function<bool(const BackendServer&)> hasConnection = [](const BackendServer&) { return true; };
    const ServiceSettings& service = *this->instance.table->findService("prices");
    std::vector<ExcludedServer> excluded;
    rankServers(this->instance.fleet,
        { this->instance.rule, service, object, this->instance.settings.region, this->instance.settings.failureDomain,
            this->instance.roundTripsMs, hasConnection, this->clock.now(), this->clock.now() + Milliseconds(2000),
            this->instance.shiftLimiter, this->instance.senders, triedServers, false,
            this->instance.regionShares.currentShares("prices") },
        { 640, 190 }, this->clock.now(), &excluded);
    CHECK_TRUE(std::any_of(excluded.begin(), excluded.end(), [&tried](const ExcludedServer& server) {
        return server.server.get() == &tried && server.reason == ServerExclusion::AlreadyTried;
    }));
}

// Guards against an answer that names a server although the request would be refused, and against a wrong Retry-After.
TEST(RequestExplanation, namesRefusals)
{
    STRCMP_EQUAL("no-route", refusalOf(explain(this->instance.sources(), { "b.example", "/p/1" }).value()).c_str());
    this->instance.isOutdated = true;
    const RequestExplanation outdated = explain(this->instance.sources(), { "b.example", "/p/1" }).value();
    STRCMP_EQUAL("configuration-outdated", refusalOf(outdated).c_str());
    DOUBLES_EQUAL(1.0 / 3, outdated.refusal->retryAfterSeconds, 0.001);
    this->instance.isOutdated = false;
    STRCMP_EQUAL("key-missing", refusalOf(explain(this->instance.sources(), { host, "/p/1" }).value()).c_str());
    CHECK_FALSE(explain(this->instance.sources(), { host, "/p/1", "GET", "", "key-1", "" }).has_value());
    this->instance.quarantine.adoptQuarantine(
        fingerprintOf(host, "GET", "/p/9", ""), this->clock.now(), this->clock.now());
    STRCMP_EQUAL("quarantined", refusalOf(this->instance.ask("17", "/p/9")).c_str());
    for (const BackendServerPointer& server : this->instance.fleet.servers("prices"))
        server->inFlight = 40;
    STRCMP_EQUAL("no-time", refusalOf(this->instance.ask("17")).c_str());
    this->instance.table = nullptr;
    STRCMP_EQUAL("no-configuration", refusalOf(explain(this->instance.sources(), { host, "/p/1" }).value()).c_str());
}

// Guards against API keys in what is kept or printed, and against unbounded memory for requests of the last minute.
TEST(RequestExplanation, recentRequestsAreBoundedAndHaveNoQuery)
{
    RecentRequests& recent = this->instance.recentRequests;
    for (size_t index = 0; index < 3 * RecentRequests::maximumRequests; ++index)
        recent.add({ "id-" + std::to_string(index), "lookup", "17", "mill", host, "GET",
            "/p/" + std::string(10'000, 'x') + "?key=secret", 1 });
    CHECK_TRUE(recent.bytes() <= RecentRequests::maximumBytes && recent.size() <= RecentRequests::maximumRequests);
    recent.add({ "id", "lookup", "17", "mill", host, "GET", "/p/1?key=secret", 1 });
    const HttpResponse found = explainRequest(this->instance.sources(), "id=id");
    LONGS_EQUAL(200, found.result_int());
    CHECK_TRUE(found.body().find("secret") == std::string::npos);
    this->clock.advance(std::chrono::duration_cast<Milliseconds>(RecentRequests::retentionTime) + Milliseconds(1));
    LONGS_EQUAL(404, explainRequest(this->instance.sources(), "id=id").result_int());
    const HttpResponse refused = explainRequest(this->instance.sources(), "host=a.example&path=/p/1&api_key=secret");
    LONGS_EQUAL(400, refused.result_int());
    CHECK_TRUE(refused.body().find("secret") == std::string::npos);
}
