#pragma once

#include "harness/BackendProcess.h"
#include "harness/LocalEntry.h"

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// What the requests of one measured run became; latencies of complete answers only, in milliseconds.
struct BenchResult {
    std::vector<double> latencies;
    int64_t sent = 0;
    int64_t answered = 0;
    double seconds = 0;

    double quantile(double part) const;
    double goodput() const { return static_cast<double>(this->answered) / this->seconds; }
};

// Measures the request path of one entry instance against direct calls and simple baselines, with twelve simulated
// backend servers of three slots each. Used by `wagtailrack-testbed request-bench`.
class RequestBench {
public:
    static constexpr size_t servers = 12;
    static constexpr int64_t slots = 3;

    RequestBench(const std::string& testbedBinary, double serviceMs, int64_t runMs);

    // Requests a second that all servers together can run.
    double capacity() const noexcept;

    // Sends `rate` requests a second, evenly spaced whatever the answers, from `callers` connections. `choose` gives
    // the address of each request. With a rate of 0 each caller sends its next request after each answer.
    BenchResult run(double rate, size_t callers, const std::function<Endpoint()>& choose);

    Endpoint entry() const { return this->entryInstance.endpoint(); }
    Endpoint nextServer();
    Endpoint randomServer() const;
    // Makes one server slower by a factor; 1 restores it.
    void slowFirstServer(double factor);

private:
    void call(size_t caller, double rate, size_t callers, const std::function<Endpoint()>& choose, BenchResult& result);

    double serviceMs;
    Milliseconds runTime;
    std::deque<BackendProcess> backends;
    LocalEntry entryInstance;
    std::atomic<size_t> turn { 0 };
};

// `wagtailrack-testbed request-bench`.
int runRequestBench(int argumentCount, char** arguments);

}
