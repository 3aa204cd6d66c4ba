#pragma once

#include "Caller.h"
#include "LoadSettings.h"

#include <atomic>
#include <deque>
#include <thread>
#include <vector>

namespace wagtailrack::testbed {

// One run of an open-loop load. Starts with the object, on threads of its own; a test changes the deployment
// meanwhile. Used by one thread.
class LoadRun {
public:
    LoadRun(LoadSettings settings, std::vector<Endpoint> bootstrap);
    ~LoadRun();
    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    // Waits for the last answer and returns all calls in the order of their intended send times.
    std::vector<CallRecord> finish();

    Milliseconds duration() const noexcept;
    SteadyTime startTime() const noexcept { return this->start; }

private:
    // Requests of one client network: every domains-th arrival.
    struct Domain {
        LookupCache cache;
        std::atomic<size_t> next { 0 };
    };

    void runCalls(size_t domainIndex, size_t worker);
    Call callAt(size_t index) const;

    const LoadSettings settings;
    const std::vector<Endpoint> bootstrap;
    const std::vector<int64_t> arrivals;
    // Service of each arrival.
    std::vector<uint8_t> serviceOf;
    const std::string idPrefix;
    const SteadyTime start;
    std::deque<Domain> domains;
    std::vector<CallRecord> records;
    std::vector<std::thread> threads;
};

}
