#pragma once

// HTTP headers that the system reads or writes; docs/design.md section 4 describes them.
namespace wagtailrack::headers {

inline constexpr char deadlineMs[] = "Wagtailrack-Deadline-Ms";
inline constexpr char requestId[] = "Wagtailrack-Request-Id";
inline constexpr char idempotencyKey[] = "Idempotency-Key";
inline constexpr char home[] = "Wagtailrack-Home";
inline constexpr char forwarded[] = "Wagtailrack-Forwarded";
// On a forwarded order: the instance that owns its key and has decided that it runs.
inline constexpr char orderOwner[] = "Wagtailrack-Order-Owner";
inline constexpr char outcome[] = "Wagtailrack-Outcome";
inline constexpr char reason[] = "Wagtailrack-Reason";
inline constexpr char notRun[] = "Wagtailrack-Not-Run";
inline constexpr char draining[] = "Wagtailrack-Draining";
inline constexpr char load[] = "Wagtailrack-Load";
inline constexpr char retryAfter[] = "Retry-After";

}
