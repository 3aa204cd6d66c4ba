#include "RequestBench.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

namespace wagtailrack::testbed {

namespace {

constexpr double slowFactor = 10;

void print(const char* name, const BenchResult& result, double capacity)
{
    std::printf("%-34s sent %7lld  in time %7lld  goodput %7.0f/s (%5.1f%% of capacity)  p50 %7.2f ms  p99 %7.2f ms\n",
        name, static_cast<long long>(result.sent), static_cast<long long>(result.answered), result.goodput(),
        100 * result.goodput() / capacity, result.quantile(0.5), result.quantile(0.99));
    std::fflush(stdout);
}

void runAll(RequestBench& bench, size_t callers)
{
    const double capacity = bench.capacity();
    const auto viaEntry = [&] { return bench.entry(); };
    const auto roundRobin = [&] { return bench.nextServer(); };
    const auto random = [&] { return bench.randomServer(); };
    bench.run(capacity / 4, callers, viaEntry);
    const BenchResult directLight = bench.run(capacity / 20, callers, roundRobin);
    print("5% load, direct", directLight, capacity);
    const BenchResult entryLight = bench.run(capacity / 20, callers, viaEntry);
    print("5% load, instance", entryLight, capacity);
    const BenchResult direct = bench.run(capacity / 2, callers, roundRobin);
    print("half load, direct round robin", direct, capacity);
    print("half load, direct random", bench.run(capacity / 2, callers, random), capacity);
    const BenchResult healthy = bench.run(capacity / 2, callers, viaEntry);
    print("half load, instance", healthy, capacity);
    bench.slowFirstServer(slowFactor);
    print("half load, one slow, round robin", bench.run(capacity / 2, callers, roundRobin), capacity);
    print("half load, one slow, random", bench.run(capacity / 2, callers, random), capacity);
    const BenchResult slow = bench.run(capacity / 2, callers, viaEntry);
    print("half load, one slow, instance", slow, capacity);
    bench.slowFirstServer(1);
    bench.run(capacity / 4, callers, viaEntry);
    const size_t manyCallers = callers * 2;
    // What the servers reach when none ever waits for work: timers and this machine make it less than the nominal
    // capacity.
    const BenchResult saturated = bench.run(0, 3 * RequestBench::servers * RequestBench::slots, roundRobin);
    print("saturated, direct", saturated, capacity);
    print("double load, round robin", bench.run(capacity * 2, manyCallers, roundRobin), capacity);
    const BenchResult overload = bench.run(capacity * 2, manyCallers, viaEntry);
    print("double load, instance", overload, capacity);
    std::printf("added median latency %.2f ms (aim 0.3)\n", entryLight.quantile(0.5) - directLight.quantile(0.5));
    std::printf(
        "p99 at half load %.2f times the direct call's (aim 2)\n", healthy.quantile(0.99) / direct.quantile(0.99));
    std::printf("p99 with one slow server %.2f times the healthy run's (aim 1.5)\n",
        slow.quantile(0.99) / healthy.quantile(0.99));
    std::printf("goodput at double load %.1f%% of the nominal capacity, %.1f%% of the saturated servers' (aim 95)\n",
        100 * overload.goodput() / capacity, 100 * overload.goodput() / saturated.goodput());
}

}

int runRequestBench(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed request-bench",
        "Measures one entry instance with twelve simulated backend servers against direct calls.");
    options.add_options()("testbed", "path of wagtailrack-testbed", cxxopts::value<std::string>())(
        "service-ms", "service time of a request", cxxopts::value<double>()->default_value("20"))(
        "run-ms", "length of each run", cxxopts::value<int64_t>()->default_value("3000"))(
        "callers", "connections at normal load", cxxopts::value<size_t>()->default_value("100"));
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        RequestBench bench(
            parsed["testbed"].as<std::string>(), parsed["service-ms"].as<double>(), parsed["run-ms"].as<int64_t>());
        runAll(bench, parsed["callers"].as<size_t>());
        return 0;
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n' << options.help();
        return 2;
    }
}

}
