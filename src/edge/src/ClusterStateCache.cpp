#include <wagtailrack/edge/ClusterStateCache.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/version/parseJson.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <json/writer.h>

#include <algorithm>

namespace wagtailrack::edge {

namespace {

// Age at which the region's reader reads the servers' records again. A server that drains gets no requests from then
// on, for which the deployments allow 2.5 s at least.
constexpr int64_t storeReadIntervalMs = 900;
// Age at which the other instances ask the reader.
constexpr int64_t peerPollIntervalMs = 450;
// Age at which an instance stops relying on the reader and reads the store itself.
constexpr int64_t storeFallbackAgeMs = 1500;
// How often ages are looked at.
constexpr int64_t ageCheckIntervalMs = 100;
// Length of one wait for changes of the operator's keys. Short, so that a connection that has gone silent is noticed.
constexpr int64_t watchTimeoutMs = 3000;
// Pause after a failed call to the store.
constexpr int64_t storeRetryDelayMs = 250;
// A gap between readings after which records may have lapsed although their servers live.
constexpr int64_t outageThresholdMs = 3000;
constexpr int64_t leaseTtlMs = 30000;
constexpr int64_t leaseRenewalIntervalMs = 10000;
// The first instances find each other sooner.
constexpr int64_t initialListIntervalMs = 500;
constexpr int64_t listIntervalMs = 12000;
// At the first start of the system, the longest wait for beats of the others.
constexpr int64_t maximumFirstStartWaitMs = 1500;
constexpr int initialListCount = 6;
constexpr int64_t peerTimeoutMs = 600;
// Records that went, remembered for peers; bounds the memory.
constexpr size_t maximumRemovedServerRecords = 4000;

int64_t millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

std::string toDottedDecimal(uint32_t address) { return asio::ip::address_v4(address).to_string(); }

Json::Value toJson(const StoreItem& item)
{
    Json::Value value;
    value["key"] = item.key;
    value["value"] = item.value;
    value["revision"] = static_cast<Json::Int64>(item.modificationRevision);
    return value;
}

// Items of a peer's answer. Fails with AnswerInvalid.
Result<std::vector<StoreItem>> parseItems(const Json::Value& list, const std::string& place)
{
    std::vector<StoreItem> items;
    if (!list.isArray())
        return makeError(ErrorCode::AnswerInvalid, place, "items is not a list");
    for (const Json::Value& entry : list) {
        if (!entry.isObject() || !entry["key"].isString() || !entry["value"].isString() || !entry["revision"].isInt64())
            return makeError(ErrorCode::AnswerInvalid, place, "an item lacks key, value or revision");
        items.push_back({ entry["key"].asString(), entry["value"].asString(), entry["revision"].asInt64() });
    }
    return items;
}

// Records are alike when nothing but their sequence and remaining cold time differ.
uint64_t contentHash(const ServerRecord& record)
{
    std::string text = record.id + '|' + record.service + '|' + record.address.toString() + '|' + record.failureDomain
        + '|' + std::to_string(record.slots) + '|' + std::to_string(static_cast<int>(record.state)) + '|'
        + std::to_string(record.startedAtMs) + '|' + (record.coldRemainingMs > 0 ? "cold" : "warm");
    return hash64(text);
}

}

ClusterStateCache::ClusterStateCache(asio::io_context& context, const Clock& clock, const EdgeSettings& settings,
    MetadataStore& store, const ClusterCodec& codec, BackendFleet& fleet, InstanceMembership& instances,
    HttpConnectionPool& peers, process::Metrics& metrics, EventLog& log)
    : context(context)
    , clock(clock)
    , settings(settings)
    , store(store)
    , codec(codec)
    , fleet(fleet)
    , membership(instances)
    , peerConnections(peers)
    , metrics(metrics)
    , log(log)
{
}

void ClusterStateCache::start()
{
    this->startedAt = this->clock.now();
    asio::co_spawn(
        this->context, [this] { return this->syncOperatorItems(); }, asio::detached);
    asio::co_spawn(
        this->context, [this] { return this->syncServerRecords(); }, asio::detached);
    asio::co_spawn(
        this->context, [this] { return this->syncWithPeers(); }, asio::detached);
    asio::co_spawn(
        this->context, [this] { return this->maintainRegistration(); }, asio::detached);
}

asio::awaitable<void> ClusterStateCache::sleep(int64_t milliseconds)
{
    asio::steady_timer timer(this->context, Milliseconds(milliseconds));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

int64_t ClusterStateCache::operatorItemsAgeMs() const
{
    // While a watch waits, any answer of the store shows that it would have told of a change.
    const SteadyTime readAt
        = this->isWatching ? std::max(this->operatorItemsReadAt, this->lastStoreResponseAt) : this->operatorItemsReadAt;
    return millisecondsBetween(readAt, this->clock.now());
}

int64_t ClusterStateCache::maximumStateAgeMs() const
{
    return std::max(
        this->operatorItemsAgeMs(), this->hasServerRecords ? this->serverRecordsAgeMs() : outageThresholdMs);
}

int64_t ClusterStateCache::serverRecordsAgeMs() const
{
    return millisecondsBetween(this->serverRecordsReadAt, this->clock.now());
}

std::string ClusterStateCache::regionStoreReader() const
{
    // Instances with a fast link first: the reader sends every change to all others of its region.
    std::pair<int, uint64_t> best { -1, 0 };
    uint32_t reader = this->membership.ownHeartbeat().address;
    for (const InstanceHeartbeat& beat : this->membership.aliveInstances()) {
        if (beat.isLeaving || this->settings.regionOfDomainIndex(beat.domainIndex) != this->settings.region)
            continue;
        const std::pair<int, uint64_t> rank { beat.linkCapacity10Mbps, hash64(toDottedDecimal(beat.address)) };
        if (rank > best) {
            best = rank;
            reader = beat.address;
        }
    }
    return toDottedDecimal(reader);
}

bool ClusterStateCache::isWaitingForPeers() const
{
    if (!this->settings.isFirstStart
        || millisecondsBetween(this->startedAt, this->clock.now()) >= maximumFirstStartWaitMs)
        return false;
    // Alone it may be the reader or not have heard of the reader yet.
    return this->membership.aliveInstances().size() < 2 || !this->isRegionStoreReader();
}

bool ClusterStateCache::isRegionStoreReader() const { return this->regionStoreReader() == this->settings.address; }

std::string ClusterStateCache::nextPeer()
{
    const std::vector<InstanceHeartbeat> alive = this->membership.aliveInstances();
    if (alive.size() < 2)
        return {};
    // The first is this instance.
    return toDottedDecimal(alive[1 + this->peerRoundRobinCounter++ % (alive.size() - 1)].address);
}

void ClusterStateCache::countStoreCall(const char* call, bool isDone)
{
    this->metrics.count("wagtailrack_store_calls_total",
        "call=\"" + std::string(call) + "\",outcome=\"" + (isDone ? "done" : "failed") + "\"");
}

void ClusterStateCache::recordStoreCall(bool isReachable, const char* call, const std::string& detail)
{
    this->countStoreCall(call, isReachable);
    if (isReachable)
        this->lastStoreResponseAt = this->clock.now();
    if (isReachable == this->isStoreReachable)
        return;
    this->isStoreReachable = isReachable;
    this->log.write(LogCategory::ProcessState, isReachable ? "store-regained" : "store-lost",
        { { "call", call }, { "detail", detail },
            { "servers_age_ms", this->hasServerRecords ? this->serverRecordsAgeMs() : -1 } });
}

asio::awaitable<bool> ClusterStateCache::readOperatorItems()
{
    const SteadyTime askedAt = this->clock.now();
    const std::string prefix = this->codec.layout().operatorPrefix;
    Result<StoreListing> reading = co_await this->store.list(prefix, ReadConsistency::Linearizable);
    if (!reading) {
        this->recordStoreCall(false, "list-operator", describe(reading.error()));
        co_return false;
    }
    this->recordStoreCall(true, "list-operator", "");
    std::map<std::string, StoreItem> items;
    for (StoreItem& item : reading.value().items)
        items[item.key] = std::move(item);
    this->applyOperatorItems(std::move(items), reading.value().revision, askedAt, "store");
    co_return true;
}

asio::awaitable<void> ClusterStateCache::watchOperatorItems()
{
    const std::string prefix = this->codec.layout().operatorPrefix;
    int64_t revision = this->operatorItemsRevision;
    while (this->isRegionStoreReader()) {
        this->isWatching = true;
        Result<StoreChanges> changes = co_await this->store.watch(prefix, revision, watchTimeoutMs);
        this->isWatching = false;
        if (changes)
            this->recordStoreCall(true, "watch", "");
        if (!changes) {
            if (changes.error().code != ErrorCode::StaleVersion)
                this->recordStoreCall(false, "watch", describe(changes.error()));
            co_return;
        }
        std::map<std::string, StoreItem> items = this->operatorItems;
        for (StoreItem& item : changes.value().written)
            items[item.key] = std::move(item);
        for (const std::string& key : changes.value().removed)
            items.erase(key);
        revision = std::max(revision, changes.value().revision);
        this->applyOperatorItems(std::move(items), revision, this->clock.now(), "watch");
    }
}

asio::awaitable<void> ClusterStateCache::syncOperatorItems()
{
    while (true) {
        const int64_t ageMs = this->operatorItemsAgeMs();
        if (this->isWaitingForPeers()
            || (!this->isRegionStoreReader() && this->activeRoutingTable && ageMs < storeFallbackAgeMs)) {
            co_await this->sleep(ageCheckIntervalMs);
            continue;
        }
        const bool wasRead = co_await this->readOperatorItems();
        if (!wasRead) {
            co_await this->sleep(storeRetryDelayMs);
            continue;
        }
        if (this->isRegionStoreReader())
            co_await this->watchOperatorItems();
        // Bounds the rate of calls while the store refuses waits or drops its history again and again.
        co_await this->sleep(storeRetryDelayMs);
    }
}

asio::awaitable<bool> ClusterStateCache::readServerRecords()
{
    const SteadyTime askedAt = this->clock.now();
    const std::string prefix = this->codec.layout().serverPrefix;
    Result<StoreListing> reading = co_await this->store.list(prefix, ReadConsistency::Linearizable);
    if (!reading) {
        this->recordStoreCall(false, "list-servers", describe(reading.error()));
        co_return false;
    }
    this->recordStoreCall(true, "list-servers", "");
    this->applyServerRecords(
        { std::move(reading.value().items), {}, true, reading.value().revision, askedAt }, "store");
    co_return true;
}

asio::awaitable<void> ClusterStateCache::syncServerRecords()
{
    SteadyTime nextRead;
    while (true) {
        const SteadyTime now = this->clock.now();
        const int64_t ageMs = this->serverRecordsAgeMs();
        const std::string reader = this->regionStoreReader();
        const bool isReader = reader == this->settings.address;
        if (now >= nextRead && !this->isWaitingForPeers()
            && ageMs >= (isReader || !this->hasServerRecords ? storeReadIntervalMs : storeFallbackAgeMs)) {
            const bool wasRead = co_await this->readServerRecords();
            if (!wasRead)
                nextRead = this->clock.now() + Milliseconds(storeRetryDelayMs);
        }
        this->fleet.removeExpiredServers();
        co_await this->sleep(ageCheckIntervalMs);
    }
}

asio::awaitable<void> ClusterStateCache::syncWithPeers()
{
    while (true) {
        const int64_t ageMs = this->maximumStateAgeMs();
        const std::string reader = this->regionStoreReader();
        const bool isReader = reader == this->settings.address;
        // The reader needs others only when the store does not answer it; a copy that grows old although the reader
        // is asked is looked for elsewhere.
        if (ageMs >= (isReader ? storeFallbackAgeMs : peerPollIntervalMs)) {
            const std::string peer = isReader || ageMs >= storeFallbackAgeMs ? this->nextPeer() : reader;
            if (!peer.empty())
                co_await this->fetchStateFromPeer(peer);
        }
        co_await this->sleep(ageCheckIntervalMs);
    }
}

asio::awaitable<bool> ClusterStateCache::fetchStateFromPeer(std::string address)
{
    const auto call = std::make_shared<Call>();
    call->request = HttpRequest(http::verb::get,
        "/state?operator=" + std::to_string(this->operatorItemsHash)
            + "&servers=" + std::to_string(this->serverRecordsRevision),
        11);
    call->request.set(http::field::host, address);
    const int64_t askedRevision = this->serverRecordsRevision;
    const SteadyTime askedAt = this->clock.now();
    call->deadline = askedAt + Milliseconds(peerTimeoutMs);
    call->connectDeadline = call->deadline;
    const Endpoint peer { address, this->settings.stateAddress.port };
    const CallOutcome end = co_await this->peerConnections.execute(call, peer);
    if (end != CallOutcome::Answered || call->response.result_int() != 200)
        co_return false;
    const Result<Json::Value> answer = version::parseJson(call->response.body(), address);
    if (!answer || !answer.value().isObject()) {
        this->log.write(LogCategory::ProcessState, "peer-answer-invalid", { { "peer", address } });
        co_return false;
    }
    const auto readAt = [&](const Json::Value& part) {
        const int64_t ageMs = part["ageMs"].isInt64() ? part["ageMs"].asInt64() : outageThresholdMs;
        return askedAt - Milliseconds(ageMs);
    };
    const Json::Value& operatorPart = answer.value()["operator"];
    if (operatorPart.isObject() && operatorPart["revision"].isInt64() && operatorPart["hash"].isUInt64()) {
        const int64_t revision = operatorPart["revision"].asInt64();
        if (revision >= this->operatorItemsRevision && operatorPart["hash"].asUInt64() == this->operatorItemsHash) {
            this->operatorItemsRevision = revision;
            this->operatorItemsReadAt = std::max(this->operatorItemsReadAt, readAt(operatorPart));
        } else if (revision > this->operatorItemsRevision) {
            Result<std::vector<StoreItem>> items = parseItems(operatorPart["items"], address);
            if (items) {
                std::map<std::string, StoreItem> byKey;
                for (StoreItem& item : items.value())
                    byKey[item.key] = std::move(item);
                this->applyOperatorItems(std::move(byKey), revision, readAt(operatorPart), "peer");
            }
        }
    }
    const Json::Value& servers = answer.value()["servers"];
    if (!servers.isObject() || !servers["revision"].isInt64() || !servers["whole"].isBool()
        || !servers["removed"].isArray())
        co_return false;
    const SteadyTime serversAt = readAt(servers);
    const int64_t revision = servers["revision"].asInt64();
    const bool isWhole = servers["whole"].asBool();
    if (revision < this->serverRecordsRevision || serversAt <= this->serverRecordsReadAt)
        co_return true;
    Result<std::vector<StoreItem>> items = parseItems(servers["items"], address);
    // Changes count from the revision that was asked with; a reading of the store may have come between.
    if (!items || (!isWhole && askedRevision != this->serverRecordsRevision))
        co_return false;
    ServerRecordUpdate changes { std::move(items.value()), {}, isWhole, revision, serversAt };
    for (const Json::Value& key : servers["removed"]) {
        if (key.isString())
            changes.removed.push_back(key.asString());
    }
    this->applyServerRecords(std::move(changes), "peer");
    co_return true;
}

void ClusterStateCache::applyOperatorItems(
    std::map<std::string, StoreItem> items, int64_t revision, SteadyTime readAt, const char* source)
{
    if (revision < this->operatorItemsRevision)
        return;
    this->operatorItemsRevision = revision;
    this->operatorItemsReadAt = std::max(this->operatorItemsReadAt, readAt);
    if (items == this->operatorItems)
        return;
    std::set<std::string> evacuated;
    for (const auto& [key, item] : items) {
        if (const auto domain = this->codec.evacuatedDomain(key))
            evacuated.insert(*domain);
        if (!this->codec.isConfiguration(key))
            continue;
        const auto former = this->operatorItems.find(key);
        if (former != this->operatorItems.end() && former->second.modificationRevision == item.modificationRevision)
            continue;
        Result<RoutingTablePointer> decoded = this->codec.decodeConfiguration(item.value);
        if (!decoded) {
            if (this->refusedConfigurationRevision != item.modificationRevision)
                this->log.write(LogCategory::ProcessState, "configuration-refused",
                    { { "revision", item.modificationRevision }, { "reason", describe(decoded.error()) },
                        { "kept_version", this->activeRoutingTable ? this->activeRoutingTable->version() : 0 } });
            this->refusedConfigurationRevision = item.modificationRevision;
            continue;
        }
        const RoutingTablePointer& table = decoded.value();
        if (this->activeRoutingTable && table->version() <= this->activeRoutingTable->version())
            continue;
        this->activeRoutingTable = table;
        this->log.write(LogCategory::ProcessState, "configuration-active",
            { { "version", table->version() }, { "revision", item.modificationRevision }, { "source", source },
                { "routes", static_cast<uint64_t>(table->routeCount()) } });
    }
    std::string names;
    for (const std::string& domain : evacuated)
        names += (names.empty() ? "" : ",") + domain;
    const auto isEvacuation
        = [this](const auto& entry) { return this->codec.evacuatedDomain(entry.first).has_value(); };
    const auto formerCount = std::count_if(this->operatorItems.begin(), this->operatorItems.end(), isEvacuation);
    if (static_cast<size_t>(formerCount) != evacuated.size())
        this->log.write(LogCategory::ProcessState, "evacuation",
            { { "domains", names }, { "revision", revision }, { "source", source } });
    // Longer than any service's cold time would only slow the return.
    constexpr int64_t coldAfterEvacuationMs = 3000;
    this->fleet.setEvacuatedDomains(std::move(evacuated), coldAfterEvacuationMs);
    this->operatorItems = std::move(items);
    this->operatorItemsHash = 1;
    for (const auto& [key, item] : this->operatorItems)
        this->operatorItemsHash
            = hash64(key, this->operatorItemsHash ^ static_cast<uint64_t>(item.modificationRevision));
}

bool ClusterStateCache::updateServerRecord(StoreItem item, int64_t revision)
{
    Result<ServerRecord> record = this->codec.decodeServer(item);
    if (!record) {
        int64_t& refused = this->refusedServerRevisions[item.key];
        if (refused == 0)
            this->log.write(LogCategory::ProcessState, "server-record-refused",
                { { "key", item.key }, { "revision", item.modificationRevision },
                    { "reason", describe(record.error()) } });
        refused = item.modificationRevision;
        // The entry is no longer the server's own.
        if (this->serverRecords.erase(item.key) == 0)
            return false;
        this->removedServerRevisions[item.key] = revision;
        return true;
    }
    const std::string key = item.key;
    const uint64_t hash = contentHash(record.value());
    ServerRecordEntry& known = this->serverRecords[key];
    const bool isChanged = known.contentHash != hash;
    if (isChanged)
        known.changedRevision = revision;
    known.contentHash = hash;
    known.item = std::move(item);
    known.record = std::move(record.value());
    this->removedServerRevisions.erase(key);
    return isChanged;
}

void ClusterStateCache::applyServerRecords(ServerRecordUpdate changes, const char* source)
{
    if (changes.revision < this->serverRecordsRevision || changes.readAt < this->serverRecordsReadAt)
        return;
    const SteadyTime now = this->clock.now();
    if (this->hasServerRecords && millisecondsBetween(this->serverRecordsReadAt, changes.readAt) > outageThresholdMs)
        this->missingGraceUntil = now + Milliseconds(this->settings.bounds.registryRecoveryMs);
    if (!this->hasServerRecords)
        this->changeHistoryStartRevision = changes.revision;
    bool isChanged = false;
    std::set<std::string> present;
    for (StoreItem& item : changes.items) {
        const std::string key = item.key;
        if (changes.isFullListing)
            present.insert(key);
        isChanged = this->updateServerRecord(std::move(item), changes.revision) || isChanged;
    }
    if (changes.isFullListing) {
        for (const auto& [key, known] : this->serverRecords) {
            if (!present.contains(key))
                changes.removed.push_back(key);
        }
    }
    for (const std::string& key : changes.removed) {
        isChanged = this->serverRecords.erase(key) > 0 || isChanged;
        this->removedServerRevisions[key] = changes.revision;
    }
    if (this->removedServerRevisions.size() > maximumRemovedServerRecords) {
        this->removedServerRevisions.clear();
        this->changeHistoryStartRevision = changes.revision;
    }
    this->serverRecordsRevision = changes.revision;
    this->serverRecordsReadAt = changes.readAt;
    this->hasServerRecords = true;
    if (isChanged)
        this->log.write(LogCategory::ProcessState, "servers",
            { { "count", static_cast<uint64_t>(this->serverRecords.size()) }, { "revision", changes.revision },
                { "source", source }, { "age_ms", millisecondsBetween(changes.readAt, now) } });
    if (!isChanged && !changes.isFullListing)
        return;
    std::vector<ServerRecord> records;
    records.reserve(this->serverRecords.size());
    for (const auto& [key, known] : this->serverRecords)
        records.push_back(known.record);
    this->fleet.applyRecords(records, std::max(this->missingGraceUntil, now));
}

asio::awaitable<void> ClusterStateCache::maintainRegistration()
{
    const std::string prefix = this->codec.layout().instancePrefix;
    int lists = 0;
    SteadyTime nextList;
    SteadyTime nextRenewal;
    while (true) {
        if (this->clock.now() >= nextRenewal) {
            Status renewed = success();
            if (this->leaseId != 0) {
                renewed = co_await this->store.renewLease(this->leaseId);
                this->countStoreCall("renew-lease", renewed.has_value());
            }
            if (!renewed && renewed.error().code == ErrorCode::NotFound)
                this->leaseId = 0;
            if (this->leaseId == 0) {
                Result<int64_t> granted = co_await this->store.grantLease(leaseTtlMs);
                this->countStoreCall("grant-lease", granted.has_value());
                if (granted) {
                    const std::string key = prefix + this->settings.address;
                    renewed = co_await this->store.put(key, "{}", granted.value());
                    this->countStoreCall("put-instance", renewed.has_value());
                    if (renewed)
                        this->leaseId = granted.value();
                }
            }
            const bool isDone = this->leaseId != 0 && renewed;
            nextRenewal = this->clock.now() + Milliseconds(isDone ? leaseRenewalIntervalMs : storeRetryDelayMs * 4);
        }
        if (this->clock.now() >= nextList) {
            // Old answers do: an instance that is missing is told of by others, and one that is gone stays silent.
            Result<StoreListing> reading = co_await this->store.list(prefix, ReadConsistency::Serializable);
            this->countStoreCall("list-instances", reading.has_value());
            if (reading) {
                for (const StoreItem& item : reading.value().items) {
                    const Result<uint32_t> address = parseIPv4(std::string_view(item.key).substr(prefix.size()));
                    if (address)
                        this->membership.addAddress(address.value());
                }
            }
            nextList
                = this->clock.now() + Milliseconds(++lists < initialListCount ? initialListIntervalMs : listIntervalMs);
        }
        co_await this->sleep(initialListIntervalMs);
    }
}

asio::awaitable<void> ClusterStateCache::unregister()
{
    if (this->leaseId == 0)
        co_return;
    const Status ended = co_await this->store.revokeLease(this->leaseId);
    this->leaseId = 0;
    if (!ended)
        this->log.write(LogCategory::ProcessState, "lease-not-ended", { { "reason", describe(ended.error()) } });
}

std::string ClusterStateCache::encodeStateForPeer(uint64_t knownOperatorHash, int64_t knownServersRevision) const
{
    const SteadyTime now = this->clock.now();
    Json::Value answer;
    if (this->operatorItemsRevision >= 0) {
        Json::Value& part = answer["operator"];
        part["revision"] = static_cast<Json::Int64>(this->operatorItemsRevision);
        part["hash"] = static_cast<Json::UInt64>(this->operatorItemsHash);
        part["ageMs"] = static_cast<Json::Int64>(this->operatorItemsAgeMs());
        if (this->operatorItemsHash != knownOperatorHash) {
            part["items"] = Json::Value(Json::arrayValue);
            for (const auto& [key, item] : this->operatorItems)
                part["items"].append(toJson(item));
        }
    }
    if (this->hasServerRecords) {
        Json::Value& part = answer["servers"];
        const bool isWhole = knownServersRevision < this->changeHistoryStartRevision;
        part["revision"] = static_cast<Json::Int64>(this->serverRecordsRevision);
        part["ageMs"] = static_cast<Json::Int64>(millisecondsBetween(this->serverRecordsReadAt, now));
        part["whole"] = isWhole;
        part["items"] = Json::Value(Json::arrayValue);
        part["removed"] = Json::Value(Json::arrayValue);
        for (const auto& [key, known] : this->serverRecords) {
            if (isWhole || known.changedRevision > knownServersRevision)
                part["items"].append(toJson(known.item));
        }
        for (const auto& [key, revision] : this->removedServerRevisions) {
            if (!isWhole && revision > knownServersRevision)
                part["removed"].append(key);
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, answer);
}

}
