#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailrack::edge {

// A customer of the operator whose requests carry an API key, with what the configuration grants to it.
struct Workspace {
    std::string name;
    // Takes precedence over the route's priority; 0 is the highest.
    std::optional<int64_t> priority;
    // Usage limit over all instances together: requests per second, and the number of requests beyond this rate.
    // 0 requests per second: not limited.
    double requestsPerSecond = 0;
    double burst = 0;
    // Regions whose servers may execute the requests; empty allows all regions.
    std::vector<std::string> homeRegions;

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

// The workspaces of one configuration version and their API keys. Immutable once it is part of a RoutingTable.
//
// A lookup takes the same time for any number of keys, and its time does not depend on how much of a wrong key is
// right: keys are found by a hash with a secret seed, and compared in constant time.
class WorkspaceDirectory {
public:
    WorkspaceDirectory();
    // The indexes refer to the workspaces of the same object; these keep their addresses when it is moved.
    WorkspaceDirectory(const WorkspaceDirectory&) = delete;
    WorkspaceDirectory& operator=(const WorkspaceDirectory&) = delete;
    WorkspaceDirectory(WorkspaceDirectory&&) = default;
    WorkspaceDirectory& operator=(WorkspaceDirectory&&) = default;

    // Returns false if the name is taken by another workspace, or if another workspace holds one of the keys.
    bool add(Workspace workspace, const std::vector<std::string>& keys);

    bool isEmpty() const noexcept { return this->workspaces.empty(); }
    size_t workspaceCount() const noexcept { return this->workspaces.size(); }
    const std::deque<Workspace>& all() const noexcept { return this->workspaces; }
    size_t keyCount() const noexcept { return this->keysByHash.size(); }
    // The workspace that holds `key`; null if none does.
    const Workspace* findByKey(std::string_view key) const noexcept;
    const Workspace* findByName(std::string_view name) const noexcept;

private:
    struct Key {
        std::string text;
        const Workspace* workspace = nullptr;
    };

    uint64_t hashSeed;
    // A deque, because the maps refer to its elements.
    std::deque<Workspace> workspaces;
    std::map<std::string_view, const Workspace*> workspacesByName;
    std::unordered_multimap<uint64_t, Key> keysByHash;
};

}
