#include <wagtailrack/process/ConfigurationFollower.h>

#include "PeerFetcher.h"
#include "StoreWatcher.h"
#include "VersionKeeper.h"

#include <optional>

namespace wagtailrack::process {

class ConfigurationFollower::Implementation {
public:
    VersionKeeper keeper;
    std::optional<FollowerParts> parts;
    // Guards the pointers; the threads behind them live from start() to stop().
    std::mutex mutex;
    std::unique_ptr<PeerFetcher> fetcher;
    std::unique_ptr<StoreWatcher> watcher;
};

ConfigurationFollower::ConfigurationFollower()
    : implementation(std::make_unique<Implementation>())
{
}

ConfigurationFollower::~ConfigurationFollower() { this->stop(); }

void ConfigurationFollower::start(FollowerParts parts)
{
    Implementation& state = *this->implementation;
    const std::lock_guard lock(state.mutex);
    state.parts.emplace(std::move(parts));
    state.keeper.setObservers(
        { &state.parts->timeline, [&followerParts = *state.parts](const version::TableVersionPointer& version) {
             followerParts.announce(version->id);
             if (followerParts.onActive)
                 followerParts.onActive(version);
         } });
    state.fetcher = std::make_unique<PeerFetcher>(*state.parts, state.keeper);
    state.watcher = std::make_unique<StoreWatcher>(*state.parts, state.keeper);
}

void ConfigurationFollower::requestStop() noexcept
{
    const std::lock_guard lock(this->implementation->mutex);
    if (this->implementation->watcher)
        this->implementation->watcher->requestStop();
    if (this->implementation->fetcher)
        this->implementation->fetcher->requestStop();
}

void ConfigurationFollower::stop()
{
    this->requestStop();
    std::unique_ptr<PeerFetcher> fetcher;
    std::unique_ptr<StoreWatcher> watcher;
    {
        const std::lock_guard lock(this->implementation->mutex);
        fetcher = std::move(this->implementation->fetcher);
        watcher = std::move(this->implementation->watcher);
    }
}

version::TableVersionPointer ConfigurationFollower::active() const noexcept
{
    return this->implementation->keeper.active();
}

version::VersionId ConfigurationFollower::activeId() const { return this->implementation->keeper.activeId(); }

bool ConfigurationFollower::adopt(const version::TableVersionPointer& candidate)
{
    return this->implementation->keeper.adopt(candidate, "local");
}

void ConfigurationFollower::seen(const version::VersionId& id, const Endpoint& source)
{
    Implementation& state = *this->implementation;
    const version::VersionId active = state.keeper.activeId();
    if (id.generation != 0 && id.generation == active.generation && id.digest != active.digest)
        state.keeper.reportConflict(id, source.toString());
    if (!state.keeper.isWanted(id))
        return;
    const std::lock_guard lock(state.mutex);
    if (state.fetcher)
        state.fetcher->want(id, source);
}

bool ConfigurationFollower::isWatching() const noexcept
{
    const std::lock_guard lock(this->implementation->mutex);
    return this->implementation->watcher && this->implementation->watcher->isWatching();
}

}
