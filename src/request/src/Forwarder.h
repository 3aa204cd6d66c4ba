#pragma once

#include "RequestContext.h"

namespace wagtailrack::request {

// Sends a request to another entry instance, which runs or refuses it; the instance is treated like a backend server
// and its outcome is kept. Used by the session's thread.
class Forwarder {
public:
    Forwarder(RequestServices& services, const RequestContext& context);

    // Sends an order to the instance that owns its key.
    Ending sendToOwner(const process::OrderTurn& turn);

    // Sends the request to an instance of another failure domain; tries the next one after a certain refusal.
    // `local` is returned when no instance takes it.
    Ending sendElsewhere(Ending local);

private:
    // Takes the request's bytes from the budget of the link to the target's region.
    bool takeLink(const process::Member& target);
    void chargeLink(const process::Member& target, const connection::HttpResponse& response);
    Ending send(const process::Member& target, connection::HttpRequest request);
    Ending endingOfAnswer(const connection::ExchangeResult& result) const;

    RequestServices& services;
    const RequestContext& context;
};

}
