#include "LoadSettings.h"

#include <harness/DeploymentShape.h>
#include <wagtailrack/version/TomlReader.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace wagtailrack::testbed {

namespace {

constexpr int64_t maxRate = 1'000'000;
constexpr int64_t maxDurationMs = 86'400'000;
constexpr int64_t lookupsForEachOrder = 8;

Result<LoadPhase> readPhase(const toml::value& record, const std::string& file)
{
    static const std::map<std::string, ArrivalShape> shapes = { { "constant", ArrivalShape::Constant },
        { "step", ArrivalShape::Step }, { "ramp", ArrivalShape::Ramp }, { "surge", ArrivalShape::Surge } };
    version::TomlReader reader(record, file, "phase");
    LoadPhase phase;
    const auto shape = shapes.find(reader.optionalString("shape", "constant"));
    if (shape == shapes.end())
        reader.fail(ErrorCode::OutOfRange, "shape", "expected constant, step, ramp or surge");
    else
        phase.shape = shape->second;
    phase.from = static_cast<double>(reader.requiredInteger("from", 1, maxRate));
    phase.to = static_cast<double>(reader.optionalInteger("to", 1, maxRate, static_cast<int64_t>(phase.from)));
    phase.durationMs = reader.requiredInteger("duration_ms", 1, maxDurationMs);
    if (auto status = reader.finish(); !status)
        return status.error();
    return phase;
}

Result<LoadService> readService(const toml::value& record, const std::string& file)
{
    version::TomlReader reader(record, file, "service");
    LoadService service;
    service.name = reader.requiredString("name");
    service.method = reader.optionalString("method", service.method);
    service.pathPrefix = reader.requiredString("path_prefix");
    service.isOrder = reader.optionalBool("order", service.isOrder);
    service.deadlineMs = reader.optionalInteger("deadline_ms", 1, maxDurationMs, service.deadlineMs);
    service.weight = reader.optionalInteger("weight", 1, maxRate, service.weight);
    if (auto status = reader.finish(); !status)
        return status.error();
    return service;
}

}

double LoadPhase::rateAt(double fraction) const noexcept
{
    switch (this->shape) {
    case ArrivalShape::Constant:
        return this->from;
    case ArrivalShape::Step:
        return fraction < 0.5 ? this->from : this->to;
    case ArrivalShape::Ramp:
        return this->from + (this->to - this->from) * fraction;
    case ArrivalShape::Surge:
        return fraction >= 1.0 / 3 && fraction < 2.0 / 3 ? this->to : this->from;
    }
    return 0;
}

double LoadPhase::highestRate() const noexcept
{
    return this->shape == ArrivalShape::Constant ? this->from : std::max(this->from, this->to);
}

std::vector<int64_t> LoadSettings::arrivals() const
{
    constexpr double microsecondsPerSecond = 1e6;
    std::mt19937_64 generator(this->seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<int64_t> times;
    double phaseStart = 0;
    for (const LoadPhase& phase : this->phases) {
        const double length = static_cast<double>(phase.durationMs) * 1000;
        const double highest = phase.highestRate();
        // Thinning: candidates come at the highest rate and are kept with the probability of the current one.
        double time = 0;
        while (highest > 0) {
            time += -std::log(1 - uniform(generator)) / highest * microsecondsPerSecond;
            if (time >= length)
                break;
            if (uniform(generator) * highest < phase.rateAt(time / length))
                times.push_back(static_cast<int64_t>(phaseStart + time));
        }
        phaseStart += length;
    }
    return times;
}

LoadSettings LoadSettings::of(const DeploymentShape& shape)
{
    LoadSettings settings;
    settings.domains = static_cast<int64_t>(shape.failureDomains().size());
    for (const ServiceShape& service : shape.services)
        settings.services.push_back({ service.name, service.method, service.pathPrefix, service.isOrder(),
            service.deadlineMs, service.isOrder() ? 1 : lookupsForEachOrder });
    return settings;
}

Result<LoadSettings> parseLoadSettings(std::string_view text, const std::string& file)
{
    auto document = version::parseToml(text, file);
    if (!document)
        return document.error();
    version::TomlReader reader(document.value(), file, "");
    LoadSettings settings;
    settings.seed = static_cast<uint64_t>(reader.optionalInteger("seed", 0, INT64_MAX, 1));
    settings.callersPerDomain = reader.optionalInteger("callers_per_domain", 1, 1024, settings.callersPerDomain);
    settings.domains = reader.optionalInteger("domains", 1, 64, settings.domains);
    settings.bootstrap = reader.optionalStrings("bootstrap", {});
    for (const toml::value& record : reader.optionalTables("phase")) {
        auto phase = readPhase(record, file);
        if (!phase)
            return phase.error();
        settings.phases.push_back(std::move(phase).value());
    }
    for (const toml::value& record : reader.optionalTables("service")) {
        auto service = readService(record, file);
        if (!service)
            return service.error();
        settings.services.push_back(std::move(service).value());
    }
    if (auto status = reader.finish(); !status)
        return status.error();
    if (settings.bootstrap.empty() || settings.phases.empty() || settings.services.empty())
        return makeError(ErrorCode::MissingKey, file, "bootstrap, [[phase]] and [[service]] are required");
    return settings;
}

}
