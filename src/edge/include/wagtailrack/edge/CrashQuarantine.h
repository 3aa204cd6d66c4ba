#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/CrashDetector.h>
#include <wagtailrack/edge/QuarantineMessages.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace wagtailrack::edge {

enum class SendDecision {
    Send,
    // The request is suspected of crashing servers, and another copy of it is being tried.
    Wait,
    // The request crashes servers.
    Refuse,
};

// How a change of a quarantine became known; the name in log lines.
enum class QuarantineSource {
    OwnCrashes,
    Peer,
    Store,
    Operator,
};

const char* toString(QuarantineSource source) noexcept;

// Keeps requests that crash every server which executes them from being sent to one server after the other. Combines
// the crashes that this instance has seen with those that others report, since callers repeat such a request at any
// instance.
//
// The first crash of a request makes it a suspect: its copies are sent one after the other. Further crashes put it in
// quarantine, unless a server responds to it in between. A crash counts for less if it probably has another cause:
// other servers end at the same moment, as in a power failure; the server was running another suspect as well; or it
// fell silent, which may be a matter of the network. Only attempts that began after the previous crash count, so that
// copies that were already running do not.
//
// A quarantine ends some time after the request has last come, or when an operator clears it. Memory and messages are
// bounded. Without input or output; lives for the process; used by one thread.
class CrashQuarantine {
public:
    // How long a crash counts, and how long a request is refused after it has last come.
    static constexpr std::chrono::minutes retentionTime { 10 };
    // Interval of the copies of a suspect.
    static constexpr Milliseconds trialInterval { 500 };
    // After a crash at another instance the next copy waits for up to this much longer, a random time: that instance
    // tries one first, and copies that wait at many instances are not sent at the same moment.
    static constexpr Milliseconds trialSpread { 1000 };
    // Reports of other instances on the same crash arrive within this time: a quarantine is decided after it.
    static constexpr Milliseconds settlingTime { 250 };
    // Ends of servers within this time of each other probably have one cause.
    static constexpr Milliseconds coincidenceTime { 300 };
    // Reports on the end of a server that differ by less are of the same end.
    static constexpr Milliseconds sameEndTime { 1000 };
    static constexpr double quarantineWeight = 2;
    static constexpr double doubtfulCrashWeight = 0.5;
    static constexpr size_t maximumRequests = 4096;
    static constexpr size_t maximumServers = 1024;
    static constexpr size_t maximumCrashesPerRequest = 16;
    static constexpr size_t maximumRequestsPerServer = 64;
    // Keeps a datagram below the usual packet size.
    static constexpr size_t maximumReportsPerMessage = 32;

    // A request in quarantine or, if `beganAt` is the epoch, a suspect.
    struct Entry {
        RequestFingerprint request = 0;
        size_t crashes = 0;
        SteadyTime beganAt;
        SteadyTime lastRequestAt;

        bool isQuarantined() const { return this->beganAt != SteadyTime(); }
        SteadyTime endsAt() const { return this->lastRequestAt + retentionTime; }

        friend bool operator==(const Entry&, const Entry&) = default;
    };
    // Called when a quarantine begins or is cleared.
    using ChangeHook = std::function<void(const Entry&, QuarantineSource, bool isCleared)>;

    explicit CrashQuarantine(const Clock& clock)
        : clock(clock)
    {
    }

    void setChangeHook(ChangeHook hook) { this->changeHook = std::move(hook); }

    // Decides on a copy of the request that would be sent now. The copy of a suspect that may be sent is its next
    // trial.
    SendDecision decide(RequestFingerprint request);
    // Returns what decide() would return, without counting a copy of the request.
    SendDecision preview(RequestFingerprint request) const;
    // Remaining time of a quarantine if the request does not come again; zero without a quarantine.
    Milliseconds remainingTime(RequestFingerprint request) const;

    // A server ended while it was running a request that this instance had sent.
    void recordCrash(const ServerCrash& crash);
    // A server executed the request and responded.
    void recordResponse(RequestFingerprint request);
    // An operator clears the request. Returns whether it was a suspect or in quarantine.
    bool clear(RequestFingerprint request);
    // What the store has of a request: a quarantine, or the time at which an operator cleared it.
    void adoptQuarantine(RequestFingerprint request, SteadyTime beganAt, SteadyTime lastRequestAt);
    void adoptClearance(RequestFingerprint request, SteadyTime clearedAt);
    void merge(const QuarantineMessage& message);

    // Decides on quarantines whose settling time has passed and forgets what has expired. Must be called often.
    void update();
    // What this instance has to tell all others; each change is told several times, since messages may be lost.
    std::vector<QuarantineMessage> collectNews();
    // A part of all that is known, in rotation, for an instance that may have missed it. Empty if nothing is known.
    QuarantineMessage nextSummary();

    std::vector<Entry> entries() const;
    size_t quarantinedCount() const;
    // Requests that an operator has cleared, and when.
    std::map<RequestFingerprint, SteadyTime> clearedRequests() const;

private:
    struct Suspect {
        // In the order in which they became known; one for each end of a server.
        std::vector<ServerCrash> crashes;
        bool hasOwnCrash = false;
        SteadyTime decidableAt;
        SteadyTime nextTrialAt;
        // The epoch: not in quarantine.
        SteadyTime quarantinedAt;
        SteadyTime lastRequestAt;

        bool isQuarantined() const { return this->quarantinedAt != SteadyTime(); }
    };
    // A server that ended, and the requests that it was running.
    struct EndedServer {
        SteadyTime endedAt;
        std::set<RequestFingerprint> requests;
    };
    // When a server last responded to the request, and when an operator last cleared it. Earlier crashes do not count.
    struct Acquittal {
        SteadyTime respondedAt;
        SteadyTime clearedAt;

        SteadyTime latest() const { return std::max(this->respondedAt, this->clearedAt); }
    };
    // A request of which all instances are told, and when next.
    struct News {
        SteadyTime nextSendAt;
        int remainingSends = 0;
    };

    // The next copy of the request waits until `trialDelay` after the crash. Returns whether the crash was not known.
    bool addCrash(const ServerCrash& crash, Milliseconds trialDelay);
    // `previousEndedAt` is the end of the previous crash of the request that counts.
    double weightOf(const ServerCrash& crash, SteadyTime previousEndedAt) const;
    double totalWeight(const Suspect& suspect) const;
    void decideQuarantine(RequestFingerprint request);
    void quarantine(RequestFingerprint request, SteadyTime beganAt, SteadyTime lastRequestAt, QuarantineSource source);
    void acquit(RequestFingerprint request, SteadyTime Acquittal::*kind, SteadyTime at, QuarantineSource source);
    void removeExpired();
    void makeRoom();
    void announce(RequestFingerprint request);
    QuarantineMessage describe(RequestFingerprint request) const;
    Entry entryOf(RequestFingerprint request, const Suspect& suspect) const;
    uint32_t ageMs(SteadyTime time) const;
    SteadyTime timeOfAge(uint32_t ageMs) const;

    const Clock& clock;
    ChangeHook changeHook;
    std::unordered_map<RequestFingerprint, Suspect> suspects;
    // Suspects with crashes since the last decision on them.
    std::set<RequestFingerprint> undecided;
    std::map<ServerLifetime, EndedServer> endedServers;
    std::map<RequestFingerprint, Acquittal> acquittals;
    std::map<RequestFingerprint, News> news;
    SteadyTime nextExpiryCheckAt;
    // Request behind which the next summary begins.
    RequestFingerprint summaryPosition = 0;
};

}
