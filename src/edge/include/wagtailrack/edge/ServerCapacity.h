#pragma once

#include <wagtailrack/base/Clock.h>

namespace wagtailrack::edge {

// Duration of one answered request, as a sample of its server's speed.
struct DurationSample {
    // Time from sending the request to its response, without the network.
    double durationMs = 0;
    // Expected wait and processing time, of a server of usual speed.
    double expectedMs = 0;
    // Requests per slot on the server when the request was sent, including this one.
    double loadRatio = 0;
    // How long work took on the server's machine at that moment, relative to usual, as the server told it.
    double machineFactor = 1;

    friend bool operator==(const DurationSample&, const DurationSample&) = default;
};

// What is known about how much a server handles well, during one lifetime of its process.
struct ServerCapacityEstimate {
    // Relative to the median of the server's service: work takes twice as long at 0.5.
    double speed = 1;
    // Requests per slot beyond which processing gets slower; 1: none below the number of slots.
    double knee = 1;
    // Processing time beyond the knee, relative to that below it.
    double slowdown = 1;
    // 0 (no samples, or only old ones) to 1.
    double confidence = 0;
    SteadyTime sampledAt;

    friend bool operator==(const ServerCapacityEstimate&, const ServerCapacityEstimate&) = default;
};

}
