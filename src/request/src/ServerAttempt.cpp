#include "ServerAttempt.h"

#include <wagtailrack/base/HeaderNames.h>

#include <cstdlib>

namespace wagtailrack::request {

using connection::headerValue;

namespace {

// An exchange is slow when it takes this many times as long as usual.
constexpr double hedgeAfterLatencies = 3;
constexpr Milliseconds shortestHedgeDelay { 5 };
// A server that is up accepts within this time on the same region's network.
constexpr Milliseconds aliveCheckTimeout { 50 };

process::AttemptEnd endOf(Reason reason) noexcept
{
    switch (reason) {
    case Reason::Answered:
        return process::AttemptEnd::Answered;
    case Reason::ServerRefused:
        return process::AttemptEnd::Shed;
    case Reason::ConnectFailed:
        return process::AttemptEnd::ConnectFailed;
    case Reason::FirstByteTimeout:
        return process::AttemptEnd::TimedOut;
    case Reason::ConnectionLost:
        return process::AttemptEnd::ConnectionLost;
    case Reason::AnswerInvalid:
    case Reason::AnswerTooLarge:
    case Reason::AnswerMismatched:
        return process::AttemptEnd::AnswerWrong;
    default:
        return process::AttemptEnd::Cancelled;
    }
}

}

ServerAttempt::ServerAttempt(
    RequestServices& requestServices, const RequestContext& requestContext, connection::ConnectionUse connectionUse)
    : services(requestServices)
    , context(requestContext)
    , use(connectionUse)
{
}

ServerAttempt::~ServerAttempt()
{
    if (this->hedgeThread.joinable())
        this->hedgeThread.join();
}

Ending ServerAttempt::run(process::ServerPermit permit)
{
    // A process that was paused may find itself here long after the request was admitted.
    if (this->services.clock.now() >= this->context.deadline)
        return notRun(Reason::DeadlinePassed, "the deadline passed before the request was sent");
    this->first.connection = this->services.connections.take(permit.server(), this->use);
    connection::ExchangeLimits limits = limitsOf(this->services, this->context);
    if (this->context.policy.mayHedge && this->context.pool.hedging == version::Hedging::On) {
        const auto usual = std::chrono::duration<double, std::milli>(
            this->services.servers.expectedLatencyMs(this->context.pool) * hedgeAfterLatencies);
        limits.slowAt = this->services.clock.now()
            + std::max<SteadyTime::duration>(
                shortestHedgeDelay, std::chrono::duration_cast<SteadyTime::duration>(usual));
        limits.slowAction = [this, server = permit.server()] { this->startHedge(server); };
    }
    this->first.ending = this->exchange(this->first, Winner::First, permit, limits);
    if (!this->hedgeThread.joinable())
        return std::move(this->first.ending);
    if (this->winner == Winner::First)
        this->hedge.connection->cancel();
    this->hedgeThread.join();
    return this->combine();
}

Ending ServerAttempt::combine()
{
    if (this->first.ending.outcome == Outcome::Done)
        return std::move(this->first.ending);
    if (this->hedge.ending.outcome == Outcome::Done)
        return std::move(this->hedge.ending);
    // Certain only when neither ran.
    return this->first.ending.outcome == Outcome::Unknown ? std::move(this->first.ending)
                                                          : std::move(this->hedge.ending);
}

void ServerAttempt::startHedge(const Endpoint& firstServer)
{
    // Requests that wait come before hedges.
    if (this->services.admission.waiting(this->context.pool.name) > 0)
        return;
    process::ServerPermit permit = this->services.servers.acquire(this->context.pool, { firstServer });
    if (!permit || permit.server() == firstServer || !this->services.retryBudgets.of(this->context.pool.name).take())
        return;
    this->services.metrics.count("wagtailrack_hedges_total", "pool=\"" + this->context.pool.name + "\"");
    this->hedge.connection = this->services.connections.take(permit.server(), connection::ConnectionUse::OpenNew);
    this->hedgeThread = std::thread([this, permit = std::move(permit)]() mutable {
        this->hedge.ending
            = this->exchange(this->hedge, Winner::Hedge, permit, limitsOf(this->services, this->context));
    });
}

bool ServerAttempt::win(Winner side)
{
    Winner none = Winner::None;
    return this->winner.compare_exchange_strong(none, side);
}

Ending ServerAttempt::exchange(
    Side& side, Winner which, process::ServerPermit& permit, const connection::ExchangeLimits& limits)
{
    const Endpoint server = permit.server();
    const bool wasReused = side.connection->isOpen();
    const bool isCancellable = this->context.policy.callerLoss == CallerLoss::CancelsAttempt;
    if (isCancellable)
        this->context.token->add(side.connection);
    const SteadyTime start = this->services.clock.now();
    const auto result
        = this->services.connections.exchange(side.connection, requestToSend(this->services, this->context), limits);
    if (isCancellable)
        this->context.token->remove(side.connection);
    Ending ending = endingOf(result, this->services.clock.now(), this->context.deadline);
    if (result.response)
        this->noteAnswer(server, result.response.value());
    if (ending.outcome == Outcome::Done)
        this->services.crashGuard.recordAnswer(this->context.fingerprint);
    const bool hasWon = ending.outcome == Outcome::Done && this->win(which);
    if (hasWon && which == Winner::Hedge)
        this->first.connection->cancel();
    // The other side may cancel a connection that has not won at any time, so it is not used again.
    if (result.response && (hasWon || (which == Winner::First && !this->hedgeThread.joinable())))
        this->services.connections.giveBack(side.connection, this->context.pool.idleConnectionMs);
    if (ending.reason == Reason::ConnectionLost && this->isDeath(result, server, wasReused))
        this->noteDeath(server, start);
    permit.finish(this->attemptEndOf(ending, which, start));
    this->recordEvent(server, ending, which);
    return ending;
}

process::AttemptEnd ServerAttempt::attemptEndOf(const Ending& ending, Winner which, SteadyTime start) const
{
    if (ending.outcome != Outcome::Done && this->winner != Winner::None && this->winner != which)
        return process::AttemptEnd::Overtaken;
    if (ending.reason != Reason::DeadlinePassed)
        return endOf(ending.reason);
    // A caller's short deadline tells nothing about the server; a long silence does.
    const bool isLong = this->services.clock.now() - start >= Milliseconds(this->context.pool.firstByteTimeoutMs) / 2;
    return isLong ? process::AttemptEnd::TimedOut : process::AttemptEnd::Overtaken;
}

void ServerAttempt::noteAnswer(const Endpoint& server, const connection::HttpResponse& response)
{
    if (headerValue(response.headers, headers::draining) == "true")
        this->services.servers.noteLeaving(server, process::LeavingSign::Announced);
    else if (strcasecmp(headerValue(response.headers, "Connection").c_str(), "close") == 0)
        this->services.servers.noteLeaving(server, process::LeavingSign::ConnectionClose);
    const std::string load = headerValue(response.headers, headers::load);
    if (!load.empty())
        this->services.servers.noteLoad(server, std::strtod(load.c_str(), nullptr));
}

bool ServerAttempt::isDeath(const connection::ExchangeResult& result, const Endpoint& server, bool wasReused) const
{
    if (result.progress == connection::SendProgress::NothingSent
        || result.received == connection::ReceiveProgress::SomeReceived)
        return false;
    if (!wasReused)
        return true;
    // The server may have closed an idle connection at the moment of its reuse; then it still accepts new ones.
    return !connection::canConnect(server, this->services.clock.now() + aliveCheckTimeout);
}

void ServerAttempt::noteDeath(const Endpoint& server, SteadyTime sentAt)
{
    this->sawDeath = true;
    const long long seconds = toUnixMilliseconds(this->services.clock.wallNow()) / 1000;
    const process::ServerDeath death { this->context.fingerprint, server.toString() + "@" + std::to_string(seconds) };
    if (!this->services.crashGuard.recordOwnDeath(death, sentAt))
        return;
    this->services.timeline.record(
        process::EventKind::CrashGuard, this->context.id, "server closed without an answer: " + server.toString());
    if (this->services.announceDeath)
        this->services.announceDeath(death);
}

void ServerAttempt::recordEvent(const Endpoint& server, const Ending& ending, Winner side)
{
    // Attempts that went well are in the request's event already.
    if (ending.outcome == Outcome::Done && side == Winner::First)
        return;
    this->services.timeline.record(process::EventKind::Attempt, this->context.id,
        std::string("server=") + server.toString() + " outcome=" + toString(ending.outcome)
            + " reason=" + toString(ending.reason) + (side == Winner::Hedge ? " hedge=true" : ""));
}

}
