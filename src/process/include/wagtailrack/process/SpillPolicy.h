#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <memory>
#include <string>

namespace wagtailrack::process {

enum class Placement {
    // Runs or waits here; refused when the queue is full.
    Local,
    // May be forwarded to one of Steering::forwardTargets.
    Forward,
};

// How the failure domains that a request may be forwarded to are ordered.
enum class TargetOrder {
    ByDistance,
    // In proportion to their slots, wherever they are.
    ByCapacity,
};

// State of one pool at this instance when a request arrives.
struct PoolPressure {
    int64_t freeSlots = 0;
    int64_t queued = 0;
    int64_t queueLength = 0;
    // Slots of the pool's servers in this failure domain and in all.
    int64_t localSlots = 0;
    int64_t totalSlots = 0;
};

// Decides for each arriving request whether it may leave this failure domain. Lives for the process; may be called by
// any thread. The system uses SpillStrategy::AfterFullQueue; the other two are baselines for tests and benchmarks.
class SpillPolicy {
public:
    virtual ~SpillPolicy() = default;
    // Called once for each request before its admission; `requestHash` is uniformly distributed.
    virtual Placement place(const std::string& pool, const PoolPressure& pressure, uint64_t requestHash) = 0;
    virtual TargetOrder targetOrder() const noexcept = 0;
};

enum class SpillStrategy {
    // Forwards what finds the queue full, once the queue has been full for 100 ms. A request that finds room stays.
    AfterFullQueue,
    // Never forwards.
    NearestOnly,
    // Spreads all requests over all failure domains by their slots.
    EvenSpread,
};

// Time for which the queue must have been full before anything is forwarded.
inline constexpr Milliseconds spillDelay { 100 };

std::unique_ptr<SpillPolicy> makeSpillPolicy(SpillStrategy strategy, const Clock& clock);

}
