#include "Benchmark.h"

#include <wagtailrack/edge/WorkspaceDirectory.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace wagtailrack::bench {

// Keys of a deployment of today, and the number from which the cost of a look-up must not differ.
static constexpr size_t keyCounts[] = { 80, 100'000 };
static constexpr size_t keyBytes = 20;
static constexpr size_t keysPerWorkspace = 2;
// Keys that are looked up in turn. They fit into the processor's cache together, so that the figures show the cost of
// the look-up and not of memory that was not used for long.
static constexpr size_t usedKeys = 64;

static std::string makeKey(std::mt19937& random)
{
    std::string key;
    while (key.size() < keyBytes)
        key += static_cast<char>('a' + random() % 26);
    return key;
}

static void runLookups(size_t keyCount)
{
    constexpr size_t lookups = 500'000;
    std::mt19937 random(1);
    edge::WorkspaceDirectory directory;
    std::vector<std::string> known;
    for (size_t workspace = 0; workspace * keysPerWorkspace < keyCount; ++workspace) {
        edge::Workspace added;
        added.name = "workspace-" + std::to_string(workspace);
        std::vector<std::string> keys;
        for (size_t count = 0; count < keysPerWorkspace; ++count)
            keys.push_back(makeKey(random));
        known.push_back(keys.front());
        directory.add(added, keys);
    }
    std::shuffle(known.begin(), known.end(), random);
    known.resize(std::min(known.size(), usedKeys));
    // Wrong in the first, and only in the last character.
    std::vector<std::string> wrongFirst = known;
    std::vector<std::string> wrongLast = known;
    for (std::string& key : wrongFirst)
        key.front() = '0';
    for (std::string& key : wrongLast)
        key.back() = '0';
    size_t found = 0;
    const auto nanosecondsOf = [&](const std::vector<std::string>& keys) {
        return secondsOf([&] {
            for (size_t count = 0; count < lookups; ++count)
                found += directory.findByKey(keys[count % keys.size()]) ? 1 : 0;
        }) * 1e9
            / lookups;
    };
    const double knownNs = nanosecondsOf(known);
    const double wrongFirstNs = nanosecondsOf(wrongFirst);
    const double wrongLastNs = nanosecondsOf(wrongLast);
    std::printf("api-key-lookup keys=%zu known_ns=%.1f wrong_first_character_ns=%.1f wrong_last_character_ns=%.1f "
                "found=%zu\n",
        directory.keyCount(), knownNs, wrongFirstNs, wrongLastNs, found);
}

void runApiKeys()
{
    for (const size_t keyCount : keyCounts)
        runLookups(keyCount);
}

}
