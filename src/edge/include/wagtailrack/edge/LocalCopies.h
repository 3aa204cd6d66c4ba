#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace wagtailrack::edge {

// Decides when a region is to have a server of its own that knows an object. As long as it has none, requests for the
// object go to the one server of all regions that knows it, which costs transfer and, where the way is long, answers
// that are late. Once these have cost as much as the one slow run that makes a server of the region know the object,
// that run is made: the sum is at most twice what the best decision in hindsight would have cost. Lives for the
// process; used by one thread.
class LocalCopies {
public:
    // Bytes between regions that weigh as much as one late answer.
    static constexpr double bytesPerLateAnswer = 40'000;
    // Objects remembered; beyond that the memory starts anew.
    static constexpr size_t maximumObjects = 20'000;

    // Whether the region's own server is to be used for the object.
    bool isWanted(uint64_t objectHash) const
    {
        const auto found = this->spent.find(objectHash);
        return found != this->spent.end() && found->second >= 1;
    }

    // An answer from another region. Each of the `instances` of this region sees its part of them.
    void recordRemoteAnswer(uint64_t objectHash, double bytes, bool wasLate, int instances)
    {
        if (this->spent.size() >= maximumObjects)
            this->spent.clear();
        this->spent[objectHash] += (bytes / bytesPerLateAnswer + (wasLate ? 1 : 0)) * instances;
    }

private:
    // In late answers, for the whole region.
    std::unordered_map<uint64_t, double> spent;
};

}
