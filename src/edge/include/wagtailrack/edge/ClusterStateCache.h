#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/HttpConnectionPool.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/MetadataStore.h>
#include <wagtailrack/edge/ServerRecordTable.h>

#include <wagtailrack/process/Metrics.h>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Header that numbers the calls of an instance to its peers. A peer repeats it in the response, so that a late copy of
// an earlier response is not taken for the next one.
inline constexpr const char* peerCallHeader = "Wagtailrack-Peer-Call";
// Headers of the response to `/operator-items`: the revision of the store up to which the items are current, and the
// time since they were known to be, in milliseconds. The body depends on neither and is encoded once for many peers.
inline constexpr const char* operatorItemsRevisionHeader = "Wagtailrack-Operator-Items-Revision";
inline constexpr const char* operatorItemsAgeHeader = "Wagtailrack-Operator-Items-Age-Ms";

// This instance's copy of the cluster state: the configuration, the evacuations and the records of the backend servers.
//
// One instance per region reads the store, and the other instances of the region poll that instance. An instance whose
// copy becomes stale reads the store itself, and an instance that cannot reach the store polls any other instance, so
// that a network partition between some instances and the store cuts no instance off from updates. A copy is never
// replaced by one of a lower store revision, nor a configuration by one of a lower version. Lives for the process; used
// only on the event loop's thread.
class ClusterStateCache {
public:
    ClusterStateCache(asio::io_context& context, const Clock& clock, const EdgeSettings& settings, MetadataStore& store,
        const ClusterCodec& codec, BackendFleet& fleet, InstanceMembership& instances, HttpConnectionPool& peers,
        process::Metrics& metrics, EventLog& log);

    void start();
    // Revokes the lease of this instance's record, which removes the record from the store.
    asio::awaitable<void> unregister();

    // Null until a first configuration has been accepted.
    RoutingTablePointer routingTable() const noexcept { return this->activeRoutingTable; }
    // Time since the server records were read from the store, by this instance or by the peer that passed them on.
    int64_t serverRecordsAgeMs() const;
    int64_t configurationAgeMs() const { return this->operatorItemsAgeMs(); }
    // Revision of the store up to which the operator items are current; -1 if none is known.
    int64_t configurationRevision() const noexcept { return this->operatorItemsRevision; }
    // Whether a newer version than routingTable() may be in force: a peer has one, or neither the store nor a peer has
    // confirmed the copy for some time. A route that is missing from the table may exist then.
    bool isConfigurationOutdated() const;
    // Returns true for a short time after a pause of the process in which the copy has become stale: servers may have
    // left and failure domains may have been evacuated meanwhile, so that requests should wait for the next update.
    bool isRefreshingAfterPause() const;
    // Whether this instance reads the store for the other instances of its region.
    bool isRegionStoreReader() const;
    bool isReady() const noexcept { return this->activeRoutingTable != nullptr && this->hasServerRecords; }

    // What a peer knows already: sent with its requests.
    struct PeerCopy {
        uint64_t operatorItemsHash = 0;
        // Negative if the peer did not tell it.
        int64_t operatorItemsRevision = 0;
        ServerRecordVersion serverRecords;
    };
    // The state as JSON, for a peer. Leaves out the operator items if the peer's copy has the same hash or if the
    // changed items are large, and the server records that have not changed since the peer's copy.
    std::string encodeStateForPeer(const PeerCopy& copy) const;
    // The operator items that have changed since a revision as JSON, compressed. Empty if none is known.
    std::string encodeOperatorItemsForPeer(int64_t peerOperatorItemsRevision);

private:
    asio::awaitable<void> syncOperatorItems();
    asio::awaitable<void> watchOperatorItems();
    void endWatch();
    asio::awaitable<void> syncServerRecords();
    asio::awaitable<void> syncWithPeers();
    asio::awaitable<void> maintainRegistration();
    // Reads the changes since the own copy, or lists all items if that is not possible.
    asio::awaitable<bool> readOperatorItems();
    asio::awaitable<bool> readOperatorItemChanges();
    void applyOperatorItemChanges(StoreChanges changes, SteadyTime readAt, const char* source);
    void recordFailedWatch(const Error& error);
    asio::awaitable<bool> readServerRecords();
    asio::awaitable<bool> fetchStateFromPeer(std::string address);
    // Revision of the store and time of the read up to which a peer's copy is current.
    struct Currency {
        int64_t revision = 0;
        SteadyTime readAt;
    };
    void startOperatorItemsFetch(const std::string& address);
    asio::awaitable<void> fetchOperatorItemsFromPeer(std::string address);
    // The response; its body is empty unless the peer answered with status 200 within `maximumTime`.
    asio::awaitable<HttpResponse> callPeer(std::string address, std::string target, Milliseconds maximumTime);
    bool applyOperatorItemsFromPeer(const Json::Value& section, Currency currency, const std::string& address);
    Json::Value changedOperatorItems(int64_t sinceRevision) const;
    void describeOperatorItems(Json::Value& section, const Json::Value& changedItems) const;
    asio::awaitable<void> sleep(int64_t milliseconds);

    void applyOperatorItems(
        std::map<std::string, StoreItem> items, int64_t revision, SteadyTime readAt, const char* source);
    void applyServerRecords(ServerRecordUpdate update, SteadyTime readAt, const char* source);
    void recordStoreCall(bool isReachable, const char* call, const std::string& detail);
    void countStoreCall(const char* call, bool isDone);
    int64_t operatorItemsAgeMs() const;
    int64_t maximumStateAgeMs() const;
    // Whether to put off reading the store: only at the first start of the whole system, for a limited time, and only
    // while this instance does not know that it is its region's reader. Otherwise every instance would read from the
    // store what one instance can read for all of its region.
    bool isWaitingForPeers() const;
    std::string regionStoreReader() const;
    std::string nextPeer();

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
    // A watch is pending at the store, which would report a change: the operator items are up to date.
    bool isWatching = false;
    // When the store began to answer a watch: until the copy is confirmed later than this, it may lack a change.
    SteadyTime watchAnsweredAt;
    int64_t refusedConfigurationRevision = -1;
    // The changes since the own copy could not be read from the store: the next read lists all operator items.
    bool needsOperatorListing = false;
    // The peers from which large operator items are being fetched. A further peer is asked only when a fetch is
    // overdue.
    std::set<std::string> fetchingPeers;
    // Until this time a peer is expected to bring the copy up to date, and the store is not asked.
    SteadyTime fetchExpectedUntil;
    // After a failed fetch the peer is not asked again for some time, and any other peer for a shorter one.
    struct FetchPause {
        SteadyTime endsAt;
        int failureCount = 0;
    };
    std::map<std::string, FetchPause> fetchPauses;
    SteadyTime nextFetchAt;
    // Highest revision of operator items that differ from the own copy, as peers reported them.
    int64_t reportedOperatorItemsRevision = -1;
    // Set when the changes since the own revision did not lead to the peer's items: the next fetch asks for all items.
    bool needsAllOperatorItems = false;
    // The last response to peers and a hash of the items in it: the peers of a region ask for the same change.
    std::string encodedOperatorItems;
    uint64_t encodedOperatorItemsKey = 0;

    ServerRecordTable serverRecords;
    // Set when the changes that a peer sent did not lead to its records: the next poll asks for all of them.
    bool needsAllServerRecords = false;
    SteadyTime serverRecordsReadAt;
    bool hasServerRecords = false;
    // Servers whose records are missing stay in use until this time; set when the store is readable again after an
    // outage, in which records may have expired although their servers are running.
    SteadyTime missingGraceUntil;

    SteadyTime startedAt;
    bool isStoreReachable = true;
    SteadyTime lastStoreResponseAt;
    size_t peerRoundRobinCounter = 0;
    uint64_t peerCallCounter = 0;
    int64_t leaseId = 0;
};

}
