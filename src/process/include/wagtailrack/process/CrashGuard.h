#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::process {

using Fingerprint = uint64_t;

// Identifies a request by what makes a server run it: method, path with query, body.
Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body) noexcept;

// A fingerprint that is refused until a wall-clock time, as told to peers.
struct RefusedFingerprint {
    Fingerprint fingerprint = 0;
    WallTime until;

    friend auto operator<=>(const RefusedFingerprint&, const RefusedFingerprint&) = default;
};

// One server that died while running a request, as told to peers.
struct ServerDeath {
    Fingerprint fingerprint = 0;
    // Address of the server with the time of death in seconds, so that one death reported twice counts once.
    std::string server;

    friend auto operator<=>(const ServerDeath&, const ServerDeath&) = default;
};

// Refuses requests that crash backend servers: after two different deaths, for ten minutes. Bounded in memory. Lives
// for the process; may be called by any thread.
class CrashGuard {
public:
    static constexpr size_t deathLimit = 2;
    static constexpr std::chrono::minutes refusalTime { 10 };
    static constexpr size_t maxFingerprints = 10'000;

    explicit CrashGuard(const Clock& clock);

    bool isRefused(Fingerprint fingerprint) const;

    // Counts a death told by a peer. True when it is new.
    bool recordDeath(const ServerDeath& death);

    // Counts a death seen here by an attempt that was sent at `sentAt`. True when it is new, so that it is told to
    // peers. An attempt that was sent before an earlier death was known here does not count: when a whole failure
    // domain dies, several servers die at once while they run the same harmless request.
    bool recordOwnDeath(const ServerDeath& death, SteadyTime sentAt);

    // A server answered a request with this fingerprint, so earlier deaths had another cause. Forgets them unless the
    // fingerprint is refused.
    void recordAnswer(Fingerprint fingerprint);

    // Takes over a refusal of a peer; times beyond refusalTime from now are cut.
    void adopt(const RefusedFingerprint& refused);

    // All that a new instance has to know.
    std::vector<RefusedFingerprint> refusals() const;

private:
    struct Record {
        std::set<std::string> servers;
        WallTime forgetAt;
        // When the latest death became known here.
        SteadyTime knownAt;
        bool isRefused = false;
    };

    bool countDeath(const ServerDeath& death, SteadyTime sentAt);
    void forgetOld(WallTime now);
    // Null when there are too many fingerprints.
    Record* recordOf(Fingerprint fingerprint);

    const Clock& clock;
    mutable std::mutex mutex;
    std::map<Fingerprint, Record> records;
};

}
