#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// A record that both sides changed, in different ways. A side without the record has an empty text.
struct MergeConflict {
    // Table and record, for example "pools.toml pool.server 127.0.0.1:9001 of price-stock".
    std::string record;
    std::string baseText;
    std::string ownText;
    std::string otherText;

    friend bool operator==(const MergeConflict&, const MergeConflict&) = default;
};

struct TableMerge {
    // Meaningful without conflicts only.
    std::string text;
    std::vector<MergeConflict> conflicts;
    // Records that the own side changed.
    std::vector<std::string> ownChanges;
};

// Merges one table by record. Records are matched by their names (client blocks by prefix, servers by pool and
// address); a record includes the comment lines directly above it. The result has the order and the comments of
// `own`, with the other side's changes put in. A text that cannot be taken apart, for example with records written as
// inline arrays, is merged as a whole. All three texts must be valid tables; the result can still be invalid, when
// changes of different records contradict each other.
TableMerge mergeTable(const std::string& table, std::string_view base, std::string_view own, std::string_view other);

}
