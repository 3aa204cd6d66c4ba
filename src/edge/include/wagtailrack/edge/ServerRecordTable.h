#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/MetadataStore.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Server records from the store or from a peer. `items` are all records, or, in an incremental update, those that
// changed; `removed` are then the keys of those that were removed.
struct ServerRecordUpdate {
    std::vector<StoreItem> items;
    std::vector<std::string> removed;
    bool isFullListing = true;
    // Revision of the store up to which the update is current.
    StoreRevision revision;

    friend bool operator==(const ServerRecordUpdate&, const ServerRecordUpdate&) = default;
};

// Identifies the content of a table, to a peer that may hold another one.
struct ServerRecordVersion {
    StoreRevision revision = StoreRevision::none();
    // Missing if the peer does not tell it, as instances of earlier releases.
    std::optional<uint64_t> hash;

    friend bool operator==(const ServerRecordVersion&, const ServerRecordVersion&) = default;
};

// Copy of the backend servers' records in the store, and the changes between its recent versions.
//
// A peer is sent changes only if its copy equals a version that this table has had. A copy of the same age that was
// read from the store at another time may hold records which were added and removed between two listings of this table,
// and no history here would ever remove them. Owned by ClusterStateCache; not thread-safe.
class ServerRecordTable {
public:
    // Called when an item is not a valid record, once for each damage of an item.
    using RefusalHook = std::function<void(const StoreItem&, const Error&)>;

    ServerRecordTable(const ClusterCodec& codec, RefusalHook refusalHook);

    // Applies a listing, or an update that is relative to the current version. Returns whether a record has changed in
    // more than its sequence number and its remaining cold time, appeared or disappeared.
    bool apply(ServerRecordUpdate update);

    // What leads from a peer's copy to this table: a full listing unless the copy equals a recent version of it.
    ServerRecordUpdate updateFor(const ServerRecordVersion& copy) const;

    // StoreRevision::none() until the first update.
    StoreRevision revision() const noexcept { return this->currentRevision; }
    // Hash of the keys and of what is compared by apply().
    uint64_t hash() const noexcept { return this->currentHash; }
    ServerRecordVersion version() const { return { this->currentRevision, this->currentHash }; }
    size_t size() const noexcept { return this->entries.size(); }
    std::vector<ServerRecord> records() const;

private:
    struct Entry {
        StoreItem item;
        ServerRecord record;
        uint64_t contentHash = 0;
        // Number of the update that brought the last change.
        uint64_t changedAt = 0;
    };
    struct KnownVersion {
        StoreRevision revision;
        uint64_t hash = 0;
        uint64_t updateNumber = 0;
    };

    bool applyItem(StoreItem item);
    void recordVersion();
    // The latest known version that equals a peer's copy; null if there is none.
    const KnownVersion* findVersion(const ServerRecordVersion& copy) const;

    const ClusterCodec& codec;
    RefusalHook refusalHook;
    std::map<std::string, Entry> entries;
    // Keys of removed records, with the number of the update in which they were missing.
    std::map<std::string, uint64_t> removedAt;
    // Keys of items that are not valid records.
    std::set<std::string> refusedKeys;
    // Versions to which the changes are known, oldest first.
    std::deque<KnownVersion> knownVersions;
    uint64_t updateCount = 0;
    StoreRevision currentRevision = StoreRevision::none();
    uint64_t currentHash = 0;
};

}
