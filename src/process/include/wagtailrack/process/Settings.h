#pragma once

#include <wagtailrack/base/Endpoint.h>

#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::process {

// The settings of one instance, read once at its start from a TOML file.
struct Settings {
    std::string name;
    std::string failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    // Where the process listens, if that differs from the addresses above, which others are told.
    Endpoint callerListenAddress;
    Endpoint peerListenAddress;
    // IPv4 address that outgoing connections use; empty lets the system choose.
    std::string localAddress;
    Endpoint storeAddress;
    Endpoint instanceListAddress;
    // Peer addresses to ask first; the platform's list adds others.
    std::vector<Endpoint> seeds;
    // Validity of look-up answers and order keys.
    int64_t lookupValidityMs = 10'000;
    int64_t orderKeyValidityMs = 30'000;
    // Time in which all peers learn that an instance leaves.
    int64_t leaveNoticeMs = 3'000;
    int64_t maxConnections = 1024;
    int64_t timelineEvents = 20'000;

    friend bool operator==(const Settings&, const Settings&) = default;
};

// Reads and checks a settings text. `file` is the name in error places. Unknown keys, wrong types and values out of
// range are errors that give file, line and key.
Result<Settings> parseSettings(std::string_view text, const std::string& file);

// Reads a whole file. Fails with Unreadable.
Result<std::string> readFile(const std::string& path);

}
