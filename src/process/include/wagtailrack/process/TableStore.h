#pragma once

#include <wagtailrack/process/ConfigurationStore.h>
#include <wagtailrack/version/TableVersion.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::process {

// The head as read from the store. The generation is 0 and the key version 0 when the store has no tables.
struct StoredHead {
    version::Head head;
    // Version of the head's key; compare-and-swap expects it.
    uint64_t keyVersion = 0;

    friend bool operator==(const StoredHead&, const StoredHead&) = default;
};

// The tables in the store: chunks by content hash, one manifest for each version, and the head as the only commit
// point. Has no state of its own, so any thread may call it; `store` must outlive it.
//
//     TableStore tables(store, clock);
//     auto seen = tables.readHead(deadline);
//     if (seen && version::mayAdopt(active->id, seen.value().head))
//         auto version = tables.load(seen.value().head, active, deadline);
class TableStore {
public:
    static constexpr const char* headKey = "wagtailrack/head";
    static constexpr Milliseconds defaultRetryPause { 50 };

    // `retryPause` is the wait before a call is repeated that the store refused or did not answer.
    TableStore(ConfigurationStore& store, const Clock& clock, Milliseconds retryPause = defaultRetryPause);

    // Fails as ConfigurationStore::read(), and as decodeHead() when the key holds something else.
    Result<StoredHead> readHead(SteadyTime deadline);

    // Reads a watched value of the head's key.
    static Result<StoredHead> decode(const StoredValue& value);

    // Reads the chunks that `known` (may be null) does not have, and builds the version. Fails with NotFound when a
    // chunk is missing.
    Result<version::TableVersionPointer> load(
        const version::Head& head, const version::TableVersionPointer& known, SteadyTime deadline);

    // Reads an earlier version of the history by its manifest. Fails with NotFound without one.
    Result<version::TableVersionPointer> loadEarlier(
        const version::VersionId& id, const version::TableVersionPointer& known, SteadyTime deadline);

    // Makes both texts the next version after `base` and returns its id. The texts must be valid. A lost reply is
    // resolved by the edit id: an edit that is in the history counts as done, even when others followed it. Fails
    // with VersionConflict when another edit came first, and with StaleVersion when the store no longer has `base`
    // in its history; in both cases and for RateLimited, StoreUnavailable, TimedOut and TooLarge nothing was
    // changed. Fails with OutcomeUnknown when a reply was lost and the history does not show the edit, or the
    // deadline passed before it could be read.
    Result<version::VersionId> publish(const StoredHead& base, const std::string& editId, const std::string& routesText,
        const std::string& poolsText, SteadyTime deadline);

    // Writes the active version back to a store whose head `seen` is older, which happens after a restore from an
    // older copy. Success also when another writer was faster with this version or a later one of its history. Fails
    // with EditConflict when `seen` is not part of the active version's history: the restored store was edited. Then
    // nothing is changed and reconcile() applies.
    Status writeBack(const version::TableVersionPointer& active, const StoredHead& seen, SteadyTime deadline);

    // Joins the active version with a store that went on from an older copy, so that no accepted edit of either
    // history is lost: merges both by record against their last common version and publishes the result above both.
    // Every instance may call it; only one commit succeeds. Fails with EditConflict when both changed the same
    // record, with NotFound when the common version is not in the store, and as publish().
    Result<version::VersionId> reconcile(
        const version::TableVersionPointer& active, const StoredHead& seen, SteadyTime deadline);

private:
    // What the current head says about a commit that was tried.
    using Verdict = std::function<std::optional<Status>(const StoredHead& current, bool wasSent)>;

    // A version as it is written: chunks and manifest.
    struct Content {
        const version::Head& head;
        const std::string& routesText;
        const std::string& poolsText;
    };

    // Writes the contents, then the head of the first one; asks `verdict` before each try.
    Status commit(
        const StoredHead& base, const std::vector<Content>& contents, const Verdict& verdict, SteadyTime deadline);
    // Skips chunks that `base` names.
    Status writeContent(const version::Head& base, const Content& content, SteadyTime deadline);
    // Create-if-absent of immutable content, repeated until it is certain.
    Status writeOnce(const std::string& key, const std::string& value, SteadyTime deadline);
    // False when the deadline would pass.
    bool pause(SteadyTime deadline) const;

    ConfigurationStore& store;
    const Clock& clock;
    Milliseconds retryPause;
};

}
