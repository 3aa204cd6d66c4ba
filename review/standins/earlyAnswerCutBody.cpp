// Case: a backend server answers an order with success before it has read its long body, keeps the connection, and
// reads on. Checked is rule UNASKED: the body that the server gets is the caller's.
#include "scene.h"

using namespace scene;

namespace {

constexpr int callers = 4;
constexpr int requestsPerCaller = 5;
constexpr size_t longBodyBytes = 7'000'000;

std::string bodyOf(const std::string& attempt)
{
    std::string body;
    body.reserve(longBodyBytes + 64);
    for (int line = 0; body.size() < longBodyBytes; ++line)
        body += "line " + std::to_string(line) + " of the order " + attempt + "\n";
    body.resize(longBodyBytes);
    return body;
}

struct Tally {
    std::atomic<int> cut = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> answeredCut = 0;
};

// Serves orders one after the other on a kept connection. With `answersEarly`, the answer is sent after the head has
// been read, and the body is read after that.
void serve(Stream& stream, const std::string& server, bool answersEarly, Tally& tally)
{
    while (const auto head = stream.readHead(nowMs() + 10000)) {
        const std::string attempt = head->header("Wagtailrack-Attempt-Id");
        const auto length = static_cast<size_t>(std::atoll(head->header("content-length").c_str()));
        const std::string begin = "HTTP/1.1 ";
        if (head->header("Wagtailrack-Expect-Instance") != server) {
            stream.discard(length, nowMs() + 5000);
            stream.send(begin + "421 Misdirected Request\r\nWagtailrack-Attempt-Id: " + attempt
                + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const size_t run = Runs::shared().begin(attempt, server);
        Record::shared().line("server %s runs %s", server.c_str(), attempt.c_str());
        const std::string result = "accepted " + attempt + "\n";
        const std::string answer = begin + "200 OK\r\nWagtailrack-Attempt-Id: " + attempt
            + "\r\nWagtailrack-Response-Seal: seal." + attempt + "\r\nContent-Length: " + std::to_string(result.size())
            + "\r\n\r\n" + result;
        if (answersEarly) {
            stream.send(answer);
            Record::shared().line("server %s answers %s with 200 and reads its body", server.c_str(), attempt.c_str());
            sleepMs(100);
        }
        const std::string body = stream.readUpTo(length, nowMs() + 10000);
        const bool isWhole = body == bodyOf(attempt);
        Runs::shared().end(attempt, run, isWhole ? "answered" : "body cut");
        ++(isWhole ? tally.whole : tally.cut);
        Record::shared().line("server %s has read %zu of %zu bytes of the body of %s%s", server.c_str(), body.size(),
            length, attempt.c_str(), isWhole ? "" : ": its connection was closed");
        if (body.size() < length)
            return;
        if (!answersEarly)
            stream.send(answer);
    }
}

}

int main(int, char** arguments)
{
    return runScene(arguments[1], [](const std::string& folder, bool hasTrouble) {
        const Network network = Network::choose();
        Store& store = makeLasting<Store>(network.host(1), 0);
        Tally& tally = makeLasting<Tally>();
        store.put("op/config", manifest({ { "order", "bestelldienst", false } }));
        for (int number = 0; number < 4; ++number) {
            const std::string id = "i-early" + std::to_string(number);
            makeLasting<Server>(store, id, "bestelldienst", number % 2 ? "muc-a" : "muc-b", network.host(30 + number),
                8, Server::Trouble(),
                [id, hasTrouble, &tally](Stream& stream) { serve(stream, id, hasTrouble, tally); });
        }
        std::vector<std::unique_ptr<Machine>> machines;
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-a", 11, folder));
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-b", 12, folder));
        for (const auto& machine : machines)
            machine->awaitReady(8000);
        sleepUntilMs(6000);
        std::atomic<int> successes = 0;
        std::vector<std::thread> threads;
        for (int number = 0; number < callers; ++number)
            threads.emplace_back([&, number] {
                for (int count = 0; count < requestsPerCaller; ++count) {
                    const std::string attempt = newAttemptId();
                    const auto stream
                        = Stream::connect(machines[static_cast<size_t>(number) % 2]->host(), network.front);
                    if (!stream)
                        continue;
                    Record::shared().line(
                        "caller %d sends order %s with %zu bytes", number, attempt.c_str(), longBodyBytes);
                    stream->send(requestText("POST", "/order/0/" + std::to_string(number), attempt, 10000,
                        std::to_string(1000 + 10 * number + count), bodyOf(attempt)));
                    const auto response = stream->read(nowMs() + 12000);
                    const int status = response ? response->status() : 0;
                    successes += status == 200 ? 1 : 0;
                    Record::shared().line("caller %d gets %d for %s", number, status, attempt.c_str());
                    sleepMs(300);
                }
            });
        for (std::thread& thread : threads)
            thread.join();
        sleepMs(2000);
        Record::shared().line("%d orders answered 200; servers read %d bodies as sent, %d bodies cut", successes.load(),
            tally.whole.load(), tally.cut.load());
        if (successes == 0)
            throw CannotRun { "no order was served" };
        return tally.cut > 0;
    });
}
