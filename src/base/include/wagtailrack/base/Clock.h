#pragma once

#include <chrono>

namespace wagtailrack {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// Source of time. Deadlines use the steady clock; events and shift records use the wall clock, which may step.
// Lives for the process; may be called by any thread. Tests use FakeClock of tests/support.
class Clock {
public:
    virtual ~Clock() = default;
    virtual SteadyTime now() const noexcept = 0;
    virtual WallTime wallNow() const noexcept = 0;
};

class SystemClock final : public Clock {
public:
    SteadyTime now() const noexcept override;
    WallTime wallNow() const noexcept override;

    // One clock for the whole process.
    static const SystemClock& shared() noexcept;
};

// Monotonic time that also advances while the machine is suspended, in contrast to std::chrono::steady_clock. A
// deadline that passes during a suspension has therefore passed when the process continues. Meets the requirements of a
// standard clock, so that Asio timers can use it; its time points are those of SteadyTime, but must not be mixed with
// those of std::chrono::steady_clock.
struct BootTimeClock {
    using duration = SteadyTime::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = SteadyTime;

    static SteadyTime now() noexcept;
    // For tests: moves the clock forward, as a suspension does.
    static void simulateSuspension(Milliseconds suspended) noexcept;
};

// Clock over BootTimeClock, for processes whose decisions depend on how old their knowledge is.
class SuspensionAwareClock final : public Clock {
public:
    SteadyTime now() const noexcept override { return BootTimeClock::now(); }
    WallTime wallNow() const noexcept override;

    // One clock for the whole process.
    static const SuspensionAwareClock& shared() noexcept;
};

// Milliseconds since the Unix epoch.
long long toUnixMilliseconds(WallTime time) noexcept;

}
