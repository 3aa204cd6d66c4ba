#pragma once

#include <wagtailrack/process/OrderLedger.h>
#include <wagtailrack/process/StoreClaims.h>

namespace wagtailrack::process {

// Decides every non-idempotent request, whatever its key: an order key by the ledger, a caller's own key by its claim
// in the store and then the ledger. Lives for the process; may be called by any thread.
class OrderGate {
public:
    OrderGate(const Clock& clock, OrderLedger& ledger, StoreClaims& claims, std::string processId);

    // As OrderLedger::begin().
    OrderTurn begin(const std::string& key, uint64_t fingerprint, SteadyTime deadline);

    // As OrderLedger::finish().
    void finish(const std::string& key, OrderState state, const connection::HttpResponse& answer);

private:
    OrderTurn beginOwnKey(const std::string& key, uint64_t fingerprint, SteadyTime deadline);

    const Clock& clock;
    OrderLedger& ledger;
    StoreClaims& claims;
    const std::string processId;
};

}
