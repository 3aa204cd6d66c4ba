#include <wagtailrack/process/LinkBudget.h>

#include <algorithm>
#include <cassert>

namespace wagtailrack::process {

static constexpr double bytesPerMegabit = 125'000;

LinkBudget::LinkBudget(const Clock& processClock, int64_t percentOfCapacity)
    : clock(processClock)
    , percent(percentOfCapacity)
{
    assert(percentOfCapacity > 0 && percentOfCapacity <= 100);
}

void LinkBudget::update(const version::Tables& tables)
{
    const std::lock_guard lock(this->mutex);
    std::map<Direction, Bucket, std::less<>> updated;
    for (const version::Link& link : tables.links) {
        const double bytesPerSecond
            = static_cast<double>(link.megabitsPerSecond) * bytesPerMegabit * static_cast<double>(this->percent) / 100;
        for (const Direction& direction :
            { Direction(link.firstRegion, link.secondRegion), Direction(link.secondRegion, link.firstRegion) }) {
            const auto known = this->buckets.find(direction);
            updated[direction]
                = { bytesPerSecond, known == this->buckets.end() ? SteadyTime::min() : known->second.refilledAt };
        }
    }
    this->buckets = std::move(updated);
}

bool LinkBudget::tryTake(std::string_view fromRegion, std::string_view toRegion, int64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    Bucket* bucket = this->find(fromRegion, toRegion);
    if (!bucket)
        return true;
    const SteadyTime now = this->clock.now();
    const bool isFull = bucket->refilledAt <= now;
    const auto cost = std::chrono::duration_cast<SteadyTime::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / bucket->bytesPerSecond));
    const SteadyTime refilledAt = std::max(bucket->refilledAt, now) + cost;
    if (!isFull && refilledAt > now + bucketTime)
        return false;
    bucket->refilledAt = refilledAt;
    return true;
}

void LinkBudget::charge(std::string_view fromRegion, std::string_view toRegion, int64_t bytes)
{
    const std::lock_guard lock(this->mutex);
    if (Bucket* bucket = this->find(fromRegion, toRegion)) {
        bucket->refilledAt = std::max(bucket->refilledAt, this->clock.now())
            + std::chrono::duration_cast<SteadyTime::duration>(
                std::chrono::duration<double>(static_cast<double>(bytes) / bucket->bytesPerSecond));
    }
}

LinkBudget::Bucket* LinkBudget::find(std::string_view fromRegion, std::string_view toRegion)
{
    if (fromRegion == toRegion)
        return nullptr;
    const auto found = this->buckets.find(Direction(fromRegion, toRegion));
    return found == this->buckets.end() ? nullptr : &found->second;
}

}
