#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/process/Steering.h>
#include <wagtailrack/version/Pool.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::process {

// Limits the shifted requests that this instance admits to a pool: in each interval at most the number of the
// interval before plus this instance's part of `shift_step`. Intervals are those of the wall clock as it was when the
// gate was created, continued by the steady clock: a wall clock that steps later changes nothing. An interval uses the
// smallest part that this instance has had since SlotShares::growthDelay before its start: what other members or an
// earlier process of this instance have admitted with a larger part then belongs to an earlier interval. The interval
// of a pool's first request, or of its first one after a change of the length, admits nothing. Lives for the process;
// may be called by any thread.
class ShiftGate {
public:
    explicit ShiftGate(const Clock& clock);

    // This instance's rank among the `memberCount` members of its failure domain (Steering::rankOf); decides its part
    // of each step. A smaller part takes effect at once; before the first call there is none.
    void setRank(size_t rank, size_t memberCount);

    // Counts one shifted request for `pool`. Returns nothing when it is admitted, else the start of the next interval,
    // when it may be tried again.
    std::optional<WallTime> admit(const version::Pool& pool);

private:
    struct Interval {
        int64_t lengthMs = 0;
        // Number of the interval since the Unix epoch.
        int64_t index = 0;
        // Nothing is admitted before this interval.
        int64_t firstIndex = 0;
        int64_t admitted = 0;
        int64_t admittedBefore = 0;
    };
    struct PastRank {
        Steering::Rank rank;
        SteadyTime countsUntil;
    };

    // Time since the Unix epoch by the wall clock of the start and the steady clock since.
    std::chrono::nanoseconds alignedTime(SteadyTime now) const noexcept;
    void advance(Interval& interval, int64_t lengthMs, SteadyTime now) const;
    SteadyTime startOf(const Interval& interval) const noexcept;
    int64_t partOf(int64_t step, SteadyTime intervalStart) const;
    void forgetPastRanks(SteadyTime now);

    const Clock& clock;
    const SteadyTime startedAt;
    const WallTime startedAtWall;
    std::mutex mutex;
    Steering::Rank currentRank;
    // Different replaced ranks that still count for some interval.
    std::vector<PastRank> pastRanks;
    std::map<std::string, Interval> intervals;
};

}
