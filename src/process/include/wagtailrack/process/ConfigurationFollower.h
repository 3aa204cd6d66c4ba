#pragma once

#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/process/ConfigurationStore.h>
#include <wagtailrack/process/Membership.h>
#include <wagtailrack/process/PeerTraffic.h>
#include <wagtailrack/process/Timeline.h>
#include <wagtailrack/version/TableVersion.h>

#include <functional>
#include <memory>
#include <string>

namespace wagtailrack::process {

// What a follower needs to get versions. All references outlive stop().
struct FollowerParts {
    const Clock& clock;
    Timeline& timeline;
    const Membership& membership;
    ConfigurationStore& store;
    PeerTraffic& traffic;
    // Tells peers that this instance has adopted a version.
    std::function<void(const version::VersionId&)> announce;
    // Called after each adoption, by the thread that adopted; may be empty.
    std::function<void(const version::TableVersionPointer&)> onActive;
};

// Owns the active version. Watches the store when this instance is one of the two watchers of its failure domain,
// polls it otherwise, and fetches versions from peers that have a newer one. Lives for the process; every function may
// be called by any thread, and active() is cheap.
//
//     ConfigurationFollower follower;
//     follower.start({ clock, timeline, membership, store, traffic, announce, onActive });
//     const version::TableVersionPointer tables = follower.active();
class ConfigurationFollower {
public:
    ConfigurationFollower();
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower&) = delete;
    ConfigurationFollower& operator=(const ConfigurationFollower&) = delete;

    void start(FollowerParts parts);
    // Returns within a few seconds: a pending watch of the store is not interrupted.
    void stop();
    // The threads end soon; stop() then waits for less.
    void requestStop() noexcept;

    // Null until a version has been adopted.
    version::TableVersionPointer active() const noexcept;
    // Generation 0 until a version has been adopted.
    version::VersionId activeId() const;

    // Adopts a version if version::judgeAdoption() says so; false otherwise. A conflict is recorded.
    bool adopt(const version::TableVersionPointer& candidate);

    // A peer has this version. Fetches it if it is newer; returns at once.
    void seen(const version::VersionId& id, const Endpoint& source);

    // Whether this instance watches the store now; for `status`.
    bool isWatching() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
