// Case: a planned stop while callers send further idempotent requests before the first one has been answered. Checked
// is rule LOST around planned work: a request that was read whole, passed on to a server, and whose connection ends
// without a complete answer.
#include "scene.h"

using namespace scene;

namespace {

constexpr int64_t stopAtMs = 12000;
constexpr int64_t callersEndMs = 22000;
constexpr int64_t graceMs = 6000;

struct Tally {
    std::mutex mutex;
    int lost = 0;
    int notPassedOn = 0;
    int answered = 0;
};

// A caller that sends three requests at once, as "clients send further idempotent requests before the first request has
// been answered", and reads the answers in order. The first one works for 300 ms, the others for longer.
// After an answer with "Connection: close", and after a cut, it goes on at the other machine.
void pipeline(const std::vector<std::unique_ptr<Machine>>& machines, const Network& network, int number, Tally& tally)
{
    size_t current = static_cast<size_t>(number) % machines.size();
    std::unique_ptr<Stream> stream;
    while (nowMs() < callersEndMs) {
        const Machine& machine = *machines[current];
        if (!stream)
            stream = Stream::connect(machine.host(), network.front, 300);
        if (!stream) {
            sleepMs(200);
            current = (current + 1) % machines.size();
            continue;
        }
        const std::string key = std::to_string(1000 + number);
        std::vector<std::string> attempts;
        std::string text;
        for (const char* workMs : { "300", "900", "900" }) {
            attempts.push_back(newAttemptId());
            text += requestText("GET", std::string("/sync/") + workMs + "/" + key, attempts.back(), 6000, key);
            Record::shared().line("caller %d sends %s (%s ms of work) to %s", number, attempts.back().c_str(), workMs,
                machine.name().c_str());
        }
        bool isOpen = stream->send(text);
        const int64_t sentMs = nowMs();
        bool isClosing = false;
        for (const std::string& attempt : attempts) {
            const auto response = isOpen ? stream->read(sentMs + 6500) : std::nullopt;
            if (response) {
                isClosing = response->header("connection") == "close";
                Record::shared().line("caller %d gets %d for %s%s", number, response->status(), attempt.c_str(),
                    isClosing ? ", which closes the connection" : "");
                std::lock_guard lock(tally.mutex);
                ++tally.answered;
                continue;
            }
            isOpen = false;
            const bool isTimedOut = stream->timedOut();
            sleepMs(50);
            const std::vector<Run> runs = Runs::shared().of(attempt);
            Record::shared().line("caller %d: connection ends without an answer to %s, %s", number, attempt.c_str(),
                runs.empty() ? "not passed on" : ("passed on to sound server " + runs.back().server).c_str());
            std::lock_guard lock(tally.mutex);
            // Around the planned stop: until 1 s after the grace period.
            const bool isAroundStop = sentMs < stopAtMs + graceMs + 1000 && nowMs() >= stopAtMs;
            if (!isTimedOut && isAroundStop)
                ++(runs.empty() ? tally.notPassedOn : tally.lost);
        }
        if (!isOpen || isClosing) {
            stream.reset();
            current = (current + 1) % machines.size();
        }
    }
}

}

int main(int, char** arguments)
{
    return runScene(arguments[1], [](const std::string& folder, bool hasTrouble) {
        const Network network = Network::choose();
        Store& store = makeLasting<Store>(network.host(1), 0);
        store.put("op/config", manifest({ { "sync", "abgleich" } }));
        for (int number = 0; number < 12; ++number)
            makeLasting<Server>(store, "i-sound" + std::to_string(number), "abgleich", number % 2 ? "muc-a" : "muc-b",
                network.host(30 + number), 3);
        std::vector<std::unique_ptr<Machine>> machines;
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-a", 11, folder));
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-b", 12, folder));
        for (const auto& machine : machines)
            machine->awaitReady(6000);
        sleepUntilMs(6500);
        Tally& tally = makeLasting<Tally>();
        std::vector<std::thread> callers;
        for (int number = 0; number < 8; ++number)
            callers.emplace_back([&, number] { pipeline(machines, network, number, tally); });
        sleepUntilMs(stopAtMs);
        if (hasTrouble)
            machines[0]->signal(SIGTERM, "SIGTERM, a planned stop");
        for (std::thread& caller : callers)
            caller.join();
        Record::shared().line(
            "%d requests answered; around the stop, %d passed on to sound servers and cut, %d cut that "
            "were not passed on",
            tally.answered, tally.lost, tally.notPassedOn);
        if (tally.answered < 50)
            throw CannotRun { "too few requests were answered" };
        return tally.lost > 0;
    });
}
