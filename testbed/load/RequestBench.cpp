#include "RequestBench.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <map>
#include <thread>

namespace wagtailrack::testbed {

namespace {

constexpr int deadlineMs = 1000;

std::string routesText()
{
    return "[[route]]\nname = \"prices\"\npath_prefix = \"/prices\"\nmethods = [\"GET\"]\npool = \"main\"\n"
           "class = \"interactive\"\nidempotent = true\ndeadline_ms = "
        + std::to_string(deadlineMs) + "\n";
}

std::string poolsText(const std::deque<BackendProcess>& backends)
{
    std::string text = "[[failure_domain]]\nname = \"a\"\nregion = \"one\"\n[[pool]]\nname = \"main\"\nslots = "
        + std::to_string(RequestBench::slots) + "\nfirst_byte_timeout_ms = 1000\n";
    for (const BackendProcess& backend : backends)
        text += "[[pool.server]]\naddress = \"" + backend.endpoint.toString() + "\"\nfailure_domain = \"a\"\n";
    return text;
}

}

double BenchResult::quantile(double part) const
{
    if (this->latencies.empty())
        return 0;
    std::vector<double> sorted = this->latencies;
    const auto place = std::min(sorted.size() - 1, static_cast<size_t>(part * static_cast<double>(sorted.size())));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(place), sorted.end());
    return sorted[place];
}

RequestBench::RequestBench(const std::string& testbedBinary, double service, int64_t runMs)
    : serviceMs(service)
    , runTime(runMs)
    , entryInstance("bench", "a")
{
    const std::vector<std::string> options { "--slots", std::to_string(slots), "--queue", "1000", "--service-ms",
        std::to_string(service) };
    for (size_t index = 0; index < servers; ++index)
        this->backends.emplace_back(testbedBinary, options);
    this->entryInstance.adopt(routesText(), poolsText(this->backends));
}

double RequestBench::capacity() const noexcept
{
    return static_cast<double>(servers * slots) * 1000.0 / this->serviceMs;
}

Endpoint RequestBench::nextServer() { return this->backends[this->turn++ % servers].endpoint; }

Endpoint RequestBench::randomServer() const { return this->backends[randomBelow(servers)].endpoint; }

void RequestBench::slowFirstServer(double factor)
{
    this->backends[0].control("{\"service_ms\":" + std::to_string(this->serviceMs * factor) + "}");
}

void RequestBench::call(
    size_t caller, double rate, size_t callers, const std::function<Endpoint()>& choose, BenchResult& result)
{
    std::map<Endpoint, connection::HttpConnection> connections;
    const SteadyTime start = std::chrono::steady_clock::now();
    const bool isClosedLoop = rate <= 0;
    const double pace = std::max(rate, 1.0);
    const std::chrono::duration<double> interval(static_cast<double>(callers) / pace);
    const std::chrono::duration<double> offset(static_cast<double>(caller) / pace);
    connection::HttpRequest request;
    request.target = "/prices/17";
    request.headers[headers::deadlineMs] = std::to_string(deadlineMs);
    for (size_t index = 0;; ++index) {
        const auto due = isClosedLoop
            ? std::chrono::steady_clock::now()
            : start + std::chrono::duration_cast<SteadyTime::duration>(offset + static_cast<double>(index) * interval);
        if (due >= start + this->runTime)
            return;
        // Latency counts from when the request was due, so that a caller that is held up hides nothing.
        std::this_thread::sleep_until(due);
        const Endpoint target = choose();
        request.headers[headers::requestId] = std::to_string(caller) + "-" + std::to_string(index);
        const SteadyTime deadline = std::max(due, std::chrono::steady_clock::now()) + Milliseconds(2 * deadlineMs);
        const auto answer
            = connections.try_emplace(target, target).first->second.exchange(request, { deadline, deadline, deadline });
        ++result.sent;
        const std::chrono::duration<double, std::milli> latency = std::chrono::steady_clock::now() - due;
        if (!answer.response || answer.response.value().status != 200)
            continue;
        result.latencies.push_back(latency.count());
        result.answered += latency <= Milliseconds(deadlineMs) ? 1 : 0;
    }
}

BenchResult RequestBench::run(double rate, size_t callers, const std::function<Endpoint()>& choose)
{
    std::vector<BenchResult> parts(callers);
    std::vector<std::thread> threads;
    const SteadyTime start = std::chrono::steady_clock::now();
    for (size_t caller = 0; caller < callers; ++caller)
        threads.emplace_back([&, caller] { this->call(caller, rate, callers, choose, parts[caller]); });
    for (std::thread& thread : threads)
        thread.join();
    BenchResult result;
    result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    for (const BenchResult& part : parts) {
        result.sent += part.sent;
        result.answered += part.answered;
        result.latencies.insert(result.latencies.end(), part.latencies.begin(), part.latencies.end());
    }
    return result;
}

}
