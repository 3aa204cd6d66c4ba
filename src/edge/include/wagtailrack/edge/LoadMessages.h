#pragma once

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

// What instances tell each other of the backend servers, as MessagePack in datagrams.
namespace wagtailrack::edge {

// A server, by the lower half of the hash of its id.
using ServerKey = uint32_t;
// An object of a route, by the lower half of its hash.
using ObjectKey = uint32_t;

// What an instance has on a server, and how its attempts there ended since its last report.
struct ServerActivity {
    ServerKey server = 0;
    uint32_t inFlight = 0;
    uint32_t answeredAttempts = 0;
    uint32_t failedAttempts = 0;
    uint32_t unreachableAttempts = 0;
    // Sum over the answered ones of their duration in relation to the expected one, in hundredths.
    uint32_t latencyRatioSumPercent = 0;

    friend bool operator==(const ServerActivity&, const ServerActivity&) = default;
    MSGPACK_DEFINE(server, inFlight, answeredAttempts, failedAttempts, unreachableAttempts, latencyRatioSumPercent)
};

// A server that has handled an object and is therefore fast on it.
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

// From an instance to the hub of its failure domain.
struct InstanceLoadReport {
    static constexpr char kind = 'R';
    std::vector<ServerActivity> servers;
    std::vector<CachedObject> cachedObjects;
    // Requests sent to servers of the own region and of others since the last report.
    uint32_t inRegionRequests = 0;
    uint32_t crossRegionRequests = 0;

    friend bool operator==(const InstanceLoadReport&, const InstanceLoadReport&) = default;
    MSGPACK_DEFINE(servers, cachedObjects, inRegionRequests, crossRegionRequests)
};

struct ServerInFlightCount {
    ServerKey server = 0;
    uint32_t inFlight = 0;

    friend bool operator==(const ServerInFlightCount&, const ServerInFlightCount&) = default;
    MSGPACK_DEFINE(server, inFlight)
};

// From a hub to the hubs of other failure domains: the requests of its domain's instances. Servers from `first` to
// `last` that are not named have none.
struct DomainLoadSummary {
    static constexpr char kind = 'D';
    ServerKey firstServer = 0;
    ServerKey lastServer = 0;
    std::vector<ServerInFlightCount> servers;
    std::vector<CachedObject> cachedObjects;
    // Requests sent to servers of the own region and of others since the last digest.
    uint32_t inRegionRequests = 0;
    uint32_t crossRegionRequests = 0;

    friend bool operator==(const DomainLoadSummary&, const DomainLoadSummary&) = default;
    MSGPACK_DEFINE(firstServer, lastServer, servers, cachedObjects, inRegionRequests, crossRegionRequests)
};

// A server as a hub sees it.
struct ServerStatus {
    ServerKey server = 0;
    // Requests of all instances on it.
    uint32_t totalInFlight = 0;
    // Part of the recent attempts of the failure domain's instances that failed.
    uint32_t failureRatePercent = 0;
    // Duration in relation to the expected one, 100 for a normal server; 0 when nothing was measured.
    uint32_t latencyRatioPercent = 0;
    bool isUnreachable = false;

    friend bool operator==(const ServerStatus&, const ServerStatus&) = default;
    MSGPACK_DEFINE(server, totalInFlight, failureRatePercent, latencyRatioPercent, isUnreachable)
};

// From a hub to the instances of its failure domain. Servers from `first` to `last` that are not named have no
// requests, and nothing new is known of them.
struct ServerStatusTable {
    static constexpr char kind = 'T';
    ServerKey firstServer = 0;
    ServerKey lastServer = 0;
    std::vector<ServerStatus> servers;
    std::vector<CachedObject> cachedObjects;
    // Part of the region's requests that left it, over the last second and over some seconds.
    uint32_t recentCrossRegionPermille = 0;
    uint32_t baselineCrossRegionPermille = 0;
    // The region has only begun to send.
    bool isRegionStarting = false;

    friend bool operator==(const ServerStatusTable&, const ServerStatusTable&) = default;
    MSGPACK_DEFINE(firstServer, lastServer, servers, cachedObjects, recentCrossRegionPermille,
        baselineCrossRegionPermille, isRegionStarting)
};

// Begins every datagram of this kind.
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

// Nothing when the datagram is not a whole message of this type.
template <typename Message> std::optional<Message> decodeLoadMessage(std::string_view bytes)
{
    if (!bytes.starts_with(loadMagic) || bytes.size() <= loadMagic.size() || bytes[loadMagic.size()] != Message::kind)
        return std::nullopt;
    bytes.remove_prefix(loadMagic.size() + 1);
    // The library reports malformed bytes by exceptions; the limits keep a forged length from reserving memory.
    constexpr size_t most = 4096;
    try {
        const msgpack::unpack_limit limits(most, most, most, most, most, 8);
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
