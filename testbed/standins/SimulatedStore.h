#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace wagtailrack::testbed {

// The platform's key-value service of docs/design.md, 4.4, in memory, with fault controls. Lives for the process or
// the test; handle() may be called by many threads.
//
// Controls are POST requests under /control: outage?on=0|1 (connections are closed without an answer, nothing takes
// effect), slow?ms=N (each call waits first), lose-replies?count=N (the next N writes take effect without an
// answer), freeze-watches?on=0|1, rates?reads=N&writes=N (calls a second), snapshot, restore, clear. GET
// /control/counters answers the calls so far; a pending watch is one call.
class SimulatedStore {
public:
    connection::HttpResponse handle(const connection::HttpRequest& request);

    // Ends pending watches.
    void stop();

private:
    struct Entry {
        std::string value;
        uint64_t version = 0;
        std::string lease;
    };
    struct Counters {
        uint64_t reads = 0;
        uint64_t writes = 0;
        uint64_t watches = 0;
        uint64_t refused = 0;
    };
    // Calls admitted in the current second.
    struct Rate {
        uint64_t limit;
        SteadyTime second {};
        uint64_t calls = 0;
    };
    using Lock = std::unique_lock<std::mutex>;

    connection::HttpResponse control(const connection::HttpRequest& request);
    connection::HttpResponse readKey(const std::string& key);
    connection::HttpResponse writeKey(const std::string& key, const connection::HttpRequest& request);
    connection::HttpResponse deleteKey(const std::string& key, const connection::HttpRequest& request);
    connection::HttpResponse watchKey(Lock& lock, const std::string& key, const connection::HttpRequest& request);
    connection::HttpResponse grantLease(const connection::HttpRequest& request);
    connection::HttpResponse renewLease(const std::string& id);
    connection::HttpResponse serve(Lock& lock, const connection::HttpRequest& request);
    void expireLeases();
    bool admit(Rate& rate);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Entry> entries;
    std::map<std::string, Entry> saved;
    struct Lease {
        int64_t ttlMs;
        SteadyTime expiry;
    };
    std::map<std::string, Lease> leases;
    Counters counters;
    // The rates that the platform states: about 2,000 reads and several hundred writes a second.
    Rate readRate { 2000 };
    Rate writeRate { 400 };
    bool isDown = false;
    bool hasFrozenWatches = false;
    bool isStopping = false;
    int64_t delayMs = 0;
    int64_t repliesToLose = 0;
};

}
