#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>

namespace wagtailrack::testbed {

enum class AnswerMode {
    Normal,
    // The answer comes `lateMs` after the work.
    Late,
    // Id and body of another request.
    Crossed,
    // The connection closes in the middle of the body.
    Truncated,
    // The body has `oversizedBytes`.
    Oversized,
    // Neither a length nor chunks; the body ends with the connection.
    WithoutLength,
    // The work runs, no byte is answered until the caller closes.
    Hanging,
    // The connection closes without an answer.
    Closing,
};

enum class ServiceTime {
    Fixed,
    Uniform, // 0 to twice the mean
    Exponential,
};

// What a simulated backend server does; all of it can be changed over PUT /control while it runs.
struct BackendBehavior {
    int64_t slots = 3;
    int64_t queueLength = 6;
    double serviceMs = 5;
    ServiceTime distribution = ServiceTime::Fixed;
    // The first `coldRequests` take `coldFactor` times as long.
    int64_t coldRequests = 0;
    double coldFactor = 5;
    int64_t bodyBytes = 0;
    AnswerMode mode = AnswerMode::Normal;
    // Answers that `mode` applies to; afterwards answers are normal. Below zero: all.
    int64_t modeCount = -1;
    int64_t lateMs = 2000;
    int64_t oversizedBytes = 4 << 20;
    bool isDraining = false;
    // Load and drain state are reported as they were this long ago.
    int64_t healthLagMs = 0;
    // A load in [0, 1] that is reported whatever the real one is; below zero: the real one.
    double claimedLoad = -1;
    // GET /health and the headers never tell that the server drains.
    bool hidesDraining = false;
    // GET /health gets no answer.
    bool healthHangs = false;

    // Takes the keys that `changes` has; returns the first unknown key or wrong value, or an empty string.
    std::string apply(const Json::Value& changes);
    Json::Value toJson() const;
};

}
