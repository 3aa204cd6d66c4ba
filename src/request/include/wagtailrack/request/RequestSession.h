#pragma once

#include <wagtailrack/connection/HttpMessage.h>
#include <wagtailrack/request/Outcome.h>
#include <wagtailrack/request/RequestServices.h>

#include <memory>

namespace wagtailrack::request {

struct RequestContext;

// One request of a caller from its arrival to its answer: steps 1 to 9 of docs/design.md section 3.6. Lives as long as
// the connection's thread holds it; used by that thread.
//
//     auto answer = std::make_shared<RequestSession>(services, request)->run();
class RequestSession : public std::enable_shared_from_this<RequestSession> {
public:
    RequestSession(RequestServices& services, const connection::HttpRequest& request);

    // Runs the request; blocks until there is an answer. Called once, by the connection's thread.
    connection::HttpResponse run();

private:
    Ending handle();
    Ending runOrder(const RequestContext& context);
    Ending execute(const RequestContext& context);
    std::optional<Ending> refusalOf(const RequestContext& context);
    void record(const Ending& ending, SteadyTime start);

    RequestServices& services;
    const connection::HttpRequest& request;
    const std::string id;
    // Known once the request is classified.
    std::string routeName = "none";
};

}
