#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailrack::version {

enum class ServerState {
    Active,
    // Gets no new work.
    Draining,
};

struct BackendServer {
    Endpoint address;
    std::string failureDomain;
    ServerState state = ServerState::Active;
    // Requests that the server runs at the same time.
    int64_t slots = 1;

    friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

enum class Hedging {
    Off,
    On,
};

// One record of the pools table: a group of backend servers and its limits.
struct Pool {
    std::string name;
    // Requests that wait at one instance when no slot is free.
    int64_t queueLength = 16;
    int64_t maxAnswerBytes = 1 << 20;
    int64_t firstByteTimeoutMs = 1000;
    // Connections idle for longer are not used again.
    int64_t idleConnectionMs = 4000;
    // Time in which a new or recovering server reaches its full share.
    int64_t rampMs = 5000;
    // Shifted requests admitted in one interval exceed those of the interval before by at most this number.
    int64_t shiftStep = 10;
    int64_t shiftIntervalMs = 1000;
    Hedging hedging = Hedging::Off;
    std::vector<BackendServer> servers;

    friend bool operator==(const Pool&, const Pool&) = default;
};

struct FailureDomain {
    std::string name;
    std::string region;

    friend bool operator==(const FailureDomain&, const FailureDomain&) = default;
};

// What a pair of regions shares for all traffic, each way.
struct Link {
    std::string firstRegion;
    std::string secondRegion;
    int64_t megabitsPerSecond = 0;
    // One-way latency.
    int64_t latencyMs = 0;

    friend bool operator==(const Link&, const Link&) = default;
};

// A planned move of a pool's traffic. Its progress is a function of this record and the wall clock.
struct Shift {
    std::string pool;
    std::string fromFailureDomain;
    std::string toFailureDomain;
    WallTime start;
    // Part of the traffic that moves in the end.
    int64_t percent = 100;
    // Part that moves in each step.
    int64_t stepPercent = 10;
    int64_t stepMs = 10000;

    friend bool operator==(const Shift&, const Shift&) = default;
};

}
