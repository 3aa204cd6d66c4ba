#pragma once

#include "CallRecord.h"

#include <wagtailrack/base/Endpoint.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// One request as a backend server ran it.
struct LedgerEntry {
    std::string server;
    std::string requestId;
    std::string orderKey;
    long long startedMs = 0;
    std::string end;

    friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// A broken promise: the property's id and what was seen.
struct Violation {
    std::string property;
    std::string detail;

    friend bool operator==(const Violation&, const Violation&) = default;
};

// Compares what backend servers ran with what callers were told. Used by one thread.
//
//     LedgerCheck check;
//     check.collect(serverAddress);
//     for (const Violation& violation : check.compare(records))
//         ...
class LedgerCheck {
public:
    // Reads a server's ledger. A server that does not answer has lost its ledger: nothing is concluded from the
    // absence of its entries.
    void collect(const Endpoint& server);
    void add(LedgerEntry entry);
    void addLostServer(const std::string& server) { this->lostServers.insert(server); }

    // P3: no answer that is cut, mixed up or breaks the protocol, and no answer to a request that did not run.
    // P4: nothing reported as not run that ran. P5: no order that ran twice.
    std::vector<Violation> compare(const std::vector<CallRecord>& records) const;
    // P6: requests that a server started later than a wall-clock time in ms.
    std::vector<Violation> startedAfter(const std::string& server, long long wallMs) const;

    // P1: in the first n intervals with shifted requests, a pool in a failure domain runs at most
    // step * n * (n + 1) / 2 of them, as each interval may have `step` more than the one before. `homeOf` gives the
    // home of a request, `domainOf` the failure domain of the servers of one pool.
    std::vector<Violation> shiftedAboveCap(const std::map<std::string, std::string>& homeOf,
        const std::map<std::string, std::string>& domainOf, int64_t step, int64_t intervalMs) const;
    // P2: servers that had to refuse work.
    std::vector<Violation> overloadedServers() const;

    size_t size() const noexcept { return this->entryCount; }
    size_t lostCount() const noexcept { return this->lostServers.size(); }
    // Requests that a server started.
    size_t startedAt(const std::string& server) const;
    std::vector<LedgerEntry> entries() const;

private:
    std::map<std::string, std::vector<LedgerEntry>> byRequest;
    std::set<std::string> lostServers;
    std::map<std::string, int64_t> shedCounts;
    size_t entryCount = 0;
};

// P7: no request in flight was aborted.
std::vector<Violation> abortedCalls(const std::vector<CallRecord>& records);

}
