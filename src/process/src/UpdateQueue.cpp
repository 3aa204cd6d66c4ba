#include "UpdateQueue.h"

#include <algorithm>
#include <bit>

namespace wagtailrack::process {

namespace {

// Rounds for each doubling of the number of members. Three reach all members with a probability above 99.9% when one
// message in ten is lost.
constexpr int roundsPerDoubling = 3;

}

void UpdateQueue::add(const std::string& name, size_t members)
{
    this->remaining[name] = roundsPerDoubling * static_cast<int>(std::bit_width(members));
}

std::vector<std::string> UpdateQueue::take(size_t limit)
{
    std::vector<std::pair<int, std::string>> candidates;
    candidates.reserve(this->remaining.size());
    for (const auto& [name, rounds] : this->remaining)
        candidates.emplace_back(-rounds, name);
    const size_t count = std::min(limit, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count), candidates.end());
    std::vector<std::string> names;
    for (size_t index = 0; index < count; ++index) {
        const std::string& name = candidates[index].second;
        names.push_back(name);
        if (--this->remaining[name] == 0)
            this->remaining.erase(name);
    }
    return names;
}

}
