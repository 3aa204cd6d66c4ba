#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace wagtailrack::process {

// Names of members whose state has changed, with the number of times that each is still to be sent. Owned by
// Membership, which locks it.
class UpdateQueue {
public:
    // `members` is the number of known members; news reaches all of them after about log2(members) rounds.
    void add(const std::string& name, size_t members);

    // At most `limit` names, those sent least often first.
    std::vector<std::string> take(size_t limit);

private:
    std::map<std::string, int> remaining;
};

}
