#include <wagtailrack/base/Clock.h>

#include <time.h>

#include <atomic>
#include <cstdint>

namespace wagtailrack {

namespace {

std::atomic<int64_t> simulatedSuspensionMs { 0 };

}

SteadyTime SystemClock::now() const noexcept { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const noexcept { return std::chrono::system_clock::now(); }

const SystemClock& SystemClock::shared() noexcept
{
    static const SystemClock clock;
    return clock;
}

SteadyTime BootTimeClock::now() noexcept
{
    timespec time {};
    // Cannot fail: the clock exists on every supported kernel and the pointer is valid.
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)
        + Milliseconds(simulatedSuspensionMs.load()));
}

void BootTimeClock::simulateSuspension(Milliseconds suspended) noexcept { simulatedSuspensionMs += suspended.count(); }

WallTime SuspensionAwareClock::wallNow() const noexcept { return std::chrono::system_clock::now(); }

const SuspensionAwareClock& SuspensionAwareClock::shared() noexcept
{
    static const SuspensionAwareClock clock;
    return clock;
}

long long toUnixMilliseconds(WallTime time) noexcept
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

}
