#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/process/LoadHints.h>
#include <wagtailrack/process/SlotShares.h>
#include <wagtailrack/process/Timeline.h>
#include <wagtailrack/version/Tables.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace wagtailrack::process {

// How an attempt at a server ended, as far as it tells about the server.
enum class AttemptEnd {
    Answered,
    // The server refused it as not run.
    Shed,
    ConnectFailed,
    TimedOut,
    // Closed without an answer.
    ConnectionLost,
    // Truncated, oversized, without length, or with the id of another request.
    AnswerWrong,
    // Given up because it took too long for its caller or a hedge was faster; the server took at least this long.
    Overtaken,
    // Ended by this instance; tells nothing about the server.
    Cancelled,
};

const char* toString(AttemptEnd end) noexcept;

// Signs of a server that stops. A stronger sign replaces a weaker one.
enum class LeavingSign {
    None,
    // `Connection: close`: some servers also close to limit the age of a connection, so that such servers are used
    // again when a pool has no others.
    ConnectionClose,
    // `Wagtailrack-Draining` on an answer or a probe.
    Announced,
};

// Whether a server died while it ran the request before. Two suspects never run at one server at the same time, so
// that one that is innocent is not counted as a cause of the other one's second death.
enum class Suspicion {
    None,
    Suspect,
};

// What this instance knows of one server at one time.
struct ServerSnapshot {
    Endpoint address;
    int64_t inFlight = 0;
    double latencyMs = 0;
    int64_t deaths = 0;
    int64_t failuresInSequence = 0;
    bool isEjected = false;
    LeavingSign leaving = LeavingSign::None;
};

class ServerStates;

// The right to have one request in flight at a server; given back when it is destroyed. Moved, not copied; used by
// one thread at a time.
class ServerPermit {
public:
    ServerPermit() = default;
    ServerPermit(ServerStates& owner, Endpoint server, SteadyTime start, Suspicion suspicion);
    ~ServerPermit();
    ServerPermit(ServerPermit&& other) noexcept;
    ServerPermit& operator=(ServerPermit&& other) noexcept;

    explicit operator bool() const noexcept { return this->owner != nullptr; }
    const Endpoint& server() const noexcept { return this->address; }

    // Records the end of the attempt and gives the permit back.
    void finish(AttemptEnd end);

private:
    friend class ServerStates;

    ServerStates* owner = nullptr;
    Endpoint address;
    SteadyTime start;
    Suspicion suspicion = Suspicion::None;
};

// The backend servers as this instance observes them, by address and kept across versions of the tables: requests in
// flight, latency, errors, signs of leaving, ejection and ramp-up. Gives out permits within SlotShares. Lives for the
// process; may be called by any thread.
//
//     ServerPermit permit = states.acquire(pool, {});
//     if (permit)
//         permit.finish(AttemptEnd::Answered);
class ServerStates {
public:
    // Failures in sequence after which a server gets no requests for a time.
    static constexpr int64_t failureLimit = 3;
    static constexpr Milliseconds firstEjection { 1000 };
    static constexpr Milliseconds longestEjection { 30'000 };
    // A sign of leaving holds this long after it was last seen: longer than reports of servers lag.
    static constexpr Milliseconds leavingHold { 30'000 };
    // Reported load is a hint; without a new report it is forgotten.
    static constexpr Milliseconds loadHold { 10'000 };

    ServerStates(const Clock& clock, Timeline& timeline, const SlotShares& shares);

    // Takes the servers of new tables. Servers that were not in the tables before ramp up, except at the start of the
    // process; servers in both keep their state.
    void update(const version::Tables& tables);

    // A permit for a server of `pool` by power of two choices on outstanding work and latency, or an empty one when
    // no server has a free slot in this instance's share. Servers in `avoided` are used only without others.
    ServerPermit acquire(
        const version::Pool& pool, const std::set<Endpoint>& avoided, Suspicion suspicion = Suspicion::None);

    // Permits that acquire() could give now.
    int64_t freeSlots(const version::Pool& pool) const;

    // Whether any server of `pool` could ever take a request now, free or not.
    bool hasUsableServer(const version::Pool& pool) const;

    // Expected time of a request in milliseconds, over the servers of `pool` in use; 0 before the first answer.
    double expectedLatencyMs(const version::Pool& pool) const;

    void noteLeaving(const Endpoint& server, LeavingSign sign);
    void noteLoad(const Endpoint& server, double load);
    // A probe answered; an ejected server whose deadline has passed ramps up again.
    void noteProbeAnswered(const Endpoint& server, bool isDraining);
    void noteProbeFailed(const Endpoint& server, AttemptEnd end);

    std::vector<ServerSnapshot> snapshot() const;

    // Called without a lock after a permit was given back.
    void setReleaseListener(std::function<void()> listener);

private:
    friend class ServerPermit;

    struct State {
        int64_t inFlight = 0;
        int64_t suspects = 0;
        double latencyMs = 0;
        SteadyTime latencyAt;
        int64_t failures = 0;
        int64_t deaths = 0;
        // Requests are withheld until this time, and then until a probe or a single request succeeds.
        SteadyTime ejectedUntil;
        Milliseconds ejection { 0 };
        bool isEjected = false;
        LeavingSign leaving = LeavingSign::None;
        SteadyTime leavingUntil;
        bool wasDown = false;
        SteadyTime rampStart;
    };

    struct Candidate {
        const Endpoint* address = nullptr;
        State* state = nullptr;
        double cost = 0;
    };

    void release(const ServerPermit& permit, AttemptEnd end);
    void recordEnd(const Endpoint& server, State& state, AttemptEnd end, double elapsedMs);
    void recordLatency(State& state, double elapsedMs);
    void recordFailure(const Endpoint& server, State& state, AttemptEnd end);
    void eject(const Endpoint& server, State& state);
    void readmit(const Endpoint& server, State& state);
    bool isLeaving(const State& state, LeavingSign tolerated) const;
    int64_t limitOf(const version::BackendServer& server, const version::Pool& pool, const State& state) const;
    double costOf(const version::Pool& pool, const State& state, double typicalMs) const;
    double typicalLatency(const version::Pool& pool) const;
    std::vector<Candidate> candidates(
        const version::Pool& pool, const std::set<Endpoint>& avoided, LeavingSign tolerated, Suspicion suspicion);
    bool areAllLeaving(const version::Pool& pool) const;

    const Clock& clock;
    Timeline& timeline;
    const SlotShares& shares;
    mutable std::mutex mutex;
    std::map<Endpoint, State> states;
    LoadHints hints;
    std::function<void()> releaseListener;
};

}
