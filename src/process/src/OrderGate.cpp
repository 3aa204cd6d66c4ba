#include <wagtailrack/process/OrderGate.h>

namespace wagtailrack::process {

OrderGate::OrderGate(const Clock& source, OrderLedger& orderLedger, StoreClaims& storeClaims, std::string process)
    : clock(source)
    , ledger(orderLedger)
    , claims(storeClaims)
    , processId(std::move(process))
{
}

OrderTurn OrderGate::begin(const std::string& key, uint64_t fingerprint, SteadyTime deadline)
{
    if (OrderLedger::isOrderKey(key))
        return this->ledger.begin(key, fingerprint, deadline);
    return this->beginOwnKey(key, fingerprint, deadline);
}

OrderTurn OrderGate::beginOwnKey(const std::string& key, uint64_t fingerprint, SteadyTime deadline)
{
    if (this->ledger.knows(key))
        return this->ledger.beginClaimed(key, fingerprint, deadline);
    OrderTurn turn;
    const auto claim = this->claims.claim(key, deadline);
    if (!claim) {
        // Whether or not the claim was written, nothing was dispatched.
        turn.decision = OrderDecision::RefuseNotRun;
        turn.reason = claim.error();
        return turn;
    }
    if (claim.value().processId != this->processId) {
        turn.decision = OrderDecision::Forward;
        turn.owner = claim.value().instance;
        turn.ownerProcessId = claim.value().processId;
        return turn;
    }
    const SteadyTime claimedAt { Milliseconds(claim.value().claimedAtMs) };
    if (this->clock.now() - claimedAt >= OrderLedger::retention) {
        turn.decision = OrderDecision::RefuseUnknown;
        turn.reason = makeError(ErrorCode::OutcomeUnknown, "order key", "claimed too long ago to remember its end");
        return turn;
    }
    return this->ledger.beginClaimed(key, fingerprint, deadline);
}

void OrderGate::finish(const std::string& key, OrderState state, const connection::HttpResponse& answer)
{
    this->ledger.finish(key, state, answer);
}

}
