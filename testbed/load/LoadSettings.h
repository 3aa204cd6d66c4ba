#pragma once

#include <wagtailrack/base/Error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::testbed {

struct DeploymentShape;

enum class ArrivalShape {
    // `from` all the time.
    Constant,
    // `from` in the first half, `to` in the second.
    Step,
    // Grows from `from` to `to`.
    Ramp,
    // `from`, but `to` in the middle third.
    Surge,
};

struct LoadPhase {
    ArrivalShape shape = ArrivalShape::Constant;
    // Arrivals a second.
    double from = 0;
    double to = 0;
    int64_t durationMs = 0;

    double rateAt(double fraction) const noexcept;
    double highestRate() const noexcept;
};

struct LoadService {
    // Name of the route.
    std::string name;
    std::string method = "GET";
    std::string pathPrefix;
    bool isOrder = false;
    int64_t deadlineMs = 1000;
    // Share of the arrivals, in relation to the other services.
    int64_t weight = 1;
};

// Open-loop load: arrivals do not wait for answers.
struct LoadSettings {
    uint64_t seed = 1;
    // Requests that can be open at the same time for each client network.
    int64_t callersPerDomain = 16;
    // Client networks, one for each failure domain.
    int64_t domains = 1;
    // Instances to ask first, "address:port".
    std::vector<std::string> bootstrap;
    std::vector<LoadPhase> phases;
    std::vector<LoadService> services;

    // Intended send times in microseconds after the start: a Poisson process with the rates of the phases.
    std::vector<int64_t> arrivals() const;

    // All services of a shape, eight look-ups of each for one order, with no phases yet.
    static LoadSettings of(const DeploymentShape& shape);
};

// Reads [[phase]] (shape, from, to, duration_ms) and [[service]] (name, method, path_prefix, order, deadline_ms,
// weight), and seed, domains, callers_per_domain and bootstrap. Fails with file, line and key.
Result<LoadSettings> parseLoadSettings(std::string_view text, const std::string& file);

}
