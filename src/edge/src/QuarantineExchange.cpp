#include <wagtailrack/edge/QuarantineExchange.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <sstream>

namespace wagtailrack::edge {

namespace {

constexpr Milliseconds summaryInterval(1000);
// Instances that are sent a summary. Each instance gets as many on average.
constexpr size_t summaryTargets = 2;
constexpr Milliseconds storeExchangeInterval(1000);
constexpr const char* quarantinedState = "quarantined";
constexpr const char* clearedState = "cleared";
// Time by which the stored time of the last request is behind when the entry is written again.
constexpr std::chrono::minutes refreshTime = CrashQuarantine::retentionTime / 2;
// Older entries have expired; the limit keeps the arithmetic with times of other writers in range.
constexpr int64_t maximumAgeMs = std::chrono::duration_cast<Milliseconds>(2 * CrashQuarantine::retentionTime).count();

}

QuarantineExchange::QuarantineExchange(const Clock& clock, CrashQuarantine& quarantine,
    const InstanceMembership& membership, MetadataStore& store, const ClusterCodec& codec, process::Metrics& metrics,
    EventLog& log)
    : clock(clock)
    , quarantine(quarantine)
    , membership(membership)
    , store(store)
    , codec(codec)
    , metrics(metrics)
    , log(log)
{
}

std::vector<QuarantineExchange::Datagram> QuarantineExchange::collectDueDatagrams()
{
    this->quarantine.update();
    std::vector<Datagram> due;
    const SteadyTime now = this->clock.now();
    const uint32_t ownAddress = this->membership.ownHeartbeat().address;
    for (const QuarantineMessage& message : this->quarantine.collectNews()) {
        const std::string bytes = encodeLoadMessage(message);
        // Includes instances that may be cut off from this one only.
        for (const InstanceHeartbeat& heartbeat : this->membership.sharingInstances()) {
            if (heartbeat.address != ownAddress)
                due.push_back({ heartbeat.address, bytes });
        }
    }
    if (now < this->nextSummaryAt)
        return due;
    this->nextSummaryAt = now + summaryInterval;
    const QuarantineMessage summary = this->quarantine.nextSummary();
    const std::vector<InstanceHeartbeat> alive = this->membership.aliveInstances();
    if (summary.isEmpty() || alive.size() < 2)
        return due;
    const std::string bytes = encodeLoadMessage(summary);
    for (size_t count = 0; count < summaryTargets; ++count) {
        // The first entry is this instance.
        const InstanceHeartbeat& target = alive[1 + randomBelow(alive.size() - 1)];
        due.push_back({ target.address, bytes });
    }
    return due;
}

bool QuarantineExchange::receive(std::string_view bytes)
{
    const auto message = decodeLoadMessage<QuarantineMessage>(bytes);
    if (!message)
        return false;
    this->quarantine.merge(*message);
    return true;
}

std::string QuarantineExchange::encode(const StoredEntry& entry) const
{
    const auto unixMs = [this](SteadyTime time) {
        const auto age = std::chrono::duration_cast<Milliseconds>(this->clock.now() - time);
        return toUnixMilliseconds(this->clock.wallNow()) - age.count();
    };
    std::ostringstream text;
    text << (entry.isCleared ? clearedState : quarantinedState) << ' ' << unixMs(entry.beganAt) << ' '
         << unixMs(entry.lastRequestAt);
    return text.str();
}

std::optional<QuarantineExchange::StoredEntry> QuarantineExchange::decode(const StoreItem& item) const
{
    std::istringstream text(item.value);
    std::string state;
    int64_t beganUnixMs = 0;
    int64_t lastRequestUnixMs = 0;
    if (!(text >> state >> beganUnixMs >> lastRequestUnixMs) || (state != clearedState && state != quarantinedState))
        return std::nullopt;
    // The clocks of the instances differ, so that a time may seem to lie in the future.
    const auto steadyTime = [this](int64_t unixMs) {
        const int64_t ageMs = toUnixMilliseconds(this->clock.wallNow()) - unixMs;
        return this->clock.now() - Milliseconds(std::clamp<int64_t>(ageMs, 0, maximumAgeMs));
    };
    return StoredEntry { state == clearedState, steadyTime(beganUnixMs), steadyTime(lastRequestUnixMs),
        item.modificationRevision };
}

void QuarantineExchange::applyListing(const StoreListing& listing)
{
    const size_t prefixSize = this->codec.layout().quarantinePrefix.size();
    std::map<RequestFingerprint, StoredEntry> present;
    for (const StoreItem& item : listing.items) {
        const auto request = parseFingerprint(std::string_view(item.key).substr(prefixSize));
        const auto entry = this->decode(item);
        if (!request || !entry) {
            this->log.write(LogCategory::Request, "quarantine-entry-refused", { { "key", item.key } });
            continue;
        }
        const auto known = this->stored.find(*request);
        const bool isKnown = known != this->stored.end() && known->second.revision == entry->revision;
        present[*request] = isKnown ? known->second : *entry;
        if (isKnown)
            continue;
        if (entry->isCleared)
            this->quarantine.adoptClearance(*request, entry->beganAt);
        else
            this->quarantine.adoptQuarantine(*request, entry->beganAt, entry->lastRequestAt);
    }
    this->stored = std::move(present);
}

asio::awaitable<void> QuarantineExchange::write(RequestFingerprint request, StoredEntry entry)
{
    const int64_t ttlMs = std::chrono::duration_cast<Milliseconds>(CrashQuarantine::retentionTime).count();
    Result<StoreLease> lease = co_await this->store.grantLease(ttlMs);
    Status written = lease ? success() : Status(lease.error());
    const std::string key = this->codec.layout().quarantinePrefix + toString(request);
    const std::string value = this->encode(entry);
    if (lease)
        written = co_await this->store.put(key, value, lease.value());
    this->metrics.count("wagtailrack_store_calls_total",
        "call=\"put-quarantine\",outcome=\"" + std::string(written ? "done" : "failed") + "\"");
    if (!written)
        this->log.write(LogCategory::ProcessState, "quarantine-not-stored",
            { { "request", toString(request) }, { "reason", describe(written.error()) } });
}

asio::awaitable<void> QuarantineExchange::writeMissing()
{
    std::map<RequestFingerprint, StoredEntry> missing;
    for (const CrashQuarantine::Entry& entry : this->quarantine.entries()) {
        const auto known = this->stored.find(entry.request);
        const bool isStored = known != this->stored.end() && !known->second.isCleared
            && entry.lastRequestAt - known->second.lastRequestAt < refreshTime;
        if (entry.isQuarantined() && !isStored)
            missing[entry.request] = { false, entry.beganAt, entry.lastRequestAt, {} };
    }
    for (const auto& [request, clearedAt] : this->quarantine.clearedRequests()) {
        const auto known = this->stored.find(request);
        if (known != this->stored.end() && !known->second.isCleared && known->second.beganAt <= clearedAt)
            missing[request] = { true, clearedAt, clearedAt, {} };
    }
    for (const auto& [request, entry] : missing)
        co_await this->write(request, entry);
}

asio::awaitable<void> QuarantineExchange::exchangeWithStore(bool isReader)
{
    const SteadyTime now = this->clock.now();
    if ((!isReader && this->hasReadStore) || now < this->nextExchangeAt)
        co_return;
    this->nextExchangeAt = now + storeExchangeInterval;
    const std::string prefix = this->codec.layout().quarantinePrefix;
    Result<StoreListing> listing = co_await this->store.list(prefix, ReadConsistency::Serializable);
    this->metrics.count("wagtailrack_store_calls_total",
        "call=\"list-quarantine\",outcome=\"" + std::string(listing ? "done" : "failed") + "\"");
    if (!listing)
        co_return;
    this->hasReadStore = true;
    this->applyListing(listing.value());
    if (isReader)
        co_await this->writeMissing();
}

}
