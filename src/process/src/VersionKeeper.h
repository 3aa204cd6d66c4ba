#pragma once

#include <wagtailrack/process/Timeline.h>
#include <wagtailrack/version/TableVersion.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace wagtailrack::process {

// The active version and the adoption rule, shared by the threads that get versions. Owned by ConfigurationFollower;
// may be called by any thread.
class VersionKeeper {
public:
    struct Observers {
        // Null without a timeline.
        Timeline* timeline = nullptr;
        std::function<void(const version::TableVersionPointer&)> onActive;
    };

    void setObservers(Observers observers);

    version::TableVersionPointer active() const noexcept { return this->current.load(); }
    version::VersionId activeId() const;

    // `source` says in logs and events where the version came from.
    bool adopt(const version::TableVersionPointer& candidate, const std::string& source);

    // Whether the version is newer and has not failed validation.
    bool isWanted(const version::VersionId& id) const;
    // The version failed validation: it is not fetched again.
    void reject(const version::VersionId& id, const Error& error);
    // Another version with the active generation, or one of another history, was seen; recorded once.
    void reportConflict(const version::VersionId& id, const std::string& source);

private:
    mutable std::mutex mutex;
    // Held during a whole adoption, so that observers see versions in order.
    std::mutex adoption;
    std::atomic<version::TableVersionPointer> current;
    std::vector<version::VersionId> rejected;
    std::vector<version::VersionId> conflicts;
    Observers observers;
};

// Whether an error of fetching a version says that the version itself is invalid. Other errors are worth another try.
bool isInvalidVersion(const Error& error) noexcept;

}
