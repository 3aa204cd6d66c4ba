#pragma once

#include "RequestContext.h"

namespace wagtailrack::request {

// Reports the end of an order to its ledger, also when the session ends by an exception; then it is unknown.
class OrderTurnEnd {
public:
    OrderTurnEnd(process::OrderGate& orders, std::string key);
    ~OrderTurnEnd();
    OrderTurnEnd(const OrderTurnEnd&) = delete;
    OrderTurnEnd& operator=(const OrderTurnEnd&) = delete;

    void finish(const Ending& ending);

private:
    process::OrderGate& orders;
    std::string key;
    bool isFinished = false;
};

// What a turn that is neither run here nor forwarded means for the request.
Ending endingOf(const process::OrderTurn& turn);

}
