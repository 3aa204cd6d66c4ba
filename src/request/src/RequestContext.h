#pragma once

#include <wagtailrack/connection/BackendConnections.h>
#include <wagtailrack/request/CancelToken.h>
#include <wagtailrack/request/Outcome.h>
#include <wagtailrack/request/RequestServices.h>
#include <wagtailrack/version/TableVersion.h>

#include <variant>

namespace wagtailrack::request {

enum class CallerLoss {
    // The attempt's connection is closed.
    CancelsAttempt,
    // The request is given up only while it waits; once sent it runs to its end, so that its outcome is known to a
    // caller that asks again with the same key.
    CancelsWaiting,
};

// How requests are treated by their idempotency; one record for each value of version::Idempotency.
struct RequestPolicy {
    // Whether an attempt that ended so may be followed by another one.
    bool (*mayRepeat)(const Ending& ending);
    connection::ConnectionUse connectionUse;
    bool mayHedge;
    bool needsKey;
    CallerLoss callerLoss;
};

const RequestPolicy& policyOf(version::Idempotency idempotency) noexcept;

// A request with all that follows from the version of the tables it started with. Lives as long as its session.
struct RequestContext {
    const connection::HttpRequest& request;
    version::TableVersionPointer version;
    const version::Route& route;
    const version::Pool& pool;
    const RequestPolicy& policy;
    std::string id;
    SteadyTime deadline;
    process::Fingerprint fingerprint = 0;
    // Home failure domain of the caller; empty when it is not known.
    std::string home;
    // Instance that forwarded the request; empty for a request of a caller.
    std::string forwardedBy;
    // The instance that forwarded the order owns its key and has decided that it runs.
    bool isOrderDecided = false;
    std::string key;
    std::shared_ptr<CancelToken> token;

    bool isForwarded() const noexcept { return !this->forwardedBy.empty(); }
};

// Finds out how to treat a request, or why it is refused.
std::variant<RequestContext, Ending> classify(
    const RequestServices& services, const connection::HttpRequest& request, const std::string& id);

// The id that a caller gave, or a new one.
std::string requestIdOf(const connection::HttpRequest& request);

// The request as it is sent on: without headers that concern one connection or this system alone, with its id and
// the time that is left.
connection::HttpRequest requestToSend(const RequestServices& services, const RequestContext& context);

// Limits of one exchange of the request with a server or an instance.
connection::ExchangeLimits limitsOf(const RequestServices& services, const RequestContext& context);

// What an answer or a failed exchange means for the request.
Ending endingOf(const connection::ExchangeResult& result, SteadyTime now, SteadyTime deadline);

}
