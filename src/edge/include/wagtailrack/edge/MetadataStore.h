#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/edge/Http.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailrack::edge {

struct StoreItem {
    std::string key;
    std::string value;
    // Of the last change.
    int64_t modificationRevision = 0;

    friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

struct StoreListing {
    std::vector<StoreItem> items;
    // Of the store when it answered; a watch continues from here.
    int64_t revision = 0;

    friend bool operator==(const StoreListing&, const StoreListing&) = default;
};

// Keys that changed, each with its newest value.
struct StoreChanges {
    std::vector<StoreItem> written;
    std::vector<std::string> removed;
    int64_t revision = 0;
};

enum class ReadConsistency {
    Linearizable,
    // Cheaper; may be seconds old.
    Serializable,
};

// The key-value service in which the operators' configuration, the servers' records and the instances' own records lie.
// Every call fails with RateLimited, StoreUnavailable (nothing was done), OutcomeUnknown (a change may have been made)
// or AnswerInvalid. Used by the event loop's thread only.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;

    virtual asio::awaitable<Result<StoreListing>> list(std::string prefix, ReadConsistency freshness) = 0;
    // Waits up to `waitMs` for changes after `revision`. Fails with StaleVersion when that history is gone.
    virtual asio::awaitable<Result<StoreChanges>> watch(std::string prefix, int64_t revision, int64_t waitMs) = 0;
    // Writes a key that lives as long as the lease. Fails with NotFound when the lease has ended.
    virtual asio::awaitable<Status> put(std::string key, std::string value, int64_t lease) = 0;
    virtual asio::awaitable<Result<int64_t>> grantLease(int64_t ttlMs) = 0;
    // Fails with NotFound when the lease has ended.
    virtual asio::awaitable<Status> renewLease(int64_t lease) = 0;
    virtual asio::awaitable<Status> revokeLease(int64_t lease) = 0;
};

}
