#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>

namespace wagtailrack::edge {

// Retry-After of requests that are refused as not executed, in seconds. `remainingMs` is the time that the caller has
// left. RequestForwarder and RequestExplanation use the same ones.

// While no version of the configuration is known yet, or while a newer one is on its way.
inline constexpr double unconfiguredRetryAfterSeconds = 0.4;
// Shortest time, so that callers do not return at once.
inline constexpr double minimumRetryAfterSeconds = 0.05;

// Time that the caller of a request without a route is taken to wait: its deadline is not known.
inline constexpr Milliseconds unroutedRequestTime { 1000 };

// Limits the time to a third of what the caller has left, so that a response after its return can be in time.
double limitedRetryAfter(double seconds, double remainingMs) noexcept;
// For a request that found no server or was refused by servers.
double failureRetryAfter(double remainingMs) noexcept;
// For a request that was refused because of load.
double overloadRetryAfter(int64_t targetLatencyMs, double remainingMs) noexcept;
// For a request whose servers all pause; not limited to a third, because a caller that returns before the pause ends is
// refused again.
double pauseRetryAfter(SteadyTime now, SteadyTime pauseEnd, double remainingMs) noexcept;

}
