#include <wagtailrack/process/SpillPolicy.h>

#include <map>
#include <mutex>

namespace wagtailrack::process {

// Each completed request makes room in the queue for a moment even under overload, so the 100 ms begin again only
// when a slot is free. Beginning again at any free place would forward nothing.
class AfterFullQueuePolicy final : public SpillPolicy {
public:
    explicit AfterFullQueuePolicy(const Clock& processClock)
        : clock(processClock)
    {
    }

    Placement place(const std::string& pool, const PoolPressure& pressure, uint64_t) override
    {
        const std::lock_guard lock(this->mutex);
        const bool isFull = pressure.freeSlots <= 0 && pressure.queued >= pressure.queueLength;
        const auto known = this->spillFrom.find(pool);
        if (isFull) {
            const SteadyTime now = this->clock.now();
            if (known == this->spillFrom.end()) {
                this->spillFrom.emplace(pool, now + spillDelay);
                return Placement::Local;
            }
            return now >= known->second ? Placement::Forward : Placement::Local;
        }
        if (pressure.freeSlots > 0 && known != this->spillFrom.end())
            this->spillFrom.erase(known);
        return Placement::Local;
    }

    TargetOrder targetOrder() const noexcept override { return TargetOrder::ByDistance; }

private:
    const Clock& clock;
    std::mutex mutex;
    // For each pool whose queue is full: when forwarding may start.
    std::map<std::string, SteadyTime> spillFrom;
};

class NearestOnlyPolicy final : public SpillPolicy {
public:
    Placement place(const std::string&, const PoolPressure&, uint64_t) override { return Placement::Local; }
    TargetOrder targetOrder() const noexcept override { return TargetOrder::ByDistance; }
};

class EvenSpreadPolicy final : public SpillPolicy {
public:
    Placement place(const std::string&, const PoolPressure& pressure, uint64_t requestHash) override
    {
        if (pressure.totalSlots <= 0)
            return Placement::Local;
        const auto position = static_cast<int64_t>(requestHash % static_cast<uint64_t>(pressure.totalSlots));
        return position < pressure.localSlots ? Placement::Local : Placement::Forward;
    }
    TargetOrder targetOrder() const noexcept override { return TargetOrder::ByCapacity; }
};

std::unique_ptr<SpillPolicy> makeSpillPolicy(SpillStrategy strategy, const Clock& clock)
{
    switch (strategy) {
    case SpillStrategy::AfterFullQueue:
        return std::make_unique<AfterFullQueuePolicy>(clock);
    case SpillStrategy::NearestOnly:
        return std::make_unique<NearestOnlyPolicy>();
    case SpillStrategy::EvenSpread:
        return std::make_unique<EvenSpreadPolicy>();
    }
    return std::make_unique<AfterFullQueuePolicy>(clock);
}

}
