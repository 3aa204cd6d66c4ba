#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/edge/Http.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wagtailrack::edge {

struct StoreItem {
    std::string key;
    std::string value;
    // Revision of the store at the last change of this key.
    int64_t modificationRevision = 0;

    friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

struct StoreListing {
    std::vector<StoreItem> items;
    // Revision of the store when it answered; a watch for later changes starts from it.
    int64_t revision = 0;

    friend bool operator==(const StoreListing&, const StoreListing&) = default;
};

// Changes after a revision: the keys that were written, each with its newest value, and the keys that were removed.
struct StoreChanges {
    std::vector<StoreItem> written;
    std::vector<std::string> removed;
    int64_t revision = 0;
};

enum class ReadConsistency {
    Linearizable,
    // Less work for the store; the result may be seconds old.
    Serializable,
};

// The key-value store that holds the operators' configuration, the records of the backend servers and the records of
// the instances. Every call may fail with RateLimited, StoreUnavailable (not executed), OutcomeUnknown (a write may
// have been executed) or AnswerInvalid. Used only on the event loop's thread.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    virtual asio::awaitable<Result<StoreListing>> list(std::string prefix, ReadConsistency freshness) = 0;
    // Waits up to `waitMs` for changes after `revision`. Fails with StaleVersion if the store no longer has the history
    // since `revision`. Calls `onAnswer` when the response begins to arrive; from then on the store reports no change.
    virtual asio::awaitable<Result<StoreChanges>> watch(
        std::string prefix, int64_t revision, int64_t waitMs, std::function<void()> onAnswer)
        = 0;
    // Writes a key that the store removes when the lease ends. Fails with NotFound if the lease has already ended.
    virtual asio::awaitable<Status> put(std::string key, std::string value, int64_t lease) = 0;
    virtual asio::awaitable<Result<int64_t>> grantLease(int64_t ttlMs) = 0;
    // Fails with NotFound if the lease has already ended.
    virtual asio::awaitable<Status> renewLease(int64_t lease) = 0;
    virtual asio::awaitable<Status> revokeLease(int64_t lease) = 0;
};

}
