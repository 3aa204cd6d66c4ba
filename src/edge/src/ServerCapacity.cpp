#include <wagtailrack/edge/ServerCapacity.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Samples lose their weight with this time constant, so that a server that got nothing is soon tried again. 4000 ms
// left speeds that swapped at 0.94 of the oracle's responses in time; the target is 0.95.
constexpr double sampleDecayMs = 2500;
// Largest weight of a band in one domain's statistics. Small enough that the samples of 2 s outweigh older ones.
constexpr double maximumBandWeight = 4;
// Weight of the assumption that a server is like the others, in samples. Small beside maximumBandWeight, so that a
// server that is five times as slow is known as such.
constexpr double priorWeight = 0.5;
// Weight from which a band's mean is compared with others: fewer samples can differ by a slow request (3% take up to 7
// times as long).
constexpr double minimumBandWeight = 3;
// Durations beyond the knee relative to those below it, from which a knee is found and below which it is given up. 1.8
// found knees in servers that have none; 2.4 found real ones no more reliably.
constexpr double foundSlowdown = 2.1;
constexpr double givenUpSlowdown = 1.4;
constexpr double maximumSlowdown = 10;
// A knee without samples beyond it is raised by a band after this time.
constexpr Milliseconds kneeRetryInterval(10000);
// Bounds of a single sample.
constexpr double minimumRatio = 0.2;
constexpr double maximumRatio = 20;
// Largest deviation of a sample from the mean of its band, as a factor, so that one very slow response does not
// dominate the mean: an object that was evicted from the cache takes 3.4 times as long as expected.
constexpr double maximumDeviation = 3;
// Statistics without samples for this long are removed; their weight has decayed to below 1%.
constexpr Milliseconds statisticsValidity(20000);
// Weights of the reasons to tell other hubs about a server: a changed ratio, a knee, and seconds since the last time.
constexpr double changePriority = 5;
constexpr double kneePriority = 1;
constexpr double agePriorityPerSecond = 0.2;

double meanLogRatioOf(const LoadBandSamples& samples)
{
    return std::clamp(10.0 * samples.logRatioSumPercent / 100.0 / samples.weightTenths, std::log(minimumRatio),
        std::log(maximumRatio));
}

double ageSeconds(SteadyTime from, SteadyTime to) { return std::chrono::duration<double>(to - from).count(); }

}

double medianLogRatio(std::vector<double>& logRatios)
{
    if (logRatios.empty())
        return 0;
    const auto middle = logRatios.begin() + static_cast<std::ptrdiff_t>(logRatios.size() / 2);
    std::nth_element(logRatios.begin(), middle, logRatios.end());
    return *middle;
}

double measuredLoadRatio(double sentLoadRatio, const ReportedLoad& reported) noexcept
{
    const auto slots = static_cast<double>(std::max<int64_t>(reported.slots, 1));
    if (reported.waiting > 0)
        return 1 + static_cast<double>(reported.waiting) / slots;
    return (sentLoadRatio + static_cast<double>(reported.running + 1) / slots) / 2;
}

uint8_t loadBandOf(double loadRatio) noexcept
{
    if (loadRatio > 1)
        return loadBandCount;
    const double band = std::ceil(std::max(loadRatio, 0.0) * loadBandCount) - 1;
    return static_cast<uint8_t>(std::max(band, 0.0));
}

LoadBandSamples loadBandSamplesOf(const DurationSample& sample)
{
    const double expectedMs = std::max(sample.expectedMs * sample.machineFactor, 1.0);
    const double ratio = std::clamp(sample.durationMs / expectedMs, minimumRatio, maximumRatio);
    return { loadBandOf(sample.loadRatio), 10, static_cast<int32_t>(std::lround(100 * std::log(ratio))) };
}

ServerCapacityTracker::ServerCapacityTracker(const Clock& clock)
    : clock(clock)
{
}

void ServerCapacityTracker::decay(Statistics& statistics, SteadyTime now)
{
    const double factor = std::exp(-1000 * ageSeconds(statistics.updatedAt, now) / sampleDecayMs);
    for (Band& band : statistics.bands)
        band.weight *= factor;
    statistics.updatedAt = now;
}

void ServerCapacityTracker::addSamples(Statistics& statistics, const LoadBandSamples& samples)
{
    if (samples.band >= loadBandCount || samples.weightTenths == 0)
        return;
    Band& band = statistics.bands[samples.band];
    const double weight = samples.weightTenths / 10.0;
    const double maximum = std::log(maximumDeviation);
    const double mean = std::clamp(meanLogRatioOf(samples), band.meanLogRatio - maximum, band.meanLogRatio + maximum);
    band.meanLogRatio += (mean - band.meanLogRatio) * weight / (band.weight + weight);
    band.weight = std::min(band.weight + weight, maximumBandWeight);
}

void ServerCapacityTracker::add(ServerKey server, const std::vector<LoadBandSamples>& samples)
{
    if (samples.empty())
        return;
    Statistics& statistics = this->servers[server].own;
    decay(statistics, this->clock.now());
    for (const LoadBandSamples& band : samples)
        addSamples(statistics, band);
}

void ServerCapacityTracker::applySummary(uint32_t sender, const ServerCapacitySummary& summary)
{
    Statistics& statistics = this->servers[summary.server].remote[sender];
    statistics = {};
    statistics.updatedAt = this->clock.now();
    for (const LoadBandSamples& band : summary.bands) {
        if (band.band < loadBandCount && band.weightTenths > 0)
            statistics.bands[band.band]
                = { std::min(band.weightTenths / 10.0, maximumBandWeight), meanLogRatioOf(band) };
    }
}

ServerCapacityTracker::Statistics ServerCapacityTracker::mergedStatistics(const ServerState& state) const
{
    const SteadyTime now = this->clock.now();
    Statistics merged = state.own;
    decay(merged, now);
    for (const auto& [sender, remote] : state.remote) {
        Statistics current = remote;
        decay(current, now);
        for (size_t index = 0; index < loadBandCount; ++index) {
            Band& band = merged.bands[index];
            const Band& other = current.bands[index];
            if (other.weight <= 0)
                continue;
            band.meanLogRatio += (other.meanLogRatio - band.meanLogRatio) * other.weight / (band.weight + other.weight);
            band.weight += other.weight;
        }
    }
    return merged;
}

ServerCapacityTracker::Band ServerCapacityTracker::sumOf(const Statistics& merged, size_t from, size_t to)
{
    Band sum;
    for (size_t index = from; index < to; ++index) {
        sum.weight += merged.bands[index].weight;
        sum.meanLogRatio += merged.bands[index].weight * merged.bands[index].meanLogRatio;
    }
    sum.meanLogRatio = sum.weight > 0 ? sum.meanLogRatio / sum.weight : 0;
    return sum;
}

bool ServerCapacityTracker::updateKnee(ServerState& state, const Statistics& merged)
{
    const SteadyTime now = this->clock.now();
    const size_t before = state.kneeBand;
    const auto slowdownAt = [&merged](size_t band) {
        return std::exp(merged.bands[band].meanLogRatio - sumOf(merged, 0, band).meanLogRatio);
    };
    const auto isMeasuredAt = [&merged](size_t band) {
        return sumOf(merged, 0, band).weight >= minimumBandWeight && merged.bands[band].weight >= minimumBandWeight;
    };
    if (state.kneeBand < loadBandCount && isMeasuredAt(state.kneeBand)) {
        if (slowdownAt(state.kneeBand) < givenUpSlowdown)
            state.kneeBand = loadBandCount;
        else
            state.kneeConfirmedAt = now;
    }
    for (size_t band = 1; band < state.kneeBand; ++band) {
        if (!isMeasuredAt(band) || slowdownAt(band) < foundSlowdown)
            continue;
        state.kneeBand = band;
        state.kneeConfirmedAt = now;
        break;
    }
    if (state.kneeBand < loadBandCount && now - state.kneeConfirmedAt >= kneeRetryInterval) {
        ++state.kneeBand;
        state.kneeConfirmedAt = now;
    }
    if (state.kneeBand == loadBandCount)
        state.slowdown = 1;
    else if (isMeasuredAt(state.kneeBand))
        state.slowdown = std::clamp(slowdownAt(state.kneeBand), 1.0, maximumSlowdown);
    return state.kneeBand != before;
}

ServerCapacityTracker::RelativeCapacity ServerCapacityTracker::estimate(ServerKey server)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end())
        return {};
    ServerState& state = found->second;
    const Statistics merged = this->mergedStatistics(state);
    const bool hasKneeChanged = this->updateKnee(state, merged);
    const Band belowKnee = sumOf(merged, 0, state.kneeBand);
    const double confidence = belowKnee.weight / (belowKnee.weight + priorWeight);
    const RelativeCapacity capacity { belowKnee.meanLogRatio * confidence,
        static_cast<double>(state.kneeBand) / loadBandCount, state.slowdown, confidence };
    if (hasKneeChanged && this->kneeHook)
        this->kneeHook(server, capacity);
    return capacity;
}

void ServerCapacityTracker::forEach(const std::function<void(ServerKey, const RelativeCapacity&)>& visit)
{
    for (const auto& [server, state] : this->servers)
        visit(server, this->estimate(server));
}

std::vector<ServerCapacitySummary> ServerCapacityTracker::collectSummaries(size_t maximumServers)
{
    const SteadyTime now = this->clock.now();
    std::vector<std::pair<double, ServerKey>> ranked;
    for (auto& [server, state] : this->servers) {
        decay(state.own, now);
        const Band all = sumOf(state.own, 0, loadBandCount);
        if (all.weight < 0.1)
            continue;
        ranked.emplace_back(changePriority * std::abs(all.meanLogRatio - state.publishedLogRatio)
                + (state.kneeBand < loadBandCount ? kneePriority : 0)
                + agePriorityPerSecond * ageSeconds(state.publishedAt, now),
            server);
    }
    const size_t count = std::min(maximumServers, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<ServerCapacitySummary> summaries;
    for (size_t index = 0; index < count; ++index) {
        ServerState& state = this->servers.at(ranked[index].second);
        ServerCapacitySummary summary { ranked[index].second, {} };
        for (uint8_t band = 0; band < loadBandCount; ++band) {
            const auto weightTenths = static_cast<uint32_t>(std::lround(10 * state.own.bands[band].weight));
            if (weightTenths > 0)
                summary.bands.push_back({ band, weightTenths,
                    static_cast<int32_t>(std::lround(10.0 * weightTenths * state.own.bands[band].meanLogRatio)) });
        }
        state.publishedAt = now;
        state.publishedLogRatio = sumOf(state.own, 0, loadBandCount).meanLogRatio;
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

void ServerCapacityTracker::removeExpired()
{
    const SteadyTime now = this->clock.now();
    for (auto entry = this->servers.begin(); entry != this->servers.end();) {
        ServerState& state = entry->second;
        std::erase_if(
            state.remote, [now](const auto& remote) { return now - remote.second.updatedAt > statisticsValidity; });
        const bool isUnused
            = state.remote.empty() && state.kneeBand == loadBandCount && now - state.own.updatedAt > statisticsValidity;
        entry = isUnused ? this->servers.erase(entry) : std::next(entry);
    }
}

}
