#include <wagtailrack/request/RequestSession.h>

#include "Forwarder.h"
#include "LocalRun.h"
#include "OrderTurnEnd.h"
#include "RequestContext.h"

namespace wagtailrack::request {

namespace {

// Refusals of this instance's own admission; others do not get better elsewhere.
bool mayRunElsewhere(const Ending& ending, process::Placement placement)
{
    return ending.outcome == Outcome::NotRun
        && (ending.reason == Reason::NoServer
            || (ending.reason == Reason::QueueFull && placement == process::Placement::Forward));
}

process::PoolPressure pressureOf(const RequestServices& services, const version::Pool& pool)
{
    process::PoolPressure pressure;
    pressure.freeSlots = services.servers.freeSlots(pool);
    pressure.queued = static_cast<int64_t>(services.admission.waiting(pool.name));
    pressure.queueLength = pool.queueLength;
    return pressure;
}

}

RequestSession::RequestSession(RequestServices& processServices, const connection::HttpRequest& source)
    : services(processServices)
    , request(source)
    , id(requestIdOf(source))
{
}

connection::HttpResponse RequestSession::run()
{
    const SteadyTime start = this->services.clock.now();
    Ending ending = this->handle();
    this->record(ending, start);
    return toAnswer(std::move(ending), this->id);
}

Ending RequestSession::handle()
{
    auto classified = classify(this->services, this->request, this->id);
    if (auto* refusal = std::get_if<Ending>(&classified))
        return std::move(*refusal);
    const RequestContext& context = std::get<RequestContext>(classified);
    this->routeName = context.route.name;
    const CallerWatching watching(this->services.callerWatch, this->request.socket, context.token);
    return context.policy.needsKey && !context.isOrderDecided ? this->runOrder(context) : this->execute(context);
}

Ending RequestSession::runOrder(const RequestContext& context)
{
    const process::OrderTurn turn = this->services.orders.begin(context.key, context.fingerprint, context.deadline);
    if (turn.decision == process::OrderDecision::Forward)
        return Forwarder(this->services, context).sendToOwner(turn);
    if (turn.decision != process::OrderDecision::Run)
        return endingOf(turn);
    OrderTurnEnd end(this->services.orders, context.key);
    Ending ending = this->execute(context);
    end.finish(ending);
    return ending;
}

std::optional<Ending> RequestSession::refusalOf(const RequestContext& context)
{
    // For an order this follows the ledger, which knows whether the key has been used: "not run" must not be said of
    // an order that crashed a server before.
    if (this->services.crashGuard.isRefused(context.fingerprint))
        return notRun(Reason::CrashGuard, "backend servers died while they ran this request");
    // Work that cannot run here is forwarded, and counted where it arrives.
    const bool isShifted = !context.home.empty() && context.home != this->services.self.failureDomain;
    if (!isShifted || !this->services.servers.hasUsableServer(context.pool))
        return std::nullopt;
    const std::optional<WallTime> opensAt = this->services.shiftGate.admit(context.pool);
    if (!opensAt)
        return std::nullopt;
    Ending ending = notRun(Reason::ShiftLimited, "the limit of shifted requests is reached in this interval");
    ending.retryAfter = std::chrono::ceil<Milliseconds>(*opensAt - this->services.clock.wallNow());
    return ending;
}

Ending RequestSession::execute(const RequestContext& context)
{
    if (auto refusal = this->refusalOf(context))
        return std::move(*refusal);
    const process::Placement placement = this->services.spillPolicy.place(
        context.pool.name, pressureOf(this->services, context.pool), context.fingerprint);
    Ending ending = LocalRun(this->services, context).run();
    if (!mayRunElsewhere(ending, placement))
        return ending;
    return Forwarder(this->services, context).sendElsewhere(std::move(ending));
}

void RequestSession::record(const Ending& ending, SteadyTime start)
{
    const std::string outcome = toString(ending.outcome);
    const std::string reason = toString(ending.reason);
    this->services.timeline.record(process::EventKind::Request, this->id,
        "route=" + this->routeName + " outcome=" + outcome + " reason=" + reason);
    const std::string route = "route=\"" + this->routeName + "\"";
    this->services.metrics.count(
        "wagtailrack_requests_total", route + ",outcome=\"" + outcome + "\",reason=\"" + reason + "\"");
    const std::chrono::duration<double> seconds = this->services.clock.now() - start;
    this->services.metrics.observeSeconds("wagtailrack_request_seconds", route, seconds.count());
}

}
