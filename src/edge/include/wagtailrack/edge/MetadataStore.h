#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/StoreRevision.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wagtailrack::edge {

struct StoreItem {
    std::string key;
    std::string value;
    // Revision of the store at the last change of this key, in the era in which the item was read.
    StoreRevision modificationRevision;

    friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

struct StoreListing {
    std::vector<StoreItem> items;
    // Revision of the store when it answered; a watch for later changes starts from it.
    StoreRevision revision;

    friend bool operator==(const StoreListing&, const StoreListing&) = default;
};

// Changes after a revision: the keys that were written, each with its newest value, and the keys that were removed.
struct StoreChanges {
    std::vector<StoreItem> written;
    std::vector<std::string> removed;
    StoreRevision revision;
};

enum class ReadConsistency {
    Linearizable,
    // Less work for the store; the result may be seconds old.
    Serializable,
};

// The key-value store that holds the operators' configuration, the records of the backend servers and the records of
// the instances. Every call may fail with RateLimited, StoreUnavailable (not executed), OutcomeUnknown (a write may
// have been executed) or AnswerInvalid. A call during which the era of the store changes fails with StaleVersion, so
// that no result mixes two eras. Used only on the event loop's thread.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    // The highest era that a response has told of; 0 if the store tells none.
    virtual int64_t latestEra() const = 0;

    virtual asio::awaitable<Result<StoreListing>> list(std::string prefix, ReadConsistency freshness) = 0;
    // Waits up to `waitMs` for changes after `revision`. Fails with StaleVersion if the store no longer has the history
    // since `revision`, or has left its era. Calls `onAnswer` when the response begins to arrive; from then on the
    // store reports no change.
    virtual asio::awaitable<Result<StoreChanges>> watch(
        std::string prefix, StoreRevision revision, int64_t waitMs, std::function<void()> onAnswer)
        = 0;
    // Writes a key that the store removes when the lease ends. Fails with NotFound if the lease has already ended; a
    // lease ends with its era.
    virtual asio::awaitable<Status> put(std::string key, std::string value, StoreLease lease) = 0;
    virtual asio::awaitable<Result<StoreLease>> grantLease(int64_t ttlMs) = 0;
    // Fails with NotFound if the lease has already ended.
    virtual asio::awaitable<Status> renewLease(StoreLease lease) = 0;
    virtual asio::awaitable<Status> revokeLease(StoreLease lease) = 0;
};

}
