#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/Http.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace wagtailrack::edge {

// What a server tells about itself in the head of a response, besides its load.
struct ServerNotices {
    // The server is leaving and takes no new requests for the rest of its lifetime.
    bool isLeaving = false;
    // Set by a 503: the server wants no requests of this instance until then.
    std::optional<SteadyTime> pausesUntil;
    // Number of fields with a value that is not valid; they are ignored.
    uint32_t invalidFields = 0;

    friend bool operator==(const ServerNotices&, const ServerNotices&) = default;
};

// Longest pause that a server may ask for. Not a judgement on the server: longer times are taken for an error of unit,
// and a time without limit would overflow the clock.
inline constexpr Milliseconds maximumServerPause = std::chrono::hours(24);

// Returns the seconds of a Retry-After field: a decimal number, also with a fraction. Nothing for a date, a negative or
// infinite number, an exponent or any other text.
std::optional<double> parseRetryAfterSeconds(std::string_view text);

// Reads the notices of a response that arrived at `now`.
ServerNotices readServerNotices(const http::response_header<>& head, const EdgeHeaderNames& names, SteadyTime now);

}
