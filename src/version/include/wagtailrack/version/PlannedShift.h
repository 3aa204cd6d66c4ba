#pragma once

#include <wagtailrack/version/Pool.h>

namespace wagtailrack::version {

// Percent of the traffic of a planned shift that has moved at `wallNow`: the first step at its start, then one more
// after each `stepMs`. A function of the record and the time alone, so a restart neither repeats nor skips a step.
int64_t plannedShiftPercent(const Shift& shift, WallTime wallNow) noexcept;

}
