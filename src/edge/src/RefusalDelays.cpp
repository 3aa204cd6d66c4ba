#include <wagtailrack/edge/RefusalDelays.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Applies to the remaining time of the request. Callers return after a fraction of the time in which a slot becomes
// free.
constexpr double retryAfterRatio = 0.25;
// As a fraction of the target latency: short enough that a response after the caller's return can be in time.
constexpr double overloadRetryAfterTargetRatio = 0.25;

}

double limitedRetryAfter(double seconds, double remainingMs) noexcept
{
    return std::min(seconds, std::max(0.0, remainingMs) / 3000);
}

double failureRetryAfter(double remainingMs) noexcept
{
    return std::max(minimumRetryAfterSeconds, retryAfterRatio * remainingMs / 1000);
}

double overloadRetryAfter(int64_t targetLatencyMs, double remainingMs) noexcept
{
    const double targetSeconds = static_cast<double>(targetLatencyMs) / 1000;
    return std::max(minimumRetryAfterSeconds,
        std::min(overloadRetryAfterTargetRatio * targetSeconds, retryAfterRatio * remainingMs / 1000));
}

double pauseRetryAfter(SteadyTime now, SteadyTime pauseEnd, double remainingMs) noexcept
{
    // Rounded up, because the field has whole milliseconds.
    const double untilEnd = std::ceil(std::chrono::duration<double, std::milli>(pauseEnd - now).count()) / 1000;
    return std::min(untilEnd, std::max(0.0, remainingMs) / 1000);
}

}
