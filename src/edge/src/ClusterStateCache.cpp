#include <wagtailrack/edge/ClusterStateCache.h>

#include <wagtailrack/edge/Compression.h>
#include <wagtailrack/edge/superviseTask.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/base/Random.h>
#include <wagtailrack/version/parseJson.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <json/writer.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace wagtailrack::edge {

namespace {

// Age of the server records at which the region's reader reads them from the store again. A draining server is sent
// requests until its new record has been read; deployments allow at least 2.5 s for this.
constexpr int64_t storeReadIntervalMs = 900;
// Age of the state at which the other instances of the region poll the reader.
constexpr int64_t peerPollIntervalMs = 450;
// Age of the state at which an instance no longer relies on its usual source: it reads the store itself even if it is
// not the reader, and polls other peers.
constexpr int64_t storeFallbackAgeMs = 1500;
// Interval at which these ages are checked.
constexpr int64_t ageCheckIntervalMs = 100;
// Duration of one watch of the operator items. Short, so that a connection that no longer delivers data is detected.
constexpr int64_t watchTimeoutMs = 3000;
// Duration of a watch that only reads the changes so far. The store takes whole milliseconds.
constexpr int64_t changesReadTimeoutMs = 1;
// Delay after a failed call to the store and after the end of a watch. A failed registration waits four times as long.
constexpr int64_t storeRetryDelayMs = 250;
// Gap between two reads of the server records after which records may have expired although their servers are running.
// Also the age that is assumed where none is known.
constexpr int64_t outageThresholdMs = 3000;
constexpr int64_t leaseTtlMs = 30000;
constexpr int64_t leaseRenewalIntervalMs = 10000;
// The first lists of instances use the shorter interval, so that the first instances find each other soon.
constexpr int64_t initialListIntervalMs = 500;
constexpr int64_t listIntervalMs = 12000;
// Longest wait for heartbeats of the other instances at the first start of the whole system.
constexpr int64_t maximumFirstStartWaitMs = 1500;
constexpr int initialListCount = 6;
constexpr int64_t peerTimeoutMs = 600;
// Longest pause within a response of a peer, which may be large and its link slow.
constexpr Milliseconds maximumPeerStall(600);
// Longest poll of the state. A poll holds up those of other peers.
constexpr Milliseconds maximumPollTime(1500);
// Longest fetch of operator items. A configuration of 1 MB has about 160 kB compressed, which take 0.13 s on a link of
// 10 Mbit/s, and many times as long beside other traffic.
constexpr Milliseconds maximumFetchTime(4000);
// Longest pause before a peer is asked again after failed fetches. The pause begins with storeRetryDelayMs and doubles
// with each failure.
constexpr int64_t maximumFetchPauseMs = 2000;
// Failures that are counted for the pause, more than lead to the longest one.
constexpr int maximumFetchFailures = 8;
// Fetches at the same time: one that is overdue, and one from another peer.
constexpr size_t maximumFetches = 2;
// Longest wait for an update after a pause. A call to a peer or to the store of another region takes about 110 ms;
// while neither answers, requests are forwarded with the stale copy.
constexpr Milliseconds maximumRefreshTime(500);
// Changed operator items up to this size are part of the state that peers poll. Larger ones are fetched apart from it,
// so that they hold up neither the server records nor the confirmation that a copy is current.
constexpr size_t maximumInlineBytes = 16'384;
// Largest response of a peer after decompression: a configuration of 1 MB as an escaped JSON string, and other items.
constexpr size_t maximumPeerMessageBytes = 4'194'304;

// Longest wait after the start for the state of a peer, if the store may have returned from an older copy. A peer is
// known after the first list of instances, and polled within 100 ms.
constexpr int64_t maximumPeerStateWaitMs = 1500;
// Time after the start in which also the region's reader polls peers, which may know a newer configuration.
constexpr int64_t crossCheckTimeMs = 3000;
// The instances register in a new era within this time, so that they do not call the store at the same moment.
constexpr uint64_t registrationSpreadMs = 1500;

int64_t millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

std::string toDottedDecimal(uint32_t address) { return asio::ip::address_v4(address).to_string(); }

std::string encodeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// `era` is that of the copy: items tell theirs only if it differs.
Json::Value toJson(const StoreItem& item, int64_t era)
{
    Json::Value value;
    value["key"] = item.key;
    value["value"] = item.value;
    value["revision"] = static_cast<Json::Int64>(item.modificationRevision.number());
    if (item.modificationRevision.era() != era)
        value["era"] = static_cast<Json::Int64>(item.modificationRevision.era());
    return value;
}

// Value of a header of a peer's response; empty unless it is a number that is not negative.
std::optional<int64_t> integerHeader(const HttpResponse& response, const char* name)
{
    const std::string text = headerValue(response.base(), name);
    int64_t value = -1;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

// Era of a peer's section; earlier releases send none.
int64_t eraOf(const Json::Value& section) { return section["era"].isInt64() ? section["era"].asInt64() : 0; }

// Hash of the keys and their revisions in a copy of era `era`. Equal to that of earlier releases unless items of an
// earlier era are kept.
uint64_t hashOf(const std::map<std::string, StoreItem>& items, int64_t era)
{
    constexpr uint64_t eraFactor = 0x9e3779b97f4a7c15;
    uint64_t hash = 1;
    for (const auto& [key, item] : items) {
        const auto erasSince = static_cast<uint64_t>(era - item.modificationRevision.era());
        hash = hash64(key, hash ^ static_cast<uint64_t>(item.modificationRevision.number()) ^ (erasSince * eraFactor));
    }
    return hash;
}

// Reads the items of a peer's response. Fails with AnswerInvalid.
Result<std::vector<StoreItem>> parseItems(const Json::Value& list, const std::string& place, int64_t era)
{
    std::vector<StoreItem> items;
    if (!list.isArray())
        return makeError(ErrorCode::AnswerInvalid, place, "field items: expected an array");
    for (const Json::Value& entry : list) {
        if (!entry.isObject() || !entry["key"].isString() || !entry["value"].isString() || !entry["revision"].isInt64())
            return makeError(ErrorCode::AnswerInvalid, place,
                "field items: expected objects with key (string), value (string) and revision (64-bit integer)");
        const int64_t itemEra = entry["era"].isInt64() ? entry["era"].asInt64() : era;
        items.push_back(
            { entry["key"].asString(), entry["value"].asString(), { itemEra, entry["revision"].asInt64() } });
    }
    return items;
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
    , recovery(clock, Milliseconds(settings.bounds.registryRecoveryMs))
    , serverRecords(codec, [this](const StoreItem& item, const Error& error) {
        this->log.write(LogCategory::ProcessState, "server-record-refused",
            { { "key", item.key }, { "revision", item.modificationRevision.number() }, { "reason", describe(error) } });
    })
{
}

void ClusterStateCache::start()
{
    this->startedAt = this->clock.now();
    const auto run = [this](const char* name, asio::awaitable<void> (ClusterStateCache::*task)()) {
        asio::co_spawn(
            this->context,
            [this, name, task] {
                return superviseTask(
                    name, [this, task] { return (this->*task)(); },
                    [this](const char* failedTask, const char* reason) {
                        this->isWatching = false;
                        this->log.write(
                            LogCategory::ProcessState, "task-failed", { { "task", failedTask }, { "reason", reason } });
                    });
            },
            asio::detached);
    };
    run("operator-items", &ClusterStateCache::syncOperatorItems);
    run("server-records", &ClusterStateCache::syncServerRecords);
    run("peers", &ClusterStateCache::syncWithPeers);
    run("registration", &ClusterStateCache::maintainRegistration);
}

asio::awaitable<void> ClusterStateCache::sleep(int64_t milliseconds)
{
    Timer timer(this->context, Milliseconds(milliseconds));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

int64_t ClusterStateCache::operatorItemsAgeMs() const
{
    // While a watch is pending, any response of the store shows that the store would have reported a change; but not a
    // response of a later era than the watch.
    const bool isConfirmed = this->isWatching && this->store.latestEra() <= this->operatorItemsRevision.era();
    const SteadyTime readAt
        = isConfirmed ? std::max(this->operatorItemsReadAt, this->lastStoreResponseAt) : this->operatorItemsReadAt;
    return millisecondsBetween(readAt, this->clock.now());
}

int64_t ClusterStateCache::maximumStateAgeMs() const
{
    return std::max(
        this->operatorItemsAgeMs(), this->hasServerRecords ? this->serverRecordsAgeMs() : outageThresholdMs);
}

bool ClusterStateCache::isRefreshingAfterPause() const
{
    return this->maximumStateAgeMs() >= storeFallbackAgeMs
        && this->clock.now() - this->membership.runningSince() < maximumRefreshTime;
}

bool ClusterStateCache::isConfigurationOutdated() const
{
    // While the store recovers, a newer version may have been in force that nobody here has seen.
    return this->reportedOperatorItemsRevision > this->operatorItemsRevision
        || this->isNewerConfiguration(this->reportedConfigurationVersion) || this->recovery.isActive()
        || this->store.latestEra() > this->operatorItemsRevision.era()
        || this->operatorItemsReadAt < this->watchAnsweredAt || this->operatorItemsAgeMs() >= outageThresholdMs;
}

int64_t ClusterStateCache::serverRecordsAgeMs() const
{
    return millisecondsBetween(this->serverRecordsReadAt, this->clock.now());
}

std::string ClusterStateCache::regionStoreReader() const
{
    // Prefers instances with a fast link, because the reader sends every change to all other instances of its region.
    std::pair<int, uint64_t> highestRank { -1, 0 };
    uint32_t reader = this->membership.ownHeartbeat().address;
    for (const InstanceHeartbeat& heartbeat : this->membership.aliveInstances()) {
        if (heartbeat.isLeaving || this->settings.regionOfDomainIndex(heartbeat.domainIndex) != this->settings.region)
            continue;
        const std::pair<int, uint64_t> rank { heartbeat.linkCapacity10Mbps,
            hash64(toDottedDecimal(heartbeat.address)) };
        if (rank > highestRank) {
            highestRank = rank;
            reader = heartbeat.address;
        }
    }
    return toDottedDecimal(reader);
}

bool ClusterStateCache::isWaitingForPeers() const
{
    if (!this->settings.isFirstStart
        || millisecondsBetween(this->startedAt, this->clock.now()) >= maximumFirstStartWaitMs)
        return false;
    // While no other instance is known, this one may be the reader, or the reader's heartbeat has not arrived yet.
    return this->membership.aliveInstances().size() < 2 || !this->isRegionStoreReader();
}

bool ClusterStateCache::isRegionStoreReader() const { return this->regionStoreReader() == this->settings.address; }

std::string ClusterStateCache::nextPeer()
{
    const std::vector<InstanceHeartbeat> alive = this->membership.aliveInstances();
    if (alive.size() < 2)
        return {};
    // The first entry is this instance.
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

void ClusterStateCache::recordFailedListing(const char* call, const Error& error)
{
    // The store has answered, but its era changed meanwhile.
    if (error.code == ErrorCode::StaleVersion)
        this->countStoreCall(call, false);
    else
        this->recordStoreCall(false, call, describe(error));
}

bool ClusterStateCache::isNewerConfiguration(uint64_t version) const
{
    return this->storeEra() > 0 && version > std::max(this->activeVersion(), this->refusedPeerVersion);
}

bool ClusterStateCache::isAwaitingPeerState() const
{
    return this->store.latestEra() > 0
        && millisecondsBetween(this->startedAt, this->clock.now()) < maximumPeerStateWaitMs
        && (!this->hasPeerState || this->isNewerConfiguration(this->reportedConfigurationVersion));
}

void ClusterStateCache::applyOperatorItemChanges(StoreChanges changes, SteadyTime readAt, const char* source)
{
    std::map<std::string, StoreItem> items = this->operatorItems;
    for (StoreItem& item : changes.written)
        items[item.key] = std::move(item);
    for (const std::string& key : changes.removed) {
        items.erase(key);
        if (const auto domain = this->codec.evacuatedDomain(key))
            this->recovery.releaseEvacuation(*domain);
    }
    this->applyOperatorItems(std::move(items), changes.revision, readAt, source);
}

asio::awaitable<bool> ClusterStateCache::readOperatorItemChanges()
{
    const SteadyTime requestedAt = this->clock.now();
    const std::string prefix = this->codec.layout().operatorPrefix;
    Result<StoreChanges> changes
        = co_await this->store.watch(prefix, this->operatorItemsRevision, changesReadTimeoutMs, [] {});
    if (!changes) {
        this->recordFailedWatch(changes.error());
        co_return false;
    }
    this->recordStoreCall(true, "watch", "");
    this->applyOperatorItemChanges(std::move(changes.value()), requestedAt, "store");
    co_return true;
}

void ClusterStateCache::recordFailedWatch(const Error& error)
{
    // The store refused the call, or was not reached: the next one may read the changes. After other failures, the
    // history may be lost, or the changes larger than a response may be.
    this->needsOperatorListing = error.code != ErrorCode::StoreUnavailable && error.code != ErrorCode::RateLimited;
    if (error.code != ErrorCode::StaleVersion)
        this->recordStoreCall(false, "watch", describe(error));
}

asio::awaitable<bool> ClusterStateCache::readOperatorItems()
{
    // The configuration may have 1 MB, and all instances of a region read at the same time when their reader is lost.
    if (this->operatorItemsRevision > StoreRevision::none() && !this->needsOperatorListing) {
        const bool wasRead = co_await this->readOperatorItemChanges();
        if (wasRead || !this->needsOperatorListing)
            co_return wasRead;
    }
    const SteadyTime requestedAt = this->clock.now();
    const std::string prefix = this->codec.layout().operatorPrefix;
    Result<StoreListing> listing = co_await this->store.list(prefix, ReadConsistency::Linearizable);
    if (!listing) {
        this->recordFailedListing("list-operator", listing.error());
        co_return false;
    }
    this->recordStoreCall(true, "list-operator", "");
    std::map<std::string, StoreItem> items;
    for (StoreItem& item : listing.value().items)
        items[item.key] = std::move(item);
    this->applyOperatorItems(std::move(items), listing.value().revision, requestedAt, "store");
    this->needsOperatorListing = false;
    co_return true;
}

void ClusterStateCache::endWatch()
{
    this->isWatching = false;
    if (this->store.latestEra() <= this->operatorItemsRevision.era())
        this->operatorItemsReadAt = std::max(this->operatorItemsReadAt, this->lastStoreResponseAt);
    this->watchAnsweredAt = this->clock.now();
}

asio::awaitable<void> ClusterStateCache::watchOperatorItems()
{
    const std::string prefix = this->codec.layout().operatorPrefix;
    StoreRevision revision = this->operatorItemsRevision;
    while (this->isRegionStoreReader()) {
        this->isWatching = true;
        Result<StoreChanges> changes
            = co_await this->store.watch(prefix, revision, watchTimeoutMs, [this] { this->endWatch(); });
        this->isWatching = false;
        if (changes)
            this->recordStoreCall(true, "watch", "");
        if (!changes) {
            // A response with an error status tells of no change; one that broke off may have.
            if (changes.error().code != ErrorCode::OutcomeUnknown)
                this->watchAnsweredAt = SteadyTime();
            this->recordFailedWatch(changes.error());
            co_return;
        }
        revision = std::max(revision, changes.value().revision);
        changes.value().revision = revision;
        this->applyOperatorItemChanges(std::move(changes.value()), this->clock.now(), "watch");
    }
}

asio::awaitable<void> ClusterStateCache::syncOperatorItems()
{
    while (true) {
        const int64_t ageMs = this->operatorItemsAgeMs();
        // Also without a configuration: if the version in the copy was refused, reading it again does not help.
        const bool hasCopy = this->operatorItemsRevision > StoreRevision::none();
        if (this->isWaitingForPeers()
            || (!this->isRegionStoreReader() && hasCopy
                && (ageMs < storeFallbackAgeMs || this->clock.now() < this->fetchExpectedUntil))) {
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
        // Limits the rate of calls while the store repeatedly rejects watches or discards the history that they need.
        co_await this->sleep(storeRetryDelayMs);
    }
}

asio::awaitable<bool> ClusterStateCache::readServerRecords()
{
    const SteadyTime requestedAt = this->clock.now();
    const std::string prefix = this->codec.layout().serverPrefix;
    Result<StoreListing> listing = co_await this->store.list(prefix, ReadConsistency::Linearizable);
    if (!listing) {
        this->recordFailedListing("list-servers", listing.error());
        co_return false;
    }
    this->recordStoreCall(true, "list-servers", "");
    this->applyServerRecords(
        { std::move(listing.value().items), {}, true, listing.value().revision }, requestedAt, "store");
    this->needsAllServerRecords = false;
    co_return true;
}

asio::awaitable<void> ClusterStateCache::syncServerRecords()
{
    SteadyTime nextReadAt;
    while (true) {
        const SteadyTime now = this->clock.now();
        const int64_t ageMs = this->serverRecordsAgeMs();
        const std::string reader = this->regionStoreReader();
        const bool isReader = reader == this->settings.address;
        if (now >= nextReadAt && !this->isWaitingForPeers()
            && ageMs >= (isReader || !this->hasServerRecords ? storeReadIntervalMs : storeFallbackAgeMs)) {
            const bool wasRead = co_await this->readServerRecords();
            if (!wasRead)
                nextReadAt = this->clock.now() + Milliseconds(storeRetryDelayMs);
        }
        this->fleet.removeExpiredServers();
        this->endRecovery();
        if (!this->isStartConfirmed && this->activeRoutingTable && !this->isAwaitingPeerState())
            this->isStartConfirmed = true;
        co_await this->sleep(ageCheckIntervalMs);
    }
}

asio::awaitable<void> ClusterStateCache::syncWithPeers()
{
    while (true) {
        const int64_t ageMs = this->maximumStateAgeMs();
        const std::string reader = this->regionStoreReader();
        const bool isReader = reader == this->settings.address;
        // The reader polls other instances only when the store does not answer it. The other instances poll the reader,
        // and any other peer once their copy has become stale nevertheless.
        if (ageMs >= (isReader ? storeFallbackAgeMs : peerPollIntervalMs)) {
            const std::string peer = isReader || ageMs >= storeFallbackAgeMs ? this->nextPeer() : reader;
            if (!peer.empty())
                co_await this->fetchStateFromPeer(peer);
        }
        // The reader does not poll usually. After its start and after a rollback of the store, others may act on a
        // newer configuration than the store has.
        const SteadyTime now = this->clock.now();
        const bool isCrossChecking = this->recovery.isActive()
            || (this->store.latestEra() > 0 && millisecondsBetween(this->startedAt, now) < crossCheckTimeMs);
        if (isCrossChecking && (!this->hasPeerState || (isReader && now >= this->nextCrossCheckAt))) {
            this->nextCrossCheckAt = now + Milliseconds(peerPollIntervalMs);
            const std::string peer = this->nextPeer();
            if (!peer.empty())
                co_await this->fetchStateFromPeer(peer);
        }
        co_await this->sleep(ageCheckIntervalMs);
    }
}

asio::awaitable<HttpResponse> ClusterStateCache::callPeer(
    std::string address, std::string target, Milliseconds maximumTime)
{
    const auto call = std::make_shared<Call>();
    call->request = HttpRequest(http::verb::get, target, 11);
    call->request.set(http::field::host, address);
    call->echoHeader = peerCallHeader;
    call->echoValue = std::to_string(++this->peerCallCounter);
    // Instances of earlier releases do not number their responses.
    call->echoUse = EchoUse::IfPresent;
    call->request.set(call->echoHeader, call->echoValue);
    const SteadyTime now = this->clock.now();
    call->deadline = now + Milliseconds(peerTimeoutMs);
    call->connectDeadline = call->deadline;
    call->maximumStall = maximumPeerStall;
    call->latestDeadline = now + maximumTime;
    const Endpoint peer { address, this->settings.stateAddress.port };
    const CallOutcome outcome = co_await this->peerConnections.execute(call, peer);
    const bool isAnswered = outcome == CallOutcome::Answered && call->response.result_int() == 200;
    co_return isAnswered ? std::move(call->response) : HttpResponse();
}

bool ClusterStateCache::applyOperatorItemsFromPeer(
    const Json::Value& section, Currency currency, const std::string& address)
{
    if (!section["hash"].isUInt64())
        return false;
    const uint64_t version = section["configuration"].isUInt64() ? section["configuration"].asUInt64() : 0;
    const bool isNewerCopy = currency.revision > this->operatorItemsRevision;
    if (!isNewerCopy && !this->isNewerConfiguration(version))
        return true;
    Result<std::vector<StoreItem>> changed = parseItems(section["items"], address, currency.revision.era());
    if (!changed)
        return false;
    std::map<std::string, StoreItem> items;
    for (const Json::Value& key : section["keys"]) {
        const auto known = key.isString() ? this->operatorItems.find(key.asString()) : this->operatorItems.end();
        if (known != this->operatorItems.end())
            items.insert(*known);
    }
    for (StoreItem& item : changed.value())
        items[item.key] = std::move(item);
    // The changes are relative to the copy of the request, which may have been replaced meanwhile. Instances of earlier
    // releases send all items, and no list of keys.
    this->needsAllOperatorItems = hashOf(items, currency.revision.era()) != section["hash"].asUInt64();
    if (this->needsAllOperatorItems)
        return false;
    if (isNewerCopy)
        this->applyOperatorItems(std::move(items), currency.revision, currency.readAt, "peer");
    else
        this->adoptConfiguration(items);
    if (this->isNewerConfiguration(version))
        this->refusedPeerVersion = version;
    return true;
}

void ClusterStateCache::startOperatorItemsFetch(const std::string& address)
{
    const SteadyTime now = this->clock.now();
    const bool isFirst = this->fetchingPeers.empty();
    const auto pause = this->fetchPauses.find(address);
    if (now < this->nextFetchAt || (pause != this->fetchPauses.end() && now < pause->second.endsAt))
        return;
    if (!isFirst
        && (now < this->fetchExpectedUntil || this->fetchingPeers.size() >= maximumFetches
            || this->fetchingPeers.contains(address)))
        return;
    this->fetchingPeers.insert(address);
    if (isFirst)
        this->fetchExpectedUntil = now + Milliseconds(storeFallbackAgeMs);
    asio::co_spawn(
        this->context, [this, address] { return this->fetchOperatorItemsFromPeer(address); },
        [this, address](const std::exception_ptr& exception) {
            this->fetchingPeers.erase(address);
            if (exception)
                this->log.write(LogCategory::ProcessState, "task-failed", { { "task", "operator-items-fetch" } });
        });
}

asio::awaitable<void> ClusterStateCache::fetchOperatorItemsFromPeer(std::string address)
{
    const SteadyTime requestedAt = this->clock.now();
    const StoreRevision since = this->needsAllOperatorItems ? StoreRevision() : this->operatorItemsRevision;
    const std::string target = "/operator-items?since=" + std::to_string(since.number())
        + "&sinceEra=" + std::to_string(since.era()) + "&configuration=" + std::to_string(this->activeVersion());
    const HttpResponse response = co_await this->callPeer(address, target, maximumFetchTime);
    const std::string& body = response.body();
    // The peer's copy may have changed since the poll, so that the response says itself how current it is.
    const auto revision = integerHeader(response, operatorItemsRevisionHeader);
    const int64_t era = integerHeader(response, operatorItemsEraHeader).value_or(0);
    const auto ageMs = integerHeader(response, operatorItemsAgeHeader);
    const Result<std::string> text = decompress(body, maximumPeerMessageBytes);
    const Result<Json::Value> section
        = text ? version::parseJson(text.value(), address) : Result<Json::Value>(text.error());
    const bool isApplied = section && section.value().isObject() && revision && ageMs
        && this->applyOperatorItemsFromPeer(
            section.value(), { { era, *revision }, requestedAt - Milliseconds(*ageMs) }, address);
    // The poll that follows confirms the copy, or shows that a change came meanwhile.
    const SteadyTime endedAt = this->clock.now();
    this->fetchExpectedUntil = isApplied ? endedAt + Milliseconds(peerPollIntervalMs) : endedAt;
    if (isApplied) {
        this->fetchPauses.clear();
    } else {
        FetchPause& pause = this->fetchPauses[address];
        const int64_t pauseMs = std::min(storeRetryDelayMs << pause.failureCount, maximumFetchPauseMs);
        pause.endsAt = endedAt + Milliseconds(pauseMs);
        pause.failureCount = std::min(pause.failureCount + 1, maximumFetchFailures);
        this->nextFetchAt = endedAt + Milliseconds(storeRetryDelayMs);
    }
    this->log.write(LogCategory::ProcessState, "operator-items-fetched",
        { { "peer", address }, { "since", since.number() }, { "bytes", static_cast<uint64_t>(body.size()) },
            { "ms", millisecondsBetween(requestedAt, endedAt) },
            { "outcome",
                isApplied          ? "applied"
                    : body.empty() ? "no-answer"
                                   : "refused" } });
}

asio::awaitable<bool> ClusterStateCache::fetchStateFromPeer(std::string address)
{
    const ServerRecordVersion ownVersion
        = this->needsAllServerRecords ? ServerRecordVersion() : this->serverRecords.version();
    const SteadyTime requestedAt = this->clock.now();
    const std::string target = "/state?operator=" + std::to_string(this->operatorItemsHash)
        + "&operatorRevision=" + std::to_string(this->needsAllOperatorItems ? 0 : this->operatorItemsRevision.number())
        + "&operatorEra=" + std::to_string(this->needsAllOperatorItems ? 0 : this->operatorItemsRevision.era())
        + "&configuration=" + std::to_string(this->activeVersion())
        + "&recovery=" + std::to_string(this->recovery.era()) + "&from=" + this->settings.address + "&serversEra="
        + std::to_string(ownVersion.revision.era()) + "&servers=" + std::to_string(ownVersion.revision.number())
        + (ownVersion.hash ? "&serversHash=" + std::to_string(*ownVersion.hash) : "");
    const HttpResponse response = co_await this->callPeer(address, target, maximumPollTime);
    if (response.body().empty())
        co_return false;
    const Result<Json::Value> answer = version::parseJson(response.body(), address);
    if (!answer || !answer.value().isObject()) {
        this->log.write(LogCategory::ProcessState, "peer-answer-invalid", { { "peer", address } });
        co_return false;
    }
    const auto readAt = [&](const Json::Value& section) {
        const int64_t ageMs = section["ageMs"].isInt64() ? section["ageMs"].asInt64() : outageThresholdMs;
        return requestedAt - Milliseconds(ageMs);
    };
    this->hasPeerState = true;
    this->joinRecovery(answer.value()["recovery"], address);
    const Json::Value& operatorSection = answer.value()["operator"];
    if (operatorSection.isObject() && operatorSection["revision"].isInt64() && operatorSection["hash"].isUInt64()) {
        const StoreRevision revision(eraOf(operatorSection), operatorSection["revision"].asInt64());
        const Json::Value& version = operatorSection["configuration"];
        if (version.isUInt64())
            this->reportedConfigurationVersion = std::max(this->reportedConfigurationVersion, version.asUInt64());
        if (revision.era() == this->operatorItemsRevision.era() && revision >= this->operatorItemsRevision
            && operatorSection["hash"].asUInt64() == this->operatorItemsHash) {
            this->operatorItemsRevision = revision;
            this->operatorItemsReadAt = std::max(this->operatorItemsReadAt, readAt(operatorSection));
        } else if (revision > this->operatorItemsRevision
            || (version.isUInt64() && this->isNewerConfiguration(version.asUInt64()))) {
            this->reportedOperatorItemsRevision = std::max(this->reportedOperatorItemsRevision, revision);
            if (operatorSection.isMember("items"))
                this->applyOperatorItemsFromPeer(operatorSection, { revision, readAt(operatorSection) }, address);
            else
                this->startOperatorItemsFetch(address);
        }
    }
    const Json::Value& serversSection = answer.value()["servers"];
    if (!serversSection.isObject() || !serversSection["revision"].isInt64() || !serversSection["whole"].isBool()
        || !serversSection["removed"].isArray())
        co_return false;
    const SteadyTime serversReadAt = readAt(serversSection);
    const StoreRevision revision(eraOf(serversSection), serversSection["revision"].asInt64());
    const bool isNewEra = revision.era() > this->serverRecords.revision().era();
    const bool isFullListing = serversSection["whole"].asBool();
    if (revision < this->serverRecords.revision() || (!isNewEra && serversReadAt <= this->serverRecordsReadAt))
        co_return true;
    Result<std::vector<StoreItem>> items = parseItems(serversSection["items"], address, revision.era());
    // An incremental update is relative to the copy that the request told of. A read of the store that completed
    // meanwhile may have replaced the copy, and the update then does not fit.
    if (!items || (!isFullListing && ownVersion != this->serverRecords.version()))
        co_return false;
    ServerRecordUpdate update { std::move(items.value()), {}, isFullListing, revision };
    for (const Json::Value& key : serversSection["removed"]) {
        if (key.isString())
            update.removed.push_back(key.asString());
    }
    this->applyServerRecords(std::move(update), serversReadAt, "peer");
    // Instances of earlier releases do not tell the hash.
    const Json::Value& hash = serversSection["hash"];
    this->needsAllServerRecords = !isFullListing && hash.isUInt64() && hash.asUInt64() != this->serverRecords.hash();
    if (this->needsAllServerRecords)
        this->log.write(LogCategory::ProcessState, "server-records-mismatch",
            { { "peer", address }, { "revision", revision.number() },
                { "count", static_cast<uint64_t>(this->serverRecords.size()) } });
    co_return true;
}

bool ClusterStateCache::activateConfiguration(const StoreItem& item, const char* source)
{
    Result<RoutingTablePointer> decoded = this->codec.decodeConfiguration(item.value);
    if (!decoded) {
        if (this->refusedConfigurationRevision != item.modificationRevision)
            this->log.write(LogCategory::ProcessState, "configuration-refused",
                { { "revision", item.modificationRevision.number() }, { "reason", describe(decoded.error()) },
                    { "kept_version", this->activeVersion() } });
        this->refusedConfigurationRevision = item.modificationRevision;
        return true;
    }
    const RoutingTablePointer& table = decoded.value();
    if (this->activeRoutingTable && table->version() <= this->activeRoutingTable->version())
        return table->version() < this->activeRoutingTable->version();
    this->activeRoutingTable = table;
    this->log.write(LogCategory::ProcessState, "configuration-active",
        { { "version", table->version() }, { "revision", item.modificationRevision.number() }, { "source", source },
            { "routes", static_cast<uint64_t>(table->routeCount()) } });
    return false;
}

void ClusterStateCache::applyConfigurations(
    std::map<std::string, StoreItem>& items, StoreRevision revision, const char* source)
{
    for (auto& [key, item] : items) {
        const auto previous = this->operatorItems.find(key);
        const bool isKnown = previous != this->operatorItems.end();
        // In a new era all revisions are new, but few values.
        if (!this->codec.isConfiguration(key)
            || (isKnown
                && (previous->second.modificationRevision == item.modificationRevision
                    || previous->second.value == item.value)))
            continue;
        const bool isOlderCopy
            = isKnown && previous->second.modificationRevision.era() < item.modificationRevision.era();
        const bool isIgnored = isOlderCopy && item.modificationRevision == this->ignoredConfigurationRevision;
        if (!isIgnored && (!this->activateConfiguration(item, source) || !isOlderCopy))
            continue;
        if (!isIgnored)
            this->log.write(LogCategory::ProcessState, "configuration-retained",
                { { "version", this->activeVersion() }, { "era", revision.era() },
                    { "revision", item.modificationRevision.number() }, { "source", source } });
        this->ignoredConfigurationRevision = item.modificationRevision;
        item = previous->second;
    }
    for (const auto& [key, item] : this->operatorItems) {
        if (this->codec.isConfiguration(key) && item.modificationRevision.era() < revision.era())
            items.try_emplace(key, item);
    }
}

void ClusterStateCache::adoptConfiguration(const std::map<std::string, StoreItem>& items)
{
    for (const auto& [key, item] : items) {
        const uint64_t versionBefore = this->activeVersion();
        if (!this->codec.isConfiguration(key))
            continue;
        this->activateConfiguration(item, "peer");
        if (this->activeVersion() > versionBefore)
            this->operatorItems[key] = item;
    }
    this->operatorItemsHash = hashOf(this->operatorItems, this->operatorItemsRevision.era());
}

void ClusterStateCache::enterEra(StoreRevision previous, StoreRevision revision, const char* source)
{
    const bool isFirstCopy = revision.era() > this->storeEra();
    this->recovery.begin(revision.era());
    if (!isFirstCopy)
        return;
    this->metrics.count("wagtailrack_store_era_changes_total", "");
    this->log.write(LogCategory::ProcessState, "store-era",
        { { "era", revision.era() }, { "previous", previous.era() }, { "revision", revision.number() },
            { "previous_revision", previous.number() }, { "version", this->activeVersion() }, { "source", source },
            { "recovery_ms", this->recovery.remaining().count() } });
}

void ClusterStateCache::retainEvacuations(const std::map<std::string, StoreItem>& items)
{
    for (const std::string& domain : this->evacuatedDomains)
        this->recovery.retainEvacuation(domain);
    for (const auto& [key, item] : items) {
        if (const auto domain = this->codec.evacuatedDomain(key))
            this->recovery.releaseEvacuation(*domain);
    }
}

void ClusterStateCache::applyEvacuations(const char* source)
{
    std::set<std::string> domains = this->recovery.retainedEvacuations();
    const auto retainedCount = static_cast<uint64_t>(domains.size());
    for (const auto& [key, item] : this->operatorItems) {
        if (const auto domain = this->codec.evacuatedDomain(key))
            domains.insert(*domain);
    }
    std::string names;
    for (const std::string& domain : domains)
        names += (names.empty() ? "" : ",") + domain;
    if (domains != this->evacuatedDomains)
        this->log.write(LogCategory::ProcessState, "evacuation",
            { { "domains", names }, { "revision", this->operatorItemsRevision.number() }, { "source", source },
                { "retained", retainedCount } });
    this->evacuatedDomains = domains;
    // Time for which servers count as cold after the evacuation of their failure domain has ended. More than the cold
    // time of any service would only slow their return to use.
    constexpr int64_t coldAfterEvacuationMs = 3000;
    this->fleet.setEvacuatedDomains(std::move(domains), coldAfterEvacuationMs);
}

void ClusterStateCache::endRecovery()
{
    if (this->recovery.takeExpiry())
        this->applyEvacuations("recovery-end");
}

void ClusterStateCache::applyOperatorItems(
    std::map<std::string, StoreItem> items, StoreRevision revision, SteadyTime readAt, const char* source)
{
    if (revision < this->operatorItemsRevision)
        return;
    const StoreRevision previous = this->operatorItemsRevision;
    if (previous > StoreRevision::none() && revision.era() > previous.era()) {
        this->enterEra(previous, revision, source);
        this->retainEvacuations(items);
    }
    this->applyConfigurations(items, revision, source);
    this->operatorItemsRevision = revision;
    this->operatorItemsReadAt = std::max(this->operatorItemsReadAt, readAt);
    this->operatorItemsHash = hashOf(items, revision.era());
    if (items == this->operatorItems)
        return;
    this->operatorItems = std::move(items);
    this->needsAllOperatorItems = false;
    if (this->recovery.isActive()) {
        for (const auto& [key, item] : this->operatorItems) {
            if (const auto domain = this->codec.evacuatedDomain(key))
                this->recovery.releaseEvacuation(*domain);
        }
    }
    this->applyEvacuations(source);
}

void ClusterStateCache::applyServerRecords(ServerRecordUpdate update, SteadyTime readAt, const char* source)
{
    const StoreRevision previous = this->serverRecords.revision();
    const bool isNewEra = this->hasServerRecords && update.revision.era() > previous.era();
    if (update.revision < previous || (!isNewEra && readAt < this->serverRecordsReadAt))
        return;
    const SteadyTime now = this->clock.now();
    if (this->hasServerRecords
        && (isNewEra || millisecondsBetween(this->serverRecordsReadAt, readAt) > outageThresholdMs))
        this->missingGraceUntil = now + Milliseconds(this->settings.bounds.registryRecoveryMs);
    if (isNewEra) {
        this->enterEra(previous, update.revision, source);
        this->fleet.holdDepartedServers(this->recovery.endTime());
    }
    const bool isFullListing = update.isFullListing;
    const bool isChanged = this->serverRecords.apply(std::move(update));
    this->serverRecordsReadAt = readAt;
    this->hasServerRecords = true;
    if (isChanged)
        this->log.write(LogCategory::ProcessState, "servers",
            { { "count", static_cast<uint64_t>(this->serverRecords.size()) },
                { "revision", this->serverRecords.revision().number() }, { "source", source },
                { "whole", isFullListing ? 1 : 0 }, { "age_ms", millisecondsBetween(readAt, now) },
                { "held", static_cast<uint64_t>(this->fleet.heldServerCount()) } });
    if (isChanged || isFullListing)
        this->fleet.applyRecords(this->serverRecords.records(), std::max(this->missingGraceUntil, now));
}

asio::awaitable<void> ClusterStateCache::listInstances()
{
    const std::string prefix = this->codec.layout().instancePrefix;
    // A stale list is sufficient: an instance that is missing from it is announced by other instances, and one
    // that no longer exists sends no heartbeats.
    Result<StoreListing> listing = co_await this->store.list(prefix, ReadConsistency::Serializable);
    this->countStoreCall("list-instances", listing.has_value());
    if (listing) {
        bool hasOthers = this->membership.aliveInstances().size() > 1;
        for (const StoreItem& item : listing.value().items) {
            const Result<uint32_t> address = parseIPv4(std::string_view(item.key).substr(prefix.size()));
            if (!address)
                continue;
            hasOthers = hasOthers || address.value() != this->membership.ownHeartbeat().address;
            this->membership.addAddress(address.value());
        }
        this->membership.recordRegistryListing();
        this->hasPeerState = this->hasPeerState || !hasOthers;
    }
}

asio::awaitable<void> ClusterStateCache::maintainRegistration()
{
    const std::string prefix = this->codec.layout().instancePrefix;
    int listCount = 0;
    SteadyTime nextListAt;
    SteadyTime nextRenewalAt;
    int64_t registeredEra = 0;
    // A process that replaces another one finds the others in the list at once, and needs them to share limits with.
    if (!this->settings.isFirstStart)
        co_await this->listInstances();
    while (true) {
        // The record and the lease are lost with the era, and the lease's id may be given to another instance.
        const int64_t era = std::max(this->store.latestEra(), this->storeEra());
        if (era > registeredEra) {
            registeredEra = era;
            const auto delayMs
                = this->lease == StoreLease() ? 0 : static_cast<int64_t>(randomBelow(registrationSpreadMs));
            nextRenewalAt = std::min(nextRenewalAt, this->clock.now() + Milliseconds(delayMs));
        }
        if (this->clock.now() >= nextRenewalAt) {
            Status renewed = success();
            if (this->lease != StoreLease()) {
                renewed = co_await this->store.renewLease(this->lease);
                this->countStoreCall("renew-lease", renewed.has_value());
            }
            if (!renewed && renewed.error().code == ErrorCode::NotFound)
                this->lease = {};
            if (this->lease == StoreLease()) {
                Result<StoreLease> granted = co_await this->store.grantLease(leaseTtlMs);
                this->countStoreCall("grant-lease", granted.has_value());
                if (granted) {
                    const std::string key = prefix + this->settings.address;
                    renewed = co_await this->store.put(key, "{}", granted.value());
                    this->countStoreCall("put-instance", renewed.has_value());
                    if (renewed)
                        this->lease = granted.value();
                }
            }
            const bool isRegistered = this->lease != StoreLease() && renewed;
            nextRenewalAt
                = this->clock.now() + Milliseconds(isRegistered ? leaseRenewalIntervalMs : storeRetryDelayMs * 4);
        }
        if (this->clock.now() >= nextListAt) {
            co_await this->listInstances();
            nextListAt = this->clock.now()
                + Milliseconds(++listCount < initialListCount ? initialListIntervalMs : listIntervalMs);
        }
        co_await this->sleep(initialListIntervalMs);
    }
}

asio::awaitable<void> ClusterStateCache::unregister()
{
    // Revoking a lease of an earlier era would end that of another instance.
    if (this->lease == StoreLease() || this->lease.era() < this->storeEra())
        co_return;
    const Status ended = co_await this->store.revokeLease(this->lease);
    this->lease = {};
    if (!ended)
        this->log.write(LogCategory::ProcessState, "lease-not-ended", { { "reason", describe(ended.error()) } });
}

bool ClusterStateCache::isChangedFor(const PeerCopy& copy, const StoreItem& item) const
{
    // A configuration that was kept from an earlier era has a lower revision than the peer's copy.
    return item.modificationRevision > copy.operatorItemsRevision
        || (copy.configurationVersion && *copy.configurationVersion < this->activeVersion()
            && this->codec.isConfiguration(item.key));
}

void ClusterStateCache::notePeerCopy(const PeerCopy& copy)
{
    if (!copy.configurationVersion || !this->isNewerConfiguration(*copy.configurationVersion))
        return;
    const std::vector<InstanceHeartbeat> alive = this->membership.aliveInstances();
    const auto isPeer
        = [&copy](const InstanceHeartbeat& heartbeat) { return toDottedDecimal(heartbeat.address) == copy.address; };
    if (std::none_of(alive.begin(), alive.end(), isPeer))
        return;
    this->reportedConfigurationVersion = std::max(this->reportedConfigurationVersion, *copy.configurationVersion);
    this->startOperatorItemsFetch(copy.address);
}

Json::Value ClusterStateCache::encodeRecovery() const
{
    Json::Value section;
    section["era"] = static_cast<Json::Int64>(this->recovery.era());
    section["remainingMs"] = static_cast<Json::Int64>(this->recovery.remaining().count());
    section["evacuated"] = Json::Value(Json::arrayValue);
    for (const std::string& domain : this->recovery.retainedEvacuations())
        section["evacuated"].append(domain);
    section["departed"] = Json::Value(Json::arrayValue);
    for (const DepartedServers::Departure& departure : this->fleet.heldDepartures()) {
        Json::Value& entry = section["departed"].append(Json::Value());
        entry["id"] = departure.server.id;
        entry["startedAtMs"] = static_cast<Json::Int64>(departure.server.startedAtMs);
        entry["isFinal"] = departure.isFinal;
    }
    return section;
}

void ClusterStateCache::joinRecovery(const Json::Value& section, const std::string& address)
{
    if (!section.isObject() || eraOf(section) <= this->recovery.era() || !section["remainingMs"].isInt64()
        || !section["evacuated"].isArray() || !section["departed"].isArray())
        return;
    this->recovery.join(eraOf(section), Milliseconds(section["remainingMs"].asInt64()));
    for (const Json::Value& domain : section["evacuated"]) {
        if (domain.isString())
            this->recovery.retainEvacuation(domain.asString());
    }
    std::vector<DepartedServers::Departure> departures;
    for (const Json::Value& entry : section["departed"]) {
        if (entry.isObject() && entry["id"].isString() && entry["startedAtMs"].isInt64() && entry["isFinal"].isBool())
            departures.push_back(
                { { entry["id"].asString(), entry["startedAtMs"].asInt64() }, entry["isFinal"].asBool() });
    }
    this->log.write(LogCategory::ProcessState, "store-recovery-joined",
        { { "era", this->recovery.era() }, { "peer", address },
            { "departed", static_cast<uint64_t>(departures.size()) },
            { "evacuations", static_cast<uint64_t>(section["evacuated"].size()) },
            { "remaining_ms", this->recovery.remaining().count() } });
    this->fleet.holdDepartedServers(departures, this->recovery.endTime());
    this->applyEvacuations("peer");
}

Json::Value ClusterStateCache::changedOperatorItems(const PeerCopy& copy) const
{
    Json::Value items(Json::arrayValue);
    for (const auto& [key, item] : this->operatorItems) {
        if (this->isChangedFor(copy, item))
            items.append(toJson(item, this->operatorItemsRevision.era()));
    }
    return items;
}

void ClusterStateCache::describeOperatorItems(Json::Value& section, const Json::Value& changedItems) const
{
    section["hash"] = static_cast<Json::UInt64>(this->operatorItemsHash);
    section["configuration"] = static_cast<Json::UInt64>(this->activeVersion());
    section["items"] = changedItems;
    section["keys"] = Json::Value(Json::arrayValue);
    for (const auto& [key, item] : this->operatorItems)
        section["keys"].append(key);
}

std::string ClusterStateCache::encodeOperatorItemsForPeer(const PeerCopy& copy)
{
    if (this->operatorItemsRevision == StoreRevision::none())
        return {};
    uint64_t key = this->operatorItemsHash;
    for (const auto& [name, item] : this->operatorItems)
        key = hash64(this->isChangedFor(copy, item) ? "1" : "0", key);
    if (key != this->encodedOperatorItemsKey) {
        Json::Value section;
        this->describeOperatorItems(section, this->changedOperatorItems(copy));
        this->encodedOperatorItems = compress(encodeJson(section));
        this->encodedOperatorItemsKey = key;
    }
    return this->encodedOperatorItems;
}

std::string ClusterStateCache::encodeStateForPeer(const PeerCopy& copy) const
{
    const SteadyTime now = this->clock.now();
    // An object even while nothing is known yet, so that peers do not take the response for a malformed one.
    Json::Value state(Json::objectValue);
    if (this->recovery.isActive() && this->recovery.era() > copy.recoveryEra)
        state["recovery"] = this->encodeRecovery();
    if (this->operatorItemsRevision > StoreRevision::none()) {
        Json::Value& section = state["operator"];
        section["revision"] = static_cast<Json::Int64>(this->operatorItemsRevision.number());
        section["era"] = static_cast<Json::Int64>(this->operatorItemsRevision.era());
        section["configuration"] = static_cast<Json::UInt64>(this->activeVersion());
        section["hash"] = static_cast<Json::UInt64>(this->operatorItemsHash);
        section["ageMs"] = static_cast<Json::Int64>(this->operatorItemsAgeMs());
        // Instances of earlier releases tell no revision, and expect all items here.
        const bool isEarlierRelease = copy.operatorItemsRevision == StoreRevision::none();
        size_t changedBytes = 0;
        for (const auto& [key, item] : this->operatorItems)
            changedBytes += this->isChangedFor(copy, item) ? item.value.size() : 0;
        if (this->operatorItemsHash != copy.operatorItemsHash
            && (isEarlierRelease || changedBytes <= maximumInlineBytes))
            this->describeOperatorItems(section, this->changedOperatorItems(copy));
    }
    if (this->hasServerRecords) {
        Json::Value& section = state["servers"];
        const ServerRecordUpdate update = this->serverRecords.updateFor(copy.serverRecords);
        section["revision"] = static_cast<Json::Int64>(update.revision.number());
        section["era"] = static_cast<Json::Int64>(update.revision.era());
        section["hash"] = static_cast<Json::UInt64>(this->serverRecords.hash());
        section["ageMs"] = static_cast<Json::Int64>(millisecondsBetween(this->serverRecordsReadAt, now));
        section["whole"] = update.isFullListing;
        section["items"] = Json::Value(Json::arrayValue);
        section["removed"] = Json::Value(Json::arrayValue);
        for (const StoreItem& item : update.items)
            section["items"].append(toJson(item, update.revision.era()));
        for (const std::string& key : update.removed)
            section["removed"].append(key);
    }
    return encodeJson(state);
}

}
