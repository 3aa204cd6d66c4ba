#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <set>
#include <string>

namespace wagtailrack::edge {

// The time after the store has returned from an older copy in which operators and servers write again what the copy
// lacks, and the evacuations that stay in force meanwhile. An evacuation that the operator has written or taken back in
// the new era follows the store alone. Owned by ClusterStateCache; not thread-safe.
class StoreRecovery {
public:
    StoreRecovery(const Clock& clock, Milliseconds duration)
        : clock(clock)
        , duration(duration)
    {
    }

    // Begins anew, for the whole duration.
    void begin(int64_t era);
    // Joins a recovery of which a peer tells.
    void join(int64_t era, Milliseconds remaining);
    // The newest era whose beginning this instance has seen, or has been told of by a peer; 0 if there is none.
    int64_t era() const noexcept { return this->currentEra; }
    bool isActive() const { return this->clock.now() < this->endsAt; }
    Milliseconds remaining() const;
    SteadyTime endTime() const noexcept { return this->endsAt; }

    void retainEvacuation(const std::string& domain);
    // The operator has written or removed the evacuation in the new era.
    void releaseEvacuation(const std::string& domain);
    // The failure domains that are evacuated although the store does not say so. Empty when the time is over.
    std::set<std::string> retainedEvacuations() const;
    // Whether the time is over and evacuations were retained until now. True once.
    bool takeExpiry();

private:
    const Clock& clock;
    Milliseconds duration;
    int64_t currentEra = 0;
    SteadyTime endsAt;
    std::set<std::string> retained;
    std::set<std::string> released;
};

}
