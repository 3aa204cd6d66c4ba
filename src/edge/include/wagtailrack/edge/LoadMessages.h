#pragma once

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

// Load messages that instances exchange about backend servers, encoded as MessagePack in datagrams.
namespace wagtailrack::edge {

// Identifies a server lifetime: the lower 32 bits of the hash of its id and, if known, of its start time.
using ServerKey = uint32_t;
// Identifies an object of a route: the lower 32 bits of its hash.
using ObjectKey = uint32_t;

// Durations of requests that found a server in one band of load, relative to the expected ones.
struct LoadBandSamples {
    // As loadBandOf() numbers it.
    uint8_t band = 0;
    // Number of samples in tenths, because older ones count less.
    uint32_t weightTenths = 0;
    // Sum over the samples of the logarithm of actual to expected duration, in percent.
    int32_t logRatioSumPercent = 0;

    friend bool operator==(const LoadBandSamples&, const LoadBandSamples&) = default;
    MSGPACK_DEFINE(band, weightTenths, logRatioSumPercent)
};

// What the instances of one failure domain measured of a server.
struct ServerCapacitySummary {
    ServerKey server = 0;
    std::vector<LoadBandSamples> bands;

    friend bool operator==(const ServerCapacitySummary&, const ServerCapacitySummary&) = default;
    MSGPACK_DEFINE(server, bands)
};

// Requests that an instance has in flight on a server, and the outcomes of its attempts there since its last report.
struct ServerActivity {
    ServerKey server = 0;
    uint32_t inFlight = 0;
    uint32_t answeredAttempts = 0;
    uint32_t failedAttempts = 0;
    uint32_t unreachableAttempts = 0;
    // Sum over the answered attempts of the ratio of actual to expected duration, in percent.
    uint32_t latencyRatioSumPercent = 0;
    // Durations of the answered attempts.
    std::vector<LoadBandSamples> durations {};

    friend bool operator==(const ServerActivity&, const ServerActivity&) = default;
    MSGPACK_DEFINE(
        server, inFlight, answeredAttempts, failedAttempts, unreachableAttempts, latencyRatioSumPercent, durations)
};

// A server that has handled an object and therefore answers requests for it faster.
struct CachedObject {
    ObjectKey object = 0;
    ServerKey server = 0;

    friend bool operator==(const CachedObject&, const CachedObject&) = default;
    friend bool operator<(const CachedObject& left, const CachedObject& right) noexcept
    {
        return std::tie(left.object, left.server) < std::tie(right.object, right.server);
    }
    MSGPACK_DEFINE(object, server)
};

// Sent by an instance to the hub of its failure domain.
struct InstanceLoadReport {
    static constexpr char kind = 'R';
    std::vector<ServerActivity> servers;
    std::vector<CachedObject> cachedObjects;
    // Requests sent to servers of the own region and of other regions since the last report.
    uint32_t inRegionRequests = 0;
    uint32_t crossRegionRequests = 0;
    // Requests refused for lack of room since the last report. Missing in the reports of older versions.
    uint32_t refusedRequests = 0;

    friend bool operator==(const InstanceLoadReport&, const InstanceLoadReport&) = default;
    MSGPACK_DEFINE(servers, cachedObjects, inRegionRequests, crossRegionRequests, refusedRequests)
};

struct ServerInFlightCount {
    ServerKey server = 0;
    uint32_t inFlight = 0;

    friend bool operator==(const ServerInFlightCount&, const ServerInFlightCount&) = default;
    MSGPACK_DEFINE(server, inFlight)
};

// Sent by a hub to the hubs of other failure domains: the requests that the instances of its own domain have in flight.
// Servers with keys from `firstServer` to `lastServer` that are not listed have no requests in flight.
struct DomainLoadSummary {
    static constexpr char kind = 'D';
    ServerKey firstServer = 0;
    ServerKey lastServer = 0;
    std::vector<ServerInFlightCount> servers;
    std::vector<CachedObject> cachedObjects;
    // Requests sent to servers of the own region and of other regions since the last summary.
    uint32_t inRegionRequests = 0;
    uint32_t crossRegionRequests = 0;
    // As in InstanceLoadReport.
    uint32_t refusedRequests = 0;
    // Of a bounded number of servers in each round.
    std::vector<ServerCapacitySummary> capacities {};

    friend bool operator==(const DomainLoadSummary&, const DomainLoadSummary&) = default;
    MSGPACK_DEFINE(firstServer, lastServer, servers, cachedObjects, inRegionRequests, crossRegionRequests,
        refusedRequests, capacities)
};

// Load and health of a server, as aggregated by a hub.
struct ServerStatus {
    ServerKey server = 0;
    // Requests that all instances together have in flight on the server.
    uint32_t totalInFlight = 0;
    // Percentage of the recent attempts by instances of the failure domain that failed.
    uint32_t failureRatePercent = 0;
    // Ratio of actual to expected duration in percent: 100 for a normal server, 0 if nothing was measured.
    uint32_t latencyRatioPercent = 0;
    bool isUnreachable = false;
    // As in ServerCapacityTracker::RelativeCapacity, in percent. Missing in the tables of older versions.
    uint32_t kneePercent = 100;
    uint32_t slowdownPercent = 100;
    uint32_t confidencePercent = 0;
    // Ratio of actual to expected duration in percent, below the knee: 0 if nothing was measured.
    uint32_t durationRatioPercent = 0;

    friend bool operator==(const ServerStatus&, const ServerStatus&) = default;
    MSGPACK_DEFINE(server, totalInFlight, failureRatePercent, latencyRatioPercent, isUnreachable, kneePercent,
        slowdownPercent, confidencePercent, durationRatioPercent)
};

// Requests that all instances of a region have in flight on the servers of one service in one region.
struct RegionDemand {
    // Lower 32 bits of the hash of both names.
    uint32_t serviceAndRegion = 0;
    uint32_t inFlight = 0;

    friend bool operator==(const RegionDemand&, const RegionDemand&) = default;
    MSGPACK_DEFINE(serviceAndRegion, inFlight)
};

// Sent by a hub to the instances of its failure domain. Servers with keys from `firstServer` to `lastServer` that are
// not listed have no requests in flight and no new health information.
struct ServerStatusTable {
    static constexpr char kind = 'T';
    ServerKey firstServer = 0;
    ServerKey lastServer = 0;
    std::vector<ServerStatus> servers;
    std::vector<CachedObject> cachedObjects;
    // Permille of the region's requests that went to other regions: over the last second, and over some seconds.
    uint32_t recentCrossRegionPermille = 0;
    uint32_t baselineCrossRegionPermille = 0;
    // The instances of the region have only just begun to send requests, so that the baseline is not meaningful yet.
    bool isRegionStarting = false;
    // In the first table of those sent at a time only. Missing in the tables of older versions.
    std::vector<RegionDemand> regionDemand {};
    // Permille of the region's requests that were refused over about the last seconds.
    uint32_t refusedPermille = 0;

    friend bool operator==(const ServerStatusTable&, const ServerStatusTable&) = default;
    MSGPACK_DEFINE(firstServer, lastServer, servers, cachedObjects, recentCrossRegionPermille,
        baselineCrossRegionPermille, isRegionStarting, regionDemand, refusedPermille)
};

// First bytes of every load datagram, followed by the kind character of the message.
inline constexpr std::string_view loadMagic = "WRL1";

template <typename Message> std::string encodeLoadMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    std::string bytes(loadMagic);
    bytes += Message::kind;
    bytes.append(buffer.data(), buffer.size());
    return bytes;
}

// Returns nullopt unless the datagram is exactly one complete message of this type.
template <typename Message> std::optional<Message> decodeLoadMessage(std::string_view bytes)
{
    if (!bytes.starts_with(loadMagic) || bytes.size() <= loadMagic.size() || bytes[loadMagic.size()] != Message::kind)
        return std::nullopt;
    bytes.remove_prefix(loadMagic.size() + 1);
    // msgpack reports malformed bytes by exceptions; the limits prevent a forged length from causing large allocations.
    constexpr size_t maximumElements = 4096;
    try {
        const msgpack::unpack_limit limits(
            maximumElements, maximumElements, maximumElements, maximumElements, maximumElements, 8);
        size_t offset = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
        if (offset != bytes.size())
            return std::nullopt;
        return handle.get().as<Message>();
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

}
