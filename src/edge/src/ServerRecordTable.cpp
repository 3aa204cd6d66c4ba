#include <wagtailrack/edge/ServerRecordTable.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>

namespace wagtailrack::edge {

namespace {

// Versions to which changes are sent. A listing is read each 0.9 s and a peer polls twice as often, so that a copy
// which was taken over from here is a few versions old at most.
constexpr size_t maximumKnownVersions = 64;
// Removed records that are kept to be reported to peers; bounds the memory.
constexpr size_t maximumRemovedRecords = 4000;

// Hash that detects changes of a record. Leaves out the sequence number, and of the remaining cold time all but whether
// the server is still cold: records that differ only in these count as unchanged.
uint64_t contentHash(const ServerRecord& record)
{
    std::string text = record.id + '|' + record.service + '|' + record.address.toString() + '|' + record.failureDomain
        + '|' + std::to_string(record.slots) + '|' + std::to_string(static_cast<int>(record.state)) + '|'
        + std::to_string(record.startedAtMs) + '|' + (record.coldRemainingMs > 0 ? "cold" : "warm");
    return hash64(text);
}

}

ServerRecordTable::ServerRecordTable(const ClusterCodec& codec, RefusalHook refusalHook)
    : codec(codec)
    , refusalHook(std::move(refusalHook))
{
}

bool ServerRecordTable::applyItem(StoreItem item)
{
    Result<ServerRecord> record = this->codec.decodeServer(item);
    if (!record) {
        if (this->refusedKeys.insert(item.key).second)
            this->refusalHook(item, record.error());
        // The item no longer holds a valid record of the server, so its last valid record is dropped as well.
        if (this->entries.erase(item.key) == 0)
            return false;
        this->removedAt[item.key] = this->updateCount;
        return true;
    }
    const std::string key = item.key;
    const uint64_t hash = contentHash(record.value());
    Entry& entry = this->entries[key];
    const bool isChanged = entry.contentHash != hash;
    if (isChanged)
        entry.changedAt = this->updateCount;
    entry.contentHash = hash;
    entry.item = std::move(item);
    entry.record = std::move(record.value());
    this->removedAt.erase(key);
    this->refusedKeys.erase(key);
    return isChanged;
}

bool ServerRecordTable::apply(ServerRecordUpdate update)
{
    ++this->updateCount;
    bool isChanged = false;
    std::set<std::string> presentKeys;
    for (StoreItem& item : update.items) {
        if (update.isFullListing)
            presentKeys.insert(item.key);
        isChanged = this->applyItem(std::move(item)) || isChanged;
    }
    if (update.isFullListing) {
        for (const auto& [key, entry] : this->entries) {
            if (!presentKeys.contains(key))
                update.removed.push_back(key);
        }
        std::erase_if(this->refusedKeys, [&](const std::string& key) { return !presentKeys.contains(key); });
    }
    for (const std::string& key : update.removed) {
        isChanged = this->entries.erase(key) > 0 || isChanged;
        this->removedAt[key] = this->updateCount;
    }
    if (this->removedAt.size() > maximumRemovedRecords) {
        this->removedAt.clear();
        this->knownVersions.clear();
    }
    this->currentRevision = update.revision;
    if (isChanged) {
        this->currentHash = 1;
        for (const auto& [key, entry] : this->entries)
            this->currentHash = hash64(key, this->currentHash ^ entry.contentHash);
    }
    this->recordVersion();
    return isChanged;
}

void ServerRecordTable::recordVersion()
{
    if (!this->knownVersions.empty() && this->knownVersions.back().revision == this->currentRevision
        && this->knownVersions.back().hash == this->currentHash)
        return;
    this->knownVersions.push_back({ this->currentRevision, this->currentHash, this->updateCount });
    if (this->knownVersions.size() > maximumKnownVersions)
        this->knownVersions.pop_front();
}

const ServerRecordTable::KnownVersion* ServerRecordTable::findVersion(const ServerRecordVersion& copy) const
{
    const auto isSame = [&copy](const KnownVersion& known) {
        return copy.hash ? known.hash == *copy.hash : known.revision == copy.revision;
    };
    const auto found = std::find_if(this->knownVersions.rbegin(), this->knownVersions.rend(), isSame);
    return found == this->knownVersions.rend() ? nullptr : &*found;
}

ServerRecordUpdate ServerRecordTable::updateFor(const ServerRecordVersion& copy) const
{
    ServerRecordUpdate update;
    update.revision = this->currentRevision;
    const KnownVersion* known = this->findVersion(copy);
    update.isFullListing = !known;
    for (const auto& [key, entry] : this->entries) {
        if (!known || entry.changedAt > known->updateNumber)
            update.items.push_back(entry.item);
    }
    for (const auto& [key, updateNumber] : this->removedAt) {
        if (known && updateNumber > known->updateNumber)
            update.removed.push_back(key);
    }
    return update;
}

std::vector<ServerRecord> ServerRecordTable::records() const
{
    std::vector<ServerRecord> records;
    records.reserve(this->entries.size());
    for (const auto& [key, entry] : this->entries)
        records.push_back(entry.record);
    return records;
}

}
