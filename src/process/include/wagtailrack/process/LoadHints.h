#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <map>
#include <mutex>

namespace wagtailrack::process {

enum class ReportedHealth {
    Healthy,
    Unhealthy,
};

// What a backend server, or a peer that has asked it, says of its load and health.
struct LoadReport {
    // Part of the server's slots that are in use, 0 to 1; other values are ignored.
    double load = 0;
    ReportedHealth health = ReportedHealth::Healthy;
    // Requests that this instance had at the server when the report arrived.
    int64_t ownInFlight = 0;
};

// The latest report of each backend server until it expires. Reports can be stale or wrong, so they only lower a
// share, and never below one slot: this instance's own observations decide about a server that is always reported
// full. Lives for the process; may be called by any thread.
class LoadHints {
public:
    // No report counts for longer, whatever its validity.
    static constexpr std::chrono::minutes longestValidity { 10 };

    explicit LoadHints(const Clock& clock);

    // Replaces the server's report; it counts for `validity` from now.
    void report(const Endpoint& server, const LoadReport& report, Milliseconds validity);

    // The part of `share` slots that may be used, given the server's total `slots`: what this instance had in use
    // plus what the server reported free. A server that only this instance fills is therefore not lowered.
    int64_t lowered(const Endpoint& server, int64_t share, int64_t slots) const;

private:
    struct Hint {
        LoadReport report;
        SteadyTime expiresAt;
    };

    const Clock& clock;
    mutable std::mutex mutex;
    std::map<Endpoint, Hint> hints;
};

}
