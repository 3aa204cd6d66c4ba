#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/version/VersionId.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// One accepted edit: the id that its operator's process chose, and the version that it produced.
struct Edit {
    std::string id;
    VersionId version;

    friend bool operator==(const Edit&, const Edit&) = default;
};

// The commit point of the tables in the store: names the current version, the chunks of both texts, and the edits
// that led to it. A value; peers exchange it in the same form.
//
//     auto head = decodeHead(value, "wagtailrack/head");
//     if (head && mayAdopt(active->id, head.value()))
//         fetchChunks(head.value());
struct Head {
    // The edits that a head keeps. At 1,600 edits a day the list covers about two hours.
    static constexpr size_t maxEdits = 128;

    VersionId id;
    // Content hashes, in the order of the text.
    std::vector<std::string> routesChunks;
    std::vector<std::string> poolsChunks;
    // Oldest first; the last one produced `id`.
    std::vector<Edit> edits;

    bool hasVersion(const VersionId& version) const noexcept;
    // Null when the edit is not, or no longer, in the list.
    const Edit* findEdit(std::string_view editId) const noexcept;
    // Whether every edit after `generation` is still in the list.
    bool reachesBackTo(uint64_t generation) const noexcept;

    friend bool operator==(const Head&, const Head&) = default;
};

// Compact JSON.
std::string encodeHead(const Head& head);

// Reads what encodeHead() wrote, and nothing else. `place` is where the text came from. Fails with SyntaxError,
// MissingKey, UnknownKey, WrongType, OutOfRange or TooLarge.
Result<Head> decodeHead(std::string_view text, const std::string& place);

// Head of the version that `edit` makes out of both texts on top of `previous` (empty for the first version).
Head nextHead(const Head& previous, const std::string& editId, std::string_view routesText, std::string_view poolsText);

// Head of the version that joins two histories: above both, with the edits of both, so that instances of either side
// adopt it.
Head joinedHead(const Head& first, const Head& second, const std::string& editId, std::string_view routesText,
    std::string_view poolsText);

// Latest version that both histories contain; generation 0 when their lists have none in common.
VersionId commonVersion(const Head& first, const Head& second);

enum class Adoption {
    // The head continues the active version's history.
    Adopt,
    AlreadyActive,
    // The head is older: a store restored from a copy, or a peer that has not caught up.
    Older,
    // The head belongs to another history: the active version is kept and the conflict reported.
    Conflict,
};

// The adoption rule, the only one that store watchers and peers use. A head is adopted if its generation is higher
// and, when its list of edits reaches back to the active generation, the active version is in the list. The second
// condition keeps an instance from following a restored store that went on from an older copy, which would take back
// accepted edits. A head whose list no longer reaches back is adopted: after more than Head::maxEdits edits without
// contact the histories cannot be compared, and an instance that was cut off for so long has to catch up.
// An `active` of generation 0 stands for no version.
Adoption judgeAdoption(const VersionId& active, const Head& head) noexcept;
bool mayAdopt(const VersionId& active, const Head& head) noexcept;

}
