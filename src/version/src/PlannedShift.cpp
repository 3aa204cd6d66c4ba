#include <wagtailrack/version/PlannedShift.h>

#include <algorithm>

namespace wagtailrack::version {

int64_t plannedShiftPercent(const Shift& shift, WallTime wallNow) noexcept
{
    if (wallNow < shift.start)
        return 0;
    const int64_t elapsedMs = std::chrono::duration_cast<Milliseconds>(wallNow - shift.start).count();
    // At most 100 steps matter; the bound keeps the product far from overflow.
    const int64_t steps = std::min<int64_t>(elapsedMs / std::max<int64_t>(shift.stepMs, 1), 100) + 1;
    return std::clamp<int64_t>(steps * shift.stepPercent, 0, shift.percent);
}

}
