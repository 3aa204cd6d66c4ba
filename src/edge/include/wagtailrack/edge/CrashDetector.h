#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/BackendFleet.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Identifies a request by what a server executes: host, method, target and body. The same on every instance.
using RequestFingerprint = uint64_t;

RequestFingerprint fingerprintOf(
    std::string_view host, std::string_view method, std::string_view target, std::string_view body) noexcept;
// As in log lines and paths: 16 hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);
std::optional<RequestFingerprint> parseFingerprint(std::string_view digits) noexcept;

// Identifies one lifetime of a server: a hash of its id and of the start of its process. The same on every instance.
using ServerLifetime = uint64_t;

ServerLifetime lifetimeOf(const ServerRecord& record) noexcept;

// A request that a server was running when it ended.
struct ServerCrash {
    RequestFingerprint request = 0;
    ServerLifetime server = 0;
    SteadyTime sentAt;
    SteadyTime endedAt;
    // Whether the connection was opened for the request, so that the server was alive then.
    bool isOnNewConnection = false;
    // Whether the server fell silent: it may have ended earlier, or be cut off only.
    bool isSilent = false;

    friend bool operator==(const ServerCrash&, const ServerCrash&) = default;
};

// What shows that a server has ended; the name in log lines.
enum class CrashEvidence {
    ConnectionRefused,
    RecordRemoved,
};

const char* toString(CrashEvidence evidence) noexcept;

// Tells attempts whose server ended from attempts whose connection alone ended. An attempt that ends without any
// response is kept until its server is known to run on, or to have ended: because it refuses connections, or because
// its record is removed or replaced. Planned ends do not count. Lives for the process; used by one thread.
class CrashDetector {
public:
    // Attempts that are kept; further ones are ignored.
    static constexpr size_t maximumOpenAttempts = 1000;
    // How long a record may outlive its server: three heartbeats of the platform, and the time to read it.
    static constexpr Milliseconds recordLapseTime { 8000 };

    // Called for each request that a server was running when it ended.
    using CrashHook = std::function<void(const ServerCrash&, const BackendServer&, CrashEvidence)>;

    explicit CrashDetector(const Clock& clock)
        : clock(clock)
    {
    }

    void setCrashHook(CrashHook hook) { this->crashHook = std::move(hook); }

    // The connection of an attempt ended now before any response. Returns whether the caller should find out if the
    // server refuses connections: false if the end is a planned one.
    bool recordBrokenAttempt(
        const BackendServer& server, RequestFingerprint request, SteadyTime sentAt, bool isOnNewConnection);
    // The server refused a connection.
    void recordRefusedConnection(const BackendServer& server)
    {
        this->confirm(server, CrashEvidence::ConnectionRefused);
    }
    // The server's record was removed or replaced.
    void recordRemoval(const BackendServer& server) { this->confirm(server, CrashEvidence::RecordRemoved); }
    // The server responded to an attempt that was sent at `sentAt`: attempts that had ended by then did not end it.
    void recordResponse(const BackendServer& server, SteadyTime sentAt);

private:
    void confirm(const BackendServer& server, CrashEvidence evidence);
    void removeExpired();

    const Clock& clock;
    CrashHook crashHook;
    std::map<ServerLifetime, std::vector<ServerCrash>> openAttempts;
    size_t openAttemptCount = 0;
};

}
