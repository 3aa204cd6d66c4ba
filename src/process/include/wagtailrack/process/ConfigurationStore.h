#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Error.h>

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailrack::process {

struct StoredValue {
    std::string value;
    // Version of the key; compare-and-swap expects it.
    uint64_t version = 0;

    friend bool operator==(const StoredValue&, const StoredValue&) = default;
};

// The platform's key-value service. The only class to replace for a service with another wire format. Lives for the
// process; may be called by any thread. Every call ends by its deadline.
class ConfigurationStore {
public:
    virtual ~ConfigurationStore() = default;

    // Nothing when the key does not exist. Fails with StoreUnavailable, RateLimited or TimedOut.
    virtual Result<std::optional<StoredValue>> read(const std::string& key, SteadyTime deadline) = 0;

    // Writes if the key has `expectedVersion` (0: if it does not exist) and returns the new version. Fails with
    // VersionConflict when it has another one; with TooLarge, RateLimited or StoreUnavailable when nothing was
    // written; and with OutcomeUnknown when the write may or may not have taken effect.
    virtual Result<uint64_t> write(
        const std::string& key, const std::string& value, uint64_t expectedVersion, SteadyTime deadline)
        = 0;

    // Waits until the key has a version above `knownVersion` or the deadline passes; nothing in the latter case.
    virtual Result<std::optional<StoredValue>> watch(const std::string& key, uint64_t knownVersion, SteadyTime deadline)
        = 0;
};

}
