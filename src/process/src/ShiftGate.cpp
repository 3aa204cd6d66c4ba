#include <wagtailrack/process/ShiftGate.h>

#include <wagtailrack/process/SlotShares.h>

#include <algorithm>

namespace wagtailrack::process {

ShiftGate::ShiftGate(const Clock& processClock)
    : clock(processClock)
    , startedAt(processClock.now())
    , startedAtWall(processClock.wallNow())
{
}

void ShiftGate::setRank(size_t rank, size_t memberCount)
{
    const std::lock_guard lock(this->mutex);
    const Steering::Rank next { rank, memberCount };
    if (next == this->currentRank)
        return;
    const SteadyTime now = this->clock.now();
    this->forgetPastRanks(now);
    std::erase_if(this->pastRanks, [&](const PastRank& past) { return past.rank == this->currentRank; });
    this->pastRanks.push_back({ this->currentRank, now + SlotShares::growthDelay });
    this->currentRank = next;
}

void ShiftGate::forgetPastRanks(SteadyTime now)
{
    SteadyTime earliestStart = now;
    for (const auto& entry : this->intervals)
        earliestStart = std::min(earliestStart, this->startOf(entry.second));
    std::erase_if(this->pastRanks, [&](const PastRank& past) { return past.countsUntil <= earliestStart; });
}

int64_t ShiftGate::partOf(int64_t step, SteadyTime intervalStart) const
{
    int64_t part = this->currentRank.partOf(step);
    for (const PastRank& past : this->pastRanks) {
        if (past.countsUntil > intervalStart)
            part = std::min(part, past.rank.partOf(step));
    }
    return part;
}

SteadyTime ShiftGate::startOf(const Interval& interval) const noexcept
{
    return this->startedAt + (Milliseconds(interval.lengthMs) * interval.index - this->alignedTime(this->startedAt));
}

std::chrono::nanoseconds ShiftGate::alignedTime(SteadyTime now) const noexcept
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(this->startedAtWall.time_since_epoch())
        + (now - this->startedAt);
}

void ShiftGate::advance(Interval& interval, int64_t lengthMs, SteadyTime now) const
{
    const Milliseconds length(lengthMs);
    const int64_t index = this->alignedTime(now) / length;
    if (interval.lengthMs != lengthMs) {
        // A new pool or another length: what this interval has seen is not known in these units, so it admits nothing.
        interval = { lengthMs, index, index + 1, 0, 0 };
        return;
    }
    if (index <= interval.index)
        return;
    interval.admittedBefore = index == interval.index + 1 ? interval.admitted : 0;
    interval.admitted = 0;
    interval.index = index;
}

std::optional<WallTime> ShiftGate::admit(const version::Pool& pool)
{
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = this->clock.now();
    Interval& interval = this->intervals[pool.name];
    this->advance(interval, pool.shiftIntervalMs, now);
    const int64_t part = this->partOf(pool.shiftStep, this->startOf(interval));
    if (interval.index >= interval.firstIndex && interval.admitted < interval.admittedBefore + part) {
        ++interval.admitted;
        return std::nullopt;
    }
    const Milliseconds length(pool.shiftIntervalMs);
    const auto remaining = length - this->alignedTime(now) % length;
    return this->clock.wallNow() + std::chrono::duration_cast<WallTime::duration>(remaining);
}

}
