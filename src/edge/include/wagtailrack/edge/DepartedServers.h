#pragma once

#include <wagtailrack/base/Clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// The server lifetimes that have left the registry or were leaving, so that they do not return to use because the store
// has returned from an older copy, which has their records as they were before.
//
// A lifetime that was seen leaving, or that another one replaced, stays out as long as it is remembered: it never
// returns. One whose record was only missing may be running, and stays out for the time in which the servers write
// their records again. Without a change of the era, nothing is held. Lives in the fleet; not thread-safe.
class DepartedServers {
public:
    // One run of a server process: its id, and its start in Unix milliseconds, because an id may be used again.
    struct Lifetime {
        std::string id;
        int64_t startedAtMs = 0;

        friend auto operator<=>(const Lifetime&, const Lifetime&) = default; // NOLINT(modernize-use-nullptr)
    };

    struct Departure {
        Lifetime server;
        bool isFinal = false;

        friend bool operator==(const Departure&, const Departure&) = default;
    };

    // Longer than the age of the copies from which a store returns, which are some seconds old.
    static constexpr Milliseconds memoryTime { 60'000 };
    // Bounds the memory and the messages to peers; the oldest departures are forgotten first.
    static constexpr size_t maximumDepartures = 1000;

    void record(Departure departure, SteadyTime now);
    // Holds the lifetimes that have departed until now: those that may be running until `until`.
    void beginHold(SteadyTime now, SteadyTime until);
    bool isHeld(const Lifetime& server, SteadyTime now) const;
    // The departures that are held, for a peer that has not seen them.
    std::vector<Departure> heldDepartures(SteadyTime now) const;

private:
    struct Entry {
        SteadyTime departedAt;
        bool isFinal = false;
    };

    void forgetOld(SteadyTime now);

    std::map<Lifetime, Entry> entries;
    bool hasHold = false;
    SteadyTime holdBeganAt;
    SteadyTime holdUntil;
};

}
