#include <wagtailrack/edge/CrashQuarantine.h>

#include <FakeClock.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace wagtailrack;
using namespace wagtailrack::edge;

namespace {

constexpr RequestFingerprint poison = 1;
constexpr int64_t stepMs = 5;
// The shortest bound of the deployments, and what they allow to arrive later.
constexpr int64_t stabilityMs = 3000;
constexpr size_t toleratedArrivals = 3;
// How long a copy waits for a decision, as in RequestForwarder.
constexpr int64_t maximumWaitMs = 1000;

struct Scenario {
    size_t instances = 8;
    // Mean time between two copies of the request.
    double intervalMs = 100;
    bool isIdempotent = true;
    // Messages between instances.
    double lostRatio = 0;
    int64_t maximumDelayMs = 60;
    // Time until an instance knows that the server has ended.
    int64_t maximumDetectionMs = 110;
    // Interval at which all instances are replaced, one by one; 0 for never.
    int64_t replacementMs = 0;
    unsigned seed = 1;
};

// Instances that share nothing but messages, and callers that send a request which crashes servers at any of them.
class CrashingRequestSimulation {
public:
    explicit CrashingRequestSimulation(const Scenario& scenario)
        : scenario(scenario)
        , generator(scenario.seed)
    {
        for (size_t index = 0; index < scenario.instances; ++index)
            this->instances.push_back({ std::make_unique<CrashQuarantine>(this->clock), -stabilityMs });
    }

    void run(int64_t durationMs)
    {
        const int64_t endMs = this->nowMs + durationMs;
        while (this->nowMs < endMs) {
            this->step();
            this->nowMs += stepMs;
            this->clock.advance(Milliseconds(stepMs));
        }
    }

    // Those that count: sent by instances that had not just been started.
    size_t arrivalsAfterTheThirdCrash() const
    {
        if (this->arrivals.size() < 3)
            return 0;
        const int64_t fromMs = this->arrivals[2].atMs + stabilityMs;
        return static_cast<size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
            [&](const Arrival& arrival) { return arrival.isInTouch && arrival.atMs > fromMs; }));
    }
    size_t crashCount() const { return this->arrivals.size(); }

private:
    struct Instance {
        std::unique_ptr<CrashQuarantine> quarantine;
        int64_t startedMs;
    };
    struct Arrival {
        int64_t atMs;
        bool isInTouch;
    };
    struct Copy {
        size_t instance;
        int64_t arrivedMs;
        int sends = 0;
    };
    struct Delivery {
        int64_t atMs;
        size_t target;
        QuarantineMessage message;
    };
    struct Detection {
        int64_t atMs;
        size_t instance;
        ServerCrash crash;
    };

    int64_t below(int64_t bound) { return static_cast<int64_t>(this->generator() % static_cast<uint64_t>(bound)); }

    size_t drawInstance() { return static_cast<size_t>(this->generator() % this->instances.size()); }

    void send(size_t from, size_t target, const QuarantineMessage& message)
    {
        if (from == target || static_cast<double>(this->below(1000)) < 1000 * this->scenario.lostRatio)
            return;
        this->deliveries.push_back({ this->nowMs + this->below(this->scenario.maximumDelayMs + 1), target, message });
    }

    void exchangeMessages()
    {
        std::erase_if(this->deliveries, [this](const Delivery& delivery) {
            if (delivery.atMs > this->nowMs)
                return false;
            this->instances[delivery.target].quarantine->merge(delivery.message);
            return true;
        });
        for (size_t index = 0; index < this->instances.size(); ++index) {
            CrashQuarantine& quarantine = *this->instances[index].quarantine;
            quarantine.update();
            for (const QuarantineMessage& message : quarantine.collectNews()) {
                for (size_t target = 0; target < this->instances.size(); ++target)
                    this->send(index, target, message);
            }
            if (this->nowMs % 1000 == 0) {
                const QuarantineMessage summary = quarantine.nextSummary();
                for (int count = 0; count < 2; ++count)
                    this->send(index, this->drawInstance(), summary);
            }
        }
    }

    // Sends the copy if that is allowed now. Returns whether the copy has ended.
    bool progress(Copy& copy)
    {
        const Instance& instance = this->instances[copy.instance];
        const SendDecision decision = instance.quarantine->decide(poison);
        if (decision == SendDecision::Wait)
            return this->nowMs - copy.arrivedMs >= maximumWaitMs;
        if (decision == SendDecision::Refuse)
            return true;
        this->arrivals.push_back({ this->nowMs, this->nowMs >= instance.startedMs + stabilityMs });
        const SteadyTime now = this->clock.now();
        this->detections.push_back({ this->nowMs + this->below(this->scenario.maximumDetectionMs + 1), copy.instance,
            { poison, ++this->lastServer, now, now + Milliseconds(1), true } });
        return !this->scenario.isIdempotent || ++copy.sends >= 2;
    }

    void step()
    {
        if (this->scenario.replacementMs > 0 && this->nowMs % this->scenario.replacementMs == 0 && this->nowMs > 0) {
            const size_t replaced = this->replacements++ % this->instances.size();
            this->instances[replaced] = { std::make_unique<CrashQuarantine>(this->clock), this->nowMs };
            std::erase_if(this->copies, [replaced](const Copy& copy) { return copy.instance == replaced; });
            std::erase_if(this->detections, [replaced](const Detection& found) { return found.instance == replaced; });
        }
        this->exchangeMessages();
        std::erase_if(this->detections, [this](const Detection& detection) {
            if (detection.atMs > this->nowMs)
                return false;
            this->instances[detection.instance].quarantine->recordCrash(detection.crash);
            return true;
        });
        if (static_cast<double>(this->below(1'000'000)) < 1e6 * stepMs / this->scenario.intervalMs)
            this->copies.push_back({ this->drawInstance(), this->nowMs });
        std::erase_if(this->copies, [this](Copy& copy) { return this->progress(copy); });
    }

    const Scenario scenario;
    std::mt19937_64 generator;
    FakeClock clock;
    std::vector<Instance> instances;
    std::vector<Copy> copies;
    std::vector<Delivery> deliveries;
    std::vector<Detection> detections;
    std::vector<Arrival> arrivals;
    int64_t nowMs = 0;
    ServerLifetime lastServer = 0;
    size_t replacements = 0;
};

}

TEST_GROUP(CrashingRequestSimulation) { // Plays the scenario with several seeds.
    void checkBound(Scenario scenario) {
        for (scenario.seed = 1; scenario.seed <= 10; ++scenario.seed) { CrashingRequestSimulation simulation(scenario);
simulation.run(20'000);
CHECK_TRUE(simulation.crashCount() > 0);
CHECK_TRUE(simulation.arrivalsAfterTheThirdCrash() <= toleratedArrivals);
}
}
}
;

// Guards against a request that is sent on because its copies come at different instances.
TEST(CrashingRequestSimulation, copiesAtAnyInstanceStop)
{
    for (const double intervalMs : { 20.0, 100.0, 1500.0 }) {
        for (const bool isIdempotent : { true, false }) {
            for (const size_t instances : { 8UL, 95UL })
                this->checkBound({ .instances = instances, .intervalMs = intervalMs, .isIdempotent = isIdempotent });
        }
    }
}

// As above, while messages between the instances are late or lost.
TEST(CrashingRequestSimulation, copiesStopAlthoughMessagesAreLateOrLost)
{
    for (const size_t instances : { 8UL, 95UL }) {
        this->checkBound({ .instances = instances, .lostRatio = 0.3, .maximumDelayMs = 300 });
        this->checkBound({ .instances = instances,
            .intervalMs = 1000,
            .isIdempotent = false,
            .lostRatio = 0.6,
            .maximumDelayMs = 300 });
    }
}

// As above, while instances are replaced by ones that know nothing.
TEST(CrashingRequestSimulation, copiesStopAlthoughInstancesAreReplaced)
{
    this->checkBound({ .replacementMs = 1000 });
    this->checkBound({ .instances = 95, .intervalMs = 300, .replacementMs = 200 });
}
