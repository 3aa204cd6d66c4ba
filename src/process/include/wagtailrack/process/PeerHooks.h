#pragma once

#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/process/CrashGuard.h>
#include <wagtailrack/version/TableVersion.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::process {

// What peers tell each other about requests that crash backend servers.
struct CrashNews {
    std::vector<ServerDeath> deaths;
    std::vector<RefusedFingerprint> refused;

    friend bool operator==(const CrashNews&, const CrashNews&) = default;
};

// What the peer methods need of the objects that own versions and crash records. Every function is set before the
// first message, may be called by any thread and must not block on a peer.
struct PeerHooks {
    // Generation 0 while no version is active.
    std::function<version::VersionId()> activeVersion;
    // A peer at `source` has this version.
    std::function<void(const version::VersionId&, const Endpoint& source)> onVersionSeen;
    // Null while no version is active.
    std::function<version::TableVersionPointer()> active;
    // A peer has told news; the hook records it. Forwarding to other peers is done by PeerNetwork.
    std::function<void(const CrashNews&)> onCrashNews;
    // All that a new instance has to know.
    std::function<CrashNews()> knownCrashes;
};

}
