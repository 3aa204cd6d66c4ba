#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/HttpConnectionPool.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/MetadataStore.h>

#include <wagtailrack/process/Metrics.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Keeps this instance's copy of the configuration, the evacuations and the servers' records up to date.
//
// One instance of each region reads the store; the others ask it. An instance whose copy grows old reads the store
// itself, and one that cannot reach the store asks any other, so that a cut between some instances and the store stops
// nobody. A copy is never replaced by an older one, and a version never by a lower one. Lives for the process; used by
// the event loop's thread only.
class ClusterStateCache {
public:
    ClusterStateCache(asio::io_context& context, const Clock& clock, const EdgeSettings& settings, MetadataStore& store,
        const ClusterCodec& codec, BackendFleet& fleet, InstanceMembership& instances, HttpConnectionPool& peers,
        process::Metrics& metrics, EventLog& log);

    void start();
    // Ends this instance's record in the store.
    asio::awaitable<void> unregister();

    // Null until a first version is known.
    RoutingTablePointer routingTable() const noexcept { return this->activeRoutingTable; }
    // Milliseconds since the servers' records were read from the store, by whomever.
    int64_t serverRecordsAgeMs() const;
    bool isReady() const noexcept { return this->activeRoutingTable != nullptr && this->hasServerRecords; }

    // What peers are told, as JSON; parts that the peer already has are left out.
    std::string encodeStateForPeer(uint64_t knownOperatorHash, int64_t knownServersRevision) const;

private:
    asio::awaitable<void> syncOperatorItems();
    asio::awaitable<void> watchOperatorItems();
    asio::awaitable<void> syncServerRecords();
    asio::awaitable<void> syncWithPeers();
    asio::awaitable<void> maintainRegistration();
    asio::awaitable<bool> readOperatorItems();
    asio::awaitable<bool> readServerRecords();
    asio::awaitable<bool> fetchStateFromPeer(std::string address);
    asio::awaitable<void> sleep(int64_t milliseconds);

    void applyOperatorItems(
        std::map<std::string, StoreItem> items, int64_t revision, SteadyTime readAt, const char* source);
    // The changes of a reading against the copy; `items` are all records, or those that changed with `removed`.
    struct ServerRecordUpdate {
        std::vector<StoreItem> items;
        std::vector<std::string> removed;
        bool isFullListing = true;
        int64_t revision = 0;
        SteadyTime readAt;
    };
    void applyServerRecords(ServerRecordUpdate changes, const char* source);
    bool updateServerRecord(StoreItem item, int64_t revision);
    void recordStoreCall(bool isReachable, const char* call, const std::string& detail);
    void countStoreCall(const char* call, bool isDone);
    int64_t operatorItemsAgeMs() const;
    int64_t maximumStateAgeMs() const;
    // At the first start of the system, until the others are known: they would all read what one can read for them.
    bool isWaitingForPeers() const;
    std::string regionStoreReader() const;
    std::string nextPeer();
    bool isRegionStoreReader() const;

    asio::io_context& context;
    const Clock& clock;
    const EdgeSettings& settings;
    MetadataStore& store;
    const ClusterCodec& codec;
    BackendFleet& fleet;
    InstanceMembership& membership;
    HttpConnectionPool& peerConnections;
    process::Metrics& metrics;
    EventLog& log;

    RoutingTablePointer activeRoutingTable;
    std::map<std::string, StoreItem> operatorItems;
    uint64_t operatorItemsHash = 0;
    int64_t operatorItemsRevision = -1;
    SteadyTime operatorItemsReadAt;
    // A watch is waiting at the store: the copy is as good as new.
    bool isWatching = false;
    int64_t refusedConfigurationRevision = -1;

    // A record, and the reading in which something other than its sequence changed.
    struct ServerRecordEntry {
        StoreItem item;
        ServerRecord record;
        uint64_t contentHash = 0;
        int64_t changedRevision = 0;
    };
    std::map<std::string, ServerRecordEntry> serverRecords;
    // Records that went, with the reading in which they were missing first.
    std::map<std::string, int64_t> removedServerRevisions;
    // Peers whose copy is older than this get all records.
    int64_t changeHistoryStartRevision = 0;
    int64_t serverRecordsRevision = -1;
    SteadyTime serverRecordsReadAt;
    bool hasServerRecords = false;
    // Records that are missing are kept until then; set when the store comes back.
    SteadyTime missingGraceUntil;
    std::map<std::string, int64_t> refusedServerRevisions;

    SteadyTime startedAt;
    bool isStoreReachable = true;
    SteadyTime lastStoreResponseAt;
    size_t peerRoundRobinCounter = 0;
    int64_t leaseId = 0;
};

}
