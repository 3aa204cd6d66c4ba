#include "StoreWatcher.h"

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/base/Random.h>
#include <wagtailrack/process/TableStore.h>

#include <glog/logging.h>

#include <algorithm>

namespace wagtailrack::process {

namespace {

constexpr char headKey[] = "wagtailrack/head";
constexpr char chunkPrefix[] = "wagtailrack/chunk/";

// Watchers in each failure domain: one may be paused without delaying an edit.
constexpr size_t watchersInFailureDomain = 2;
// A watch ends after this time, which bounds the time of stop(). With 112 watchers it costs 28 calls a second.
constexpr Milliseconds watchTime { 4000 };
constexpr Milliseconds callTimeout { 2000 };
constexpr Milliseconds pollInterval { 30'000 };
// A watch is silent when the store is restored from an older copy, and when it has hung; so watchers also read. With
// 112 watchers it costs 11 calls a second.
constexpr Milliseconds watcherPollInterval { 10'000 };
// How often an instance checks whether it has become a watcher.
constexpr Milliseconds roleCheckInterval { 1000 };
// After a failed call. Watchers of all failure domains come back at different times.
constexpr Milliseconds firstRetry { 250 };
constexpr Milliseconds longestRetry { 4000 };
// Spread of the repairs of all watchers; most of them then find it done.
constexpr Milliseconds repairSpread { 1500 };
constexpr Milliseconds repairTime { 4000 };

Milliseconds randomUpTo(Milliseconds bound) { return Milliseconds(randomBelow(static_cast<uint64_t>(bound.count()))); }

}

StoreWatcher::StoreWatcher(const FollowerParts& followerParts, VersionKeeper& versionKeeper)
    : parts(followerParts)
    , keeper(versionKeeper)
    , thread([this] { this->run(); })
{
}

StoreWatcher::~StoreWatcher()
{
    this->requestStop();
    this->thread.join();
}

void StoreWatcher::requestStop() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->wakeUp.notify_all();
}

bool StoreWatcher::waitUntil(SteadyTime deadline)
{
    std::unique_lock lock(this->mutex);
    return !this->wakeUp.wait_until(lock, deadline, [this] { return this->isStopping; });
}

bool StoreWatcher::ranksAmongWatchers() const
{
    const Member self = this->parts.membership.self();
    const uint64_t own = hash64(self.name);
    size_t before = 0;
    for (const Member& member : this->parts.membership.records(self.failureDomain)) {
        const bool isCandidate = member.name != self.name && member.status == MemberStatus::Alive;
        if (isCandidate && hash64(member.name) > own)
            ++before;
    }
    return before < watchersInFailureDomain;
}

void StoreWatcher::run()
{
    Milliseconds retry = firstRetry;
    SteadyTime nextPoll = this->parts.clock.now();
    bool isAvailable = true;
    while (this->waitUntil(this->parts.clock.now())) {
        this->watching = this->ranksAmongWatchers();
        const bool isPollDue = this->parts.clock.now() >= nextPoll;
        if (!isPollDue && !this->watching) {
            if (!this->waitUntil(std::min(nextPoll, this->parts.clock.now() + roleCheckInterval)))
                return;
            continue;
        }
        const Status status = isPollDue ? this->poll() : this->watch();
        if (isPollDue) {
            const Milliseconds interval = this->watching ? watcherPollInterval : pollInterval;
            nextPoll = this->parts.clock.now() + interval / 2 + randomUpTo(interval);
        }
        if (status.has_value() != isAvailable) {
            isAvailable = status.has_value();
            LOG(WARNING) << "event=store-" << (isAvailable ? "available" : "unavailable")
                         << (isAvailable ? std::string() : " error=\"" + describe(status.error()) + '"');
        }
        if (status) {
            retry = firstRetry;
            continue;
        }
        if (!this->waitUntil(this->parts.clock.now() + retry / 2 + randomUpTo(retry)))
            return;
        retry = std::min(retry * 2, longestRetry);
    }
}

Status StoreWatcher::poll()
{
    const auto stored = this->parts.store.read(headKey, this->parts.clock.now() + callTimeout);
    return stored ? this->consider(stored.value()) : Status(stored.error());
}

Status StoreWatcher::watch()
{
    const auto stored = this->parts.store.watch(headKey, this->knownVersion, this->parts.clock.now() + watchTime);
    if (!stored)
        return stored.error();
    return stored.value() ? this->consider(stored.value()) : success();
}

Status StoreWatcher::consider(const std::optional<StoredValue>& stored)
{
    version::Head head;
    if (stored) {
        auto decoded = version::decodeHead(stored->value, headKey);
        if (!decoded)
            return decoded.error();
        head = std::move(decoded).value();
    }
    Status status = success();
    switch (version::judgeAdoption(this->keeper.activeId(), head)) {
    case version::Adoption::Adopt:
        if (stored && this->keeper.isWanted(head.id))
            status = this->adoptFromStore(head);
        break;
    case version::Adoption::AlreadyActive:
        break;
    case version::Adoption::Older:
    case version::Adoption::Conflict:
        if (this->watching)
            status = this->repair();
        break;
    }
    // A version that could not be loaded is seen again by the next watch.
    if (status)
        this->knownVersion = stored ? stored->version : 0;
    return status;
}

Status StoreWatcher::adoptFromStore(const version::Head& head)
{
    const auto source = [this](const std::string& hash) -> Result<std::string> {
        auto chunk = this->parts.store.read(chunkPrefix + hash, this->parts.clock.now() + callTimeout);
        if (!chunk)
            return chunk.error();
        if (!chunk.value())
            return makeError(ErrorCode::NotFound, "chunk " + hash, "the store does not have the chunk");
        return std::move(chunk.value()->value);
    };
    auto loaded = version::assembleVersion(head, this->keeper.active(), source);
    if (!loaded) {
        if (!isInvalidVersion(loaded.error()))
            return loaded.error();
        this->keeper.reject(head.id, loaded.error());
        return success();
    }
    this->keeper.adopt(loaded.value(), "store");
    return success();
}

Status StoreWatcher::repair()
{
    if (!this->waitUntil(this->parts.clock.now() + randomUpTo(repairSpread)))
        return success();
    const SteadyTime deadline = this->parts.clock.now() + repairTime;
    TableStore tables(this->parts.store, this->parts.clock);
    const auto seen = tables.readHead(deadline);
    if (!seen)
        return seen.error();
    const auto active = this->keeper.active();
    const version::Adoption judgement = version::judgeAdoption(active->id, seen.value().head);
    // Another instance has repaired the store.
    if (judgement == version::Adoption::Adopt || judgement == version::Adoption::AlreadyActive)
        return success();
    const char* action = "joined";
    Status status = makeError(ErrorCode::EditConflict, TableStore::headKey, "not a part of the active history");
    if (judgement == version::Adoption::Older) {
        status = tables.writeBack(active, seen.value(), deadline);
        if (status)
            action = "written-back";
    }
    if (!status && status.error().code == ErrorCode::EditConflict) {
        const auto joined = tables.reconcile(active, seen.value(), deadline);
        status = joined ? Status(success()) : Status(joined.error());
    }
    if (!status && status.error().code == ErrorCode::EditConflict) {
        // Both histories changed one record; only an operator can end this.
        this->keeper.reportConflict(seen.value().head.id, "store");
        return success();
    }
    if (!status)
        return status;
    LOG(WARNING) << "event=version-" << action << " generation=" << active->id.generation
                 << " store_generation=" << seen.value().head.id.generation;
    this->parts.timeline.record(EventKind::VersionConflict, std::to_string(active->id.generation),
        std::string(action) + " store_generation=" + std::to_string(seen.value().head.id.generation));
    return success();
}

}
