// Case: one backend server answers with bytes that never end. Its answer begins with a sound head and
// "Transfer-Encoding: chunked"; the bytes that follow are no chunk. Checked is rule LOST for the requests of other
// callers at sound servers.
#include "scene.h"

using namespace scene;

namespace {

constexpr int64_t troubleBeginsMs = 14000;
constexpr int64_t troubleEndsMs = 29000;
constexpr int64_t sceneEndsMs = 34000;
// Rule LOST: more than three requests of one machine.
constexpr int permittedCuts = 3;
// The troubled server's link, as the machines' own: 1000 Mbit/s.
constexpr int64_t linkBytesPerMs = 125000;

// Shares one link among all answers of the troubled server.
class Link {
public:
    void take(int64_t bytes)
    {
        std::unique_lock lock(this->mutex);
        this->freeAtMs = std::max<double>(this->freeAtMs, static_cast<double>(nowMs()));
        this->freeAtMs += static_cast<double>(bytes) / linkBytesPerMs;
        const auto until = static_cast<int64_t>(this->freeAtMs);
        lock.unlock();
        sleepUntilMs(until);
    }

private:
    std::mutex mutex;
    double freeAtMs = 0;
};

struct Tally {
    std::mutex mutex;
    std::map<std::string, int> cuts;
    int answered = 0;
    int others = 0;
};

// A caller that keeps its connection: requests one after the other, each of which works for a second at a sound server.
void keepRequesting(const Machine& machine, const Network& network, int number, Tally& tally)
{
    std::unique_ptr<Stream> stream;
    int requestsOnConnection = 0;
    while (nowMs() < sceneEndsMs - 3000) {
        if (!stream) {
            stream = Stream::connect(machine.host(), network.front);
            requestsOnConnection = 0;
            if (!stream) {
                sleepMs(200);
                continue;
            }
        }
        const std::string attempt = newAttemptId();
        const std::string key = std::to_string(1000 + number);
        Record::shared().line("caller %d sends %s to %s", number, attempt.c_str(), machine.name().c_str());
        std::optional<Message> response;
        if (stream->send(requestText("GET", "/status/1000/" + key, attempt, 10000, key)))
            response = stream->read(nowMs() + 10500);
        const std::vector<Run> runs = Runs::shared().of(attempt);
        std::lock_guard lock(tally.mutex);
        if (response) {
            ++requestsOnConnection;
            ++(response->status() == 200 ? tally.answered : tally.others);
            Record::shared().line("caller %d gets %d for %s", number, response->status(), attempt.c_str());
            if (response->header("connection") == "close")
                stream.reset();
            continue;
        }
        const bool isCut = !stream->timedOut() && requestsOnConnection > 0 && !runs.empty();
        Record::shared().line("caller %d: connection of %s ends without an answer, %zu answered on it before; %s",
            number, attempt.c_str(), static_cast<size_t>(requestsOnConnection),
            runs.empty() ? "not passed on" : ("passed on to sound server " + runs.back().server).c_str());
        tally.cuts[machine.name()] += isCut ? 1 : 0;
        stream.reset();
    }
}

// Callers of the service with the troubled server: each request on a new connection.
void requestFromTroubledService(const Machine& machine, const Network& network)
{
    int key = 0;
    while (nowMs() < troubleEndsMs) {
        sleepMs(250);
        std::thread([&machine, &network, key = ++key] {
            const auto stream = Stream::connect(machine.host(), network.front);
            const std::string attempt = newAttemptId();
            if (!stream
                || !stream->send(
                    requestText("GET", "/sync/300/" + std::to_string(key), attempt, 6000, std::to_string(key))))
                return;
            const auto response = stream->read(nowMs() + 6500);
            Record::shared().line(
                "other caller: %s of /sync/ ends with %d", attempt.c_str(), response ? response->status() : 0);
        }).detach();
    }
}

}

int main(int, char** arguments)
{
    return runScene(arguments[1], [](const std::string& folder, bool hasTrouble) {
        const Network network = Network::choose();
        Store& store = makeLasting<Store>(network.host(1), 0);
        store.put("op/config", manifest({ { "status", "abgleich" }, { "sync", "preisdienst" } }));
        for (int number = 0; number < 6; ++number)
            makeLasting<Server>(store, "i-sound" + std::to_string(number), "abgleich", number % 2 ? "muc-a" : "muc-b",
                network.host(30 + number), 3);
        Link& link = makeLasting<Link>();
        for (int number = 0; number < 3; ++number) {
            Server::Trouble trouble;
            if (number == 0)
                trouble = [&link, hasTrouble](Stream& stream, const Message& request) {
                    if (!hasTrouble || nowMs() < troubleBeginsMs || nowMs() > troubleEndsMs)
                        return false;
                    const std::string attempt = request.header("Wagtailrack-Attempt-Id");
                    Record::shared().line("troubled server answers %s with bytes without end", attempt.c_str());
                    const std::string junk(65536, 'x');
                    bool isOpen = stream.send("HTTP/1.1 200 OK\r\nWagtailrack-Attempt-Id: " + attempt
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n100;");
                    int64_t sent = 0;
                    while (isOpen) {
                        link.take(static_cast<int64_t>(junk.size()));
                        isOpen = stream.send(junk);
                        sent += static_cast<int64_t>(junk.size());
                    }
                    Record::shared().line("troubled server: the caller of %s closed after %lld MB", attempt.c_str(),
                        static_cast<long long>(sent / 1000000));
                    return true;
                };
            makeLasting<Server>(store, "i-price" + std::to_string(number), "preisdienst",
                number % 2 ? "muc-a" : "muc-b", network.host(40 + number), 3, trouble);
        }
        std::vector<std::unique_ptr<Machine>> machines;
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-a", 11, folder));
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-b", 12, folder));
        for (const auto& machine : machines)
            machine->awaitReady(8000);
        sleepUntilMs(8000);
        Tally& tally = makeLasting<Tally>();
        std::vector<std::thread> callers;
        for (int number = 0; number < 12; ++number)
            callers.emplace_back([&, number] { keepRequesting(*machines[number % 2], network, number, tally); });
        for (const auto& machine : machines)
            callers.emplace_back([&] { requestFromTroubledService(*machine, network); });
        for (std::thread& caller : callers)
            caller.join();
        bool isBroken = false;
        for (const auto& machine : machines) {
            const int cuts = tally.cuts[machine->name()];
            Record::shared().line(
                "%s: %d requests on kept connections passed on to sound servers and cut, permitted %d; "
                "process ended %d times by itself; %lld MB at most",
                machine->name().c_str(), cuts, permittedCuts, machine->ownEnds(),
                static_cast<long long>(machine->peakMegabytes()));
            isBroken = isBroken || cuts > permittedCuts;
        }
        Record::shared().line("%d requests answered 200, %d otherwise", tally.answered, tally.others);
        if (tally.answered < 50)
            throw CannotRun { "too few requests were answered" };
        return isBroken;
    });
}
