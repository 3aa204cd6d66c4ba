#include "LookupBench.h"

#include <wagtailrack/base/Random.h>
#include <wagtailrack/connection/HttpConnection.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>
#include <thread>
#include <vector>

namespace wagtailrack::testbed {

namespace {

constexpr Milliseconds exchangeTime { 2000 };

struct LookupResults {
    std::vector<int64_t> latenciesUs;
    int64_t failures = 0;
};

std::string randomLookup()
{
    const uint64_t block = randomNumber();
    std::string target = "/.wagtailrack/lookup?block=10";
    for (int shift = 0; shift < 24; shift += 8)
        target += "." + std::to_string((block >> shift) & 255);
    return target;
}

// Asks one after the other on one connection.
LookupResults askUntil(const Endpoint& instance, SteadyTime end)
{
    LookupResults results;
    connection::HttpConnection connection(instance);
    while (std::chrono::steady_clock::now() < end) {
        connection::HttpRequest request;
        request.target = randomLookup();
        const SteadyTime start = std::chrono::steady_clock::now();
        connection::ExchangeLimits limits;
        limits.deadline = limits.connectDeadline = limits.firstByteDeadline = start + exchangeTime;
        const auto result = connection.exchange(request, limits);
        if (!result.response || result.response.value().status != 200) {
            ++results.failures;
            continue;
        }
        const auto elapsed = std::chrono::steady_clock::now() - start;
        results.latenciesUs.push_back(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
    }
    return results;
}

void report(std::vector<int64_t> latenciesUs, int64_t failures, int64_t seconds)
{
    std::sort(latenciesUs.begin(), latenciesUs.end());
    const size_t count = latenciesUs.size();
    std::cout << "look-ups a second " << count / static_cast<size_t>(seconds) << ", failures " << failures;
    if (count > 0)
        std::cout << ", p50 " << latenciesUs[count / 2] << " us, p99 " << latenciesUs[count * 99 / 100] << " us";
    std::cout << '\n';
}

}

int runLookupBench(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed lookup-bench", "Measures look-ups over HTTP at one instance.");
    options.add_options()("instance", "caller address of the instance", cxxopts::value<std::string>());
    options.add_options()("connections", "concurrent callers", cxxopts::value<int>()->default_value("8"));
    options.add_options()("seconds", "length of the run", cxxopts::value<int>()->default_value("5"));
    try {
        const auto given = options.parse(argumentCount, arguments);
        const auto instance = Endpoint::parse(given["instance"].as<std::string>());
        if (!instance) {
            std::cerr << describe(instance.error()) << '\n';
            return 2;
        }
        const int seconds = given["seconds"].as<int>();
        const SteadyTime end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
        std::vector<LookupResults> results(static_cast<size_t>(given["connections"].as<int>()));
        std::vector<std::thread> callers;
        callers.reserve(results.size());
        for (LookupResults& result : results)
            callers.emplace_back([&result, &instance, end] { result = askUntil(instance.value(), end); });
        for (std::thread& caller : callers)
            caller.join();
        std::vector<int64_t> all;
        int64_t failures = 0;
        for (const LookupResults& result : results) {
            all.insert(all.end(), result.latenciesUs.begin(), result.latenciesUs.end());
            failures += result.failures;
        }
        report(std::move(all), failures, seconds);
        return failures == 0 ? 0 : 1;
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "wagtailrack-testbed: " << failure.what() << '\n';
        return 2;
    }
}

}
