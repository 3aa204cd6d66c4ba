#include "OrderTurnEnd.h"

namespace wagtailrack::request {

OrderTurnEnd::OrderTurnEnd(process::OrderGate& orderGate, std::string orderKey)
    : orders(orderGate)
    , key(std::move(orderKey))
{
}

OrderTurnEnd::~OrderTurnEnd()
{
    if (!this->isFinished)
        this->orders.finish(this->key, process::OrderState::Unknown, {});
}

void OrderTurnEnd::finish(const Ending& ending)
{
    static constexpr process::OrderState states[]
        = { process::OrderState::Done, process::OrderState::NotRun, process::OrderState::Unknown };
    this->isFinished = true;
    this->orders.finish(this->key, states[static_cast<size_t>(ending.outcome)], ending.response);
}

Ending endingOf(const process::OrderTurn& turn)
{
    if (turn.decision == process::OrderDecision::Replay)
        return done(turn.answer);
    const std::string detail = describe(turn.reason);
    if (turn.decision == process::OrderDecision::RefuseNotRun)
        return notRun(Reason::KeyRefused, detail);
    return unknown(Reason::OrderUnknown, detail);
}

}
