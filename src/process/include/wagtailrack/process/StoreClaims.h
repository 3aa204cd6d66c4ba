#pragma once

#include <wagtailrack/process/ConfigurationStore.h>

#include <compare>
#include <string>

namespace wagtailrack::process {

// Who may run the order of a caller's own key.
struct OrderClaim {
    std::string instance;
    std::string processId;
    // Steady milliseconds of the claiming process when it claimed; tells it whether its ledger still remembers.
    int64_t claimedAtMs = 0;

    friend auto operator<=>(const OrderClaim&, const OrderClaim&) = default;
};

// Claims callers' own keys in the store by create-if-absent, before an order is dispatched. A claim is never taken
// over, so it is safe under any pause; it costs one write for each order. Lives for the process; may be called by
// any thread.
class StoreClaims {
public:
    StoreClaims(const Clock& clock, ConfigurationStore& store, std::string instanceName, std::string processId);

    // The claim that is in force after this call: this process's, or the one that came first. Fails when it is not
    // known by the deadline; then nothing may be dispatched.
    Result<OrderClaim> claim(const std::string& key, SteadyTime deadline);

private:
    const Clock& clock;
    ConfigurationStore& store;
    const std::string instanceName;
    const std::string processId;
};

}
