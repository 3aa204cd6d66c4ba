#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/HttpConnectionPool.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/MetadataStore.h>
#include <wagtailrack/edge/ServerRecordTable.h>
#include <wagtailrack/edge/StoreRecovery.h>

#include <wagtailrack/process/Metrics.h>

#include <json/value.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Header that numbers the calls of an instance to its peers. A peer repeats it in the response, so that a late copy of
// an earlier response is not taken for the next one.
inline constexpr const char* peerCallHeader = "Wagtailrack-Peer-Call";
// Headers of the response to `/operator-items`: the revision of the store up to which the items are current, its era,
// and the time since they were known to be, in milliseconds. Earlier releases send no era. The body depends on neither
// and is encoded once for many peers.
inline constexpr const char* operatorItemsRevisionHeader = "Wagtailrack-Operator-Items-Revision";
inline constexpr const char* operatorItemsEraHeader = "Wagtailrack-Operator-Items-Era";
inline constexpr const char* operatorItemsAgeHeader = "Wagtailrack-Operator-Items-Age-Ms";

// This instance's copy of the cluster state: the configuration, the evacuations and the records of the backend servers.
//
// One instance per region reads the store, and the other instances of the region poll that instance. An instance whose
// copy becomes stale reads the store itself, and an instance that cannot reach the store polls any other instance, so
// that a network partition between some instances and the store cuts no instance off from updates. A copy is never
// replaced by one of a lower store revision, nor a configuration by one of a lower version. Lives for the process; used
// only on the event loop's thread.
//
// When the store returns from an older copy, its era rises and the copies here begin anew. What the older copy lacks
// stays in force until it is written again: the configuration until a newer version comes, evacuations and departures
// of servers for the time of StoreRecovery.
class ClusterStateCache {
public:
    ClusterStateCache(asio::io_context& context, const Clock& clock, const EdgeSettings& settings, MetadataStore& store,
        const ClusterCodec& codec, BackendFleet& fleet, InstanceMembership& instances, HttpConnectionPool& peers,
        process::Metrics& metrics, EventLog& log);

    void start();
    // Revokes the lease of this instance's record, which removes the record from the store.
    asio::awaitable<void> unregister();

    // Null until a first configuration has been accepted, and for a short time after the start, in which peers may tell
    // of a newer version than the store has.
    RoutingTablePointer routingTable() const
    {
        return this->isStartConfirmed || !this->isAwaitingPeerState() ? this->activeRoutingTable : nullptr;
    }
    // Time since the server records were read from the store, by this instance or by the peer that passed them on.
    int64_t serverRecordsAgeMs() const;
    int64_t configurationAgeMs() const { return this->operatorItemsAgeMs(); }
    // Revision of the store up to which the operator items are current; StoreRevision::none() if none is known.
    StoreRevision configurationRevision() const noexcept { return this->operatorItemsRevision; }
    // Whether a newer version than routingTable() may be in force: a peer has one, or neither the store nor a peer has
    // confirmed the copy for some time. A route that is missing from the table may exist then.
    bool isConfigurationOutdated() const;
    // Returns true for a short time after a pause of the process in which the copy has become stale: servers may have
    // left and failure domains may have been evacuated meanwhile, so that requests should wait for the next update.
    bool isRefreshingAfterPause() const;
    // Whether this instance reads the store for the other instances of its region.
    bool isRegionStoreReader() const;
    bool isReady() const { return this->routingTable() != nullptr && this->hasServerRecords; }
    // The era of the newest copy.
    int64_t storeEra() const
    {
        return std::max(this->operatorItemsRevision.era(), this->serverRecords.revision().era());
    }
    bool isStoreRecovering() const { return this->recovery.isActive(); }

    // What a peer knows already: sent with its requests.
    struct PeerCopy {
        uint64_t operatorItemsHash = 0;
        // StoreRevision::none() if the peer did not tell it.
        StoreRevision operatorItemsRevision = StoreRevision::none();
        ServerRecordVersion serverRecords;
        // The version that the peer acts on; missing if it does not tell it, as instances of earlier releases.
        std::optional<uint64_t> configurationVersion;
        // The newest era whose recovery the peer knows.
        int64_t recoveryEra = 0;
        // Address of the peer; empty if it does not tell it.
        std::string address;
    };
    // Fetches the operator items of a peer that acts on a newer configuration than this instance.
    void notePeerCopy(const PeerCopy& copy);
    // The state as JSON, for a peer. Leaves out the operator items if the peer's copy has the same hash or if the
    // changed items are large, and the server records that have not changed since the peer's copy.
    std::string encodeStateForPeer(const PeerCopy& copy) const;
    // The operator items that have changed since a revision as JSON, compressed. Empty if none is known.
    std::string encodeOperatorItemsForPeer(const PeerCopy& copy);

private:
    asio::awaitable<void> syncOperatorItems();
    asio::awaitable<void> watchOperatorItems();
    void endWatch();
    asio::awaitable<void> syncServerRecords();
    asio::awaitable<void> syncWithPeers();
    asio::awaitable<void> maintainRegistration();
    asio::awaitable<void> listInstances();
    // Reads the changes since the own copy, or lists all items if that is not possible.
    asio::awaitable<bool> readOperatorItems();
    asio::awaitable<bool> readOperatorItemChanges();
    void applyOperatorItemChanges(StoreChanges changes, SteadyTime readAt, const char* source);
    void recordFailedWatch(const Error& error);
    asio::awaitable<bool> readServerRecords();
    asio::awaitable<bool> fetchStateFromPeer(std::string address);
    // Revision of the store and time of the read up to which a peer's copy is current.
    struct Currency {
        StoreRevision revision;
        SteadyTime readAt;
    };
    void startOperatorItemsFetch(const std::string& address);
    asio::awaitable<void> fetchOperatorItemsFromPeer(std::string address);
    // The response; its body is empty unless the peer answered with status 200 within `maximumTime`.
    asio::awaitable<HttpResponse> callPeer(std::string address, std::string target, Milliseconds maximumTime);
    bool applyOperatorItemsFromPeer(const Json::Value& section, Currency currency, const std::string& address);
    // Whether the peer's copy may lack the item in its present form.
    bool isChangedFor(const PeerCopy& copy, const StoreItem& item) const;
    Json::Value changedOperatorItems(const PeerCopy& copy) const;
    Json::Value encodeRecovery() const;
    void joinRecovery(const Json::Value& section, const std::string& address);
    void describeOperatorItems(Json::Value& section, const Json::Value& changedItems) const;
    asio::awaitable<void> sleep(int64_t milliseconds);

    void applyOperatorItems(
        std::map<std::string, StoreItem> items, StoreRevision revision, SteadyTime readAt, const char* source);
    // Called when a copy is replaced by one of a higher era.
    void enterEra(StoreRevision previous, StoreRevision revision, const char* source);
    // Replaces configurations of an older copy of the store in `items` by the newer ones of an earlier era.
    void applyConfigurations(std::map<std::string, StoreItem>& items, StoreRevision revision, const char* source);
    // Activates the configuration of an item if its version is newer. Returns whether the version is older than the
    // active one, or the item is invalid.
    bool activateConfiguration(const StoreItem& item, const char* source);
    // Takes a newer configuration over from the items of a peer whose copy is not newer than this one.
    void adoptConfiguration(const std::map<std::string, StoreItem>& items);
    void retainEvacuations(const std::map<std::string, StoreItem>& items);
    void applyEvacuations(const char* source);
    void endRecovery();
    uint64_t activeVersion() const { return this->activeRoutingTable ? this->activeRoutingTable->version() : 0; }
    // Whether a version that a peer acts on is newer than the active one and not known to be invalid here. Always false
    // with a store that tells no era: versions then reach all instances through the store's revisions.
    bool isNewerConfiguration(uint64_t version) const;
    bool isAwaitingPeerState() const;
    void recordFailedListing(const char* call, const Error& error);
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
    StoreRevision operatorItemsRevision = StoreRevision::none();
    SteadyTime operatorItemsReadAt;
    // A watch is pending at the store, which would report a change: the operator items are up to date.
    bool isWatching = false;
    // When the store began to answer a watch: until the copy is confirmed later than this, it may lack a change.
    SteadyTime watchAnsweredAt;
    StoreRevision refusedConfigurationRevision = StoreRevision::none();
    // A configuration of the store that is older than the active one, which is kept in its place.
    StoreRevision ignoredConfigurationRevision = StoreRevision::none();
    // The failure domains that get no requests, including those that the recovery retains.
    std::set<std::string> evacuatedDomains;
    StoreRecovery recovery;
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
    StoreRevision reportedOperatorItemsRevision = StoreRevision::none();
    // Highest version of the configuration that a peer acts on, and the highest one that was refused here.
    uint64_t reportedConfigurationVersion = 0;
    uint64_t refusedPeerVersion = 0;
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
    StoreLease lease;
    // Whether a peer has told its state, or there is none.
    bool hasPeerState = false;
    // Set for good when routingTable() need not wait for peers any more.
    bool isStartConfirmed = false;
    SteadyTime nextCrossCheckAt;
};

}
