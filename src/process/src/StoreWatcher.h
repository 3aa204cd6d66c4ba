#pragma once

#include "VersionKeeper.h"

#include <wagtailrack/process/ConfigurationFollower.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace wagtailrack::process {

// The thread that reads the head from the store: by a watch when this instance ranks among the first two of its
// failure domain, by a slow poll otherwise. Writes the active version back when the store has lost it. Owned by
// ConfigurationFollower.
class StoreWatcher {
public:
    StoreWatcher(const FollowerParts& parts, VersionKeeper& keeper);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    StoreWatcher& operator=(const StoreWatcher&) = delete;

    void requestStop() noexcept;
    bool isWatching() const noexcept { return this->watching; }

private:
    void run();
    // False when the thread has to end.
    bool waitUntil(SteadyTime deadline);
    bool ranksAmongWatchers() const;
    Status poll();
    Status watch();
    Status consider(const std::optional<StoredValue>& stored);
    Status adoptFromStore(const version::Head& head);
    // Brings the store and the active version together after the store was restored from an older copy.
    Status repair();

    const FollowerParts& parts;
    VersionKeeper& keeper;
    uint64_t knownVersion = 0;
    std::atomic<bool> watching { false };
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool isStopping = false;
    std::thread thread;
};

}
