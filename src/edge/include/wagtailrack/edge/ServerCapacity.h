#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/LoadMessages.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

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

// Whether the choice of a server follows the estimates.
enum class CapacityUse {
    // Estimates are shown to operators only; the choice follows the average ratio of actual to expected durations.
    Observe,
    Apply,
};

// Figures of a server's load report that came with a response; the request that was answered no longer counts.
struct ReportedLoad {
    int64_t running = 0;
    int64_t waiting = 0;
    int64_t slots = 0;

    friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

// What a server tells about itself in a response.
struct ReportedServerLoad {
    // Missing if the response has no load report, or a damaged one.
    std::optional<ReportedLoad> load;
    // As in DurationSample; 1 if it is missing.
    double machineFactor = 1;

    friend bool operator==(const ReportedServerLoad&, const ReportedServerLoad&) = default;
};

// Load at which a request was processed: the mean of the load when it was sent, `sentLoadRatio`, and of that with its
// response, because the load changes meanwhile. Above 1 if requests waited at the server.
double measuredLoadRatio(double sentLoadRatio, const ReportedLoad& reported) noexcept;

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

// Median of the ratios that servers have, in logarithms; 0 without servers. Reorders `logRatios`.
double medianLogRatio(std::vector<double>& logRatios);

// Number of the load band of a request: quarters of the slots. `loadBandCount` if the server had no free slot, so that
// the request waited and its duration says nothing about the server's speed.
inline constexpr uint8_t loadBandCount = 4;
uint8_t loadBandOf(double loadRatio) noexcept;

// The sample as it is sent to the hub.
LoadBandSamples loadBandSamplesOf(const DurationSample& sample);

// Estimates from samples how much each server handles well. Samples are kept by band of the server's load, with
// weights that decay; a server that gets slower with its load has a knee at the lower edge of the first slow band. A
// knee without samples beyond it is raised by one band after some time, so that a server that has recovered is found.
//
// The hub of a failure domain adds the samples of its domain and takes the statistics of other domains from the
// summaries of their hubs; an instance without a hub adds its own samples only. Lost messages cost precision, and
// statistics of a hub that stopped sending decay. Lives as long as its owner; not thread-safe.
class ServerCapacityTracker {
public:
    // What is told about one server: durations relative to the expected ones, which include what all servers of the
    // service have in common.
    struct RelativeCapacity {
        // Logarithm of actual to expected duration below the knee, drawn towards 0 while there are few samples.
        double logRatio = 0;
        double knee = 1;
        double slowdown = 1;
        double confidence = 0;

        friend bool operator==(const RelativeCapacity&, const RelativeCapacity&) = default;
    };
    // Called when a knee is found, moves or is given up (`knee` is 1).
    using KneeHook = std::function<void(ServerKey server, const RelativeCapacity& capacity)>;

    explicit ServerCapacityTracker(const Clock& clock);

    void setKneeHook(KneeHook hook) { this->kneeHook = std::move(hook); }

    void add(ServerKey server, const std::vector<LoadBandSamples>& samples);
    // Replaces what the hub of another failure domain said about the server.
    void applySummary(uint32_t sender, const ServerCapacitySummary& summary);
    // Returns the statistics of this domain's samples for at most `maximumServers` servers: those that changed most
    // or were not told for long first.
    std::vector<ServerCapacitySummary> collectSummaries(size_t maximumServers);
    // Estimates the capacity of the server. Without samples, the default value.
    RelativeCapacity estimate(ServerKey server);
    // Calls `visit` for each server with samples.
    void forEach(const std::function<void(ServerKey, const RelativeCapacity&)>& visit);
    void removeExpired();

private:
    struct Band {
        double weight = 0;
        double meanLogRatio = 0;
    };

    struct Statistics {
        std::array<Band, loadBandCount> bands;
        SteadyTime updatedAt;
    };

    struct ServerState {
        Statistics own;
        // By address of the hub that sent them.
        std::map<uint32_t, Statistics> remote;
        // Number of the first slow band; `loadBandCount` if there is none.
        size_t kneeBand = loadBandCount;
        double slowdown = 1;
        // When there were last enough samples beyond the knee.
        SteadyTime kneeConfirmedAt;
        SteadyTime publishedAt;
        double publishedLogRatio = 0;
    };

    static void addSamples(Statistics& statistics, const LoadBandSamples& samples);
    static void decay(Statistics& statistics, SteadyTime now);
    static Band sumOf(const Statistics& merged, size_t from, size_t to);
    Statistics mergedStatistics(const ServerState& state) const;
    // Returns whether the knee has changed.
    bool updateKnee(ServerState& state, const Statistics& merged);

    const Clock& clock;
    KneeHook kneeHook;
    std::map<ServerKey, ServerState> servers;
};

}
