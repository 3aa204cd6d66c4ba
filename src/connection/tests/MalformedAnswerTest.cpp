#include "RawCaller.h"
#include "RawServer.h"

#include <TestSeed.h>
#include <wagtailrack/connection/HttpConnection.h>

#include <CppUTest/TestHarness.h>

#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace wagtailrack;
using namespace wagtailrack::connection;

namespace {

// Answers that are malformed, oversized, truncated or of another protocol.
std::vector<std::string> malformedAnswers()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string large(200'000, 'A');
    return { "", "\r\n", "\n", std::string(1, '\0'), std::string(4096, '\0'), head, head + "\r\n",
        "HTTP/1.1 200 " + large + "\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 " + large, large,
        std::string(1 << 20, '1'), head + large + "\r\n\r\n", head + "X: " + large + "\r\nContent-Length: 0\r\n\r\n",
        head + "Content-Length: -1\r\n\r\nab", head + "Content-Length: 18446744073709551615\r\n\r\nab",
        head + "Content-Length: 999999999999999999\r\n\r\nab", head + "Content-Length: 5\r\n\r\nab",
        head + "Transfer-Encoding: chunked\r\n\r\n-1\r\nab",
        head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nab",
        head + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nab",
        head + "Transfer-Encoding: chunked\r\n\r\n" + large, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 " + large,
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x15\x03\x03\x02\x02\x28", "+PONG\r\n", "-ERR\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n" };
}

ExchangeResult answerTo(const std::string& method, const std::string& answer)
{
    RawServer server(answer);
    HttpRequest request;
    request.method = method;
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    return exchangeOnce(server.endpoint(), request, { deadline, deadline, deadline, 10'000 });
}

}

TEST_GROUP(MalformedAnswer) {};

// Guards against an answer that ends the process: a status line or a header that is too long, a length that overflows,
// bytes of another protocol.
TEST(MalformedAnswer, isRefusedWithoutAnException)
{
    for (const std::string& answer : malformedAnswers()) {
        for (const char* method : { "GET", "POST" })
            CHECK_TRUE_TEXT(answerTo(method, answer).response.has_error(), answer.substr(0, 60).c_str());
    }
}

// Guards against a mutated answer that ends the process.
TEST(MalformedAnswer, mutatedAnswersAreSurvived)
{
    constexpr int answers = 1500;
    const std::vector<std::string> sound { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: %41%u0041\r\n\r\n{\"a\"",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nabcd\r\n0\r\nX: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/x\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Encoding: gzip\r\nContent-Type: multipart/form-data; boundary=b\r\n\r\n--b" };
    const std::vector<std::string> fragments { "\r\n", "\r\n\r\n", "\r", "\n", "%", "%u", "%uDFFF", ":", " ", "-1",
        "ffffffffffffffff\r\n", "Content-Length: -1\r\n", "Content-Length: 18446744073709551615\r\n",
        "Transfer-Encoding: chunked\r\n", std::string(1, '\0'), "\xff\xfe", std::string(9000, 'A'),
        "HTTP/1.1 200 OK\r\n" };
    const uint32_t seed = testSeed(20261206);
    std::mt19937 random(seed);
    const auto below = [&random](size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(random); };
    for (int count = 0; count < answers; ++count) {
        std::string text = sound[below(sound.size())];
        for (size_t change = below(5) + 1; change > 0; --change) {
            const size_t place = below(text.size() + 1);
            switch (below(4)) {
            case 0:
                text.insert(place, fragments[below(fragments.size())]);
                break;
            case 1:
                text.erase(place, 1 + below(20));
                break;
            case 2:
                text.insert(place, 1, static_cast<char>(below(256)));
                break;
            default:
                text.resize(place);
            }
        }
        answerTo(count % 2 == 0 ? "GET" : "POST", text);
    }
}

// Guards against an exception during an exchange that ends the process, and against a request that counts as not sent
// because of it.
TEST(MalformedAnswer, exceptionFailsTheExchangeAlone)
{
    HttpServer server({ .maxConnections = 4 }, [](const HttpRequest&) {
        std::this_thread::sleep_for(Milliseconds(200));
        return HttpResponse::json(200, "{}");
    });
    const Endpoint endpoint = startAnywhere(server);
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime deadline = now + std::chrono::seconds(5);
    ExchangeLimits limits { deadline, deadline, deadline };
    limits.slowAt = now;
    limits.slowAction = [] { throw std::length_error("basic_string::_M_create"); };
    const ExchangeResult result = exchangeOnce(endpoint, {}, limits);
    CHECK_TRUE(result.response.has_error() && result.progress == SendProgress::MaybeSent);
    server.stop();
}
