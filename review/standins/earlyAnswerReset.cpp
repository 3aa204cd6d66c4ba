// Case: a backend server answers before it has read a long request body. Its answer has no length, and its connection
// is reset when half of the answer has been sent. Checked is rule MIXED: a caller must not get the half as a whole
// success.
#include "scene.h"

using namespace scene;

namespace {

constexpr int callers = 4;
constexpr int requestsPerCaller = 5;
constexpr size_t longBodyBytes = 7'000'000;
constexpr size_t answerBytes = 20'000;

std::string wholeAnswer(const std::string& attempt)
{
    std::string body = "result of " + attempt + "\n";
    while (body.size() < answerBytes)
        body += "line of the result of " + attempt + "\n";
    return body + "end of the result\n";
}

// Reads a request's head and leaves its body unread; answers without a length, and breaks off after half of the answer
// if `breaksOff`. Closing a connection with unread bytes resets it.
void serveEarly(Stream& stream, const std::string& server, bool breaksOff)
{
    const auto head = stream.readHead(nowMs() + 10000);
    if (!head)
        return;
    const std::string attempt = head->header("Wagtailrack-Attempt-Id");
    if (head->header("Wagtailrack-Expect-Instance") != server) {
        stream.send("HTTP/1.1 421 Misdirected Request\r\nWagtailrack-Attempt-Id: " + attempt
            + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    const size_t run = Runs::shared().begin(attempt, server);
    Record::shared().line("server %s runs %s, whose body of %s bytes it has not read", server.c_str(), attempt.c_str(),
        head->header("content-length").c_str());
    const std::string body = wholeAnswer(attempt);
    stream.send("HTTP/1.1 200 OK\r\nWagtailrack-Attempt-Id: " + attempt + "\r\nWagtailrack-Response-Seal: seal."
        + attempt + "\r\nConnection: close\r\n\r\n" + body.substr(0, body.size() / 2));
    sleepMs(200);
    if (breaksOff) {
        stream.resetOnClose();
        Runs::shared().end(attempt, run, "broke off");
        Record::shared().line("server %s breaks off its answer to %s after %zu of %zu bytes: reset", server.c_str(),
            attempt.c_str(), body.size() / 2, body.size());
        return;
    }
    stream.send(body.substr(body.size() / 2));
    // Without the trouble the rest of the body is read, so that the end of the connection is an orderly one.
    stream.discard(static_cast<size_t>(std::atoll(head->header("content-length").c_str())), nowMs() + 5000);
    Runs::shared().end(attempt, run, "answered");
    Record::shared().line("server %s ends its answer to %s", server.c_str(), attempt.c_str());
}

}

int main(int, char** arguments)
{
    return runScene(arguments[1], [](const std::string& folder, bool hasTrouble) {
        const Network network = Network::choose();
        Store& store = makeLasting<Store>(network.host(1), 0);
        store.put("op/config", manifest({ { "order", "bestelldienst", false } }));
        for (int number = 0; number < 4; ++number) {
            const std::string id = "i-early" + std::to_string(number);
            makeLasting<Server>(store, id, "bestelldienst", number % 2 ? "muc-a" : "muc-b", network.host(30 + number),
                8, Server::Trouble(), [id, hasTrouble](Stream& stream) { serveEarly(stream, id, hasTrouble); });
        }
        std::vector<std::unique_ptr<Machine>> machines;
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-a", 11, folder));
        machines.push_back(std::make_unique<Machine>(network, store.port(), "muc-b", 12, folder));
        for (const auto& machine : machines)
            machine->awaitReady(8000);
        sleepUntilMs(6000);
        std::atomic<int> halves = 0;
        std::atomic<int> wholes = 0;
        std::atomic<int> others = 0;
        std::vector<std::thread> threads;
        for (int number = 0; number < callers; ++number)
            threads.emplace_back([&, number] {
                for (int count = 0; count < requestsPerCaller; ++count) {
                    const std::string attempt = newAttemptId();
                    const auto stream = Stream::connect(machines[number % 2]->host(), network.front);
                    if (!stream)
                        throw CannotRun { "a machine takes no connection" };
                    Record::shared().line(
                        "caller %d sends order %s with %zu bytes", number, attempt.c_str(), longBodyBytes);
                    stream->send(requestText("POST", "/order/0/" + std::to_string(number), attempt, 10000,
                        std::to_string(1000 + 10 * number + count), std::string(longBodyBytes, 'p')));
                    const auto response = stream->read(nowMs() + 12000);
                    const bool isSuccess = response && response->status() == 200;
                    const bool isWhole = isSuccess && response->body == wholeAnswer(attempt);
                    ++(isWhole ? wholes : isSuccess ? halves : others);
                    Record::shared().line("caller %d gets %d for %s with %zu bytes, complete by its length: %s", number,
                        response ? response->status() : 0, attempt.c_str(), response ? response->body.size() : 0,
                        isWhole         ? "the server's whole answer"
                            : isSuccess ? "NOT the server's whole answer"
                                        : "no success");
                }
            });
        for (std::thread& thread : threads)
            thread.join();
        Record::shared().line("%d successes with half an answer, %d with a whole one, %d no successes", halves.load(),
            wholes.load(), others.load());
        if (!hasTrouble && wholes == 0)
            throw CannotRun { "no order was served" };
        return halves > 0;
    });
}
