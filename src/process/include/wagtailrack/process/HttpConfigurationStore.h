#pragma once

#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/process/ConfigurationStore.h>

namespace wagtailrack::process {

// The platform's key-value service over HTTP (docs/design.md, 4.4). Lives for the process; has no state, so any
// thread may call it. Each call uses a connection of its own: calls are few, and a connection that became
// unresponsive never delays a later call.
//
//     HttpConfigurationStore store(settings.storeAddress);
//     auto head = store.read("wagtailrack/head", clock.now() + Milliseconds(1000));
class HttpConfigurationStore final : public ConfigurationStore {
public:
    explicit HttpConfigurationStore(Endpoint endpoint);

    Result<std::optional<StoredValue>> read(const std::string& key, SteadyTime deadline) override;
    Result<uint64_t> write(
        const std::string& key, const std::string& value, uint64_t expectedVersion, SteadyTime deadline) override;
    Result<std::optional<StoredValue>> watch(
        const std::string& key, uint64_t knownVersion, SteadyTime deadline) override;

private:
    Endpoint endpoint;
};

}
