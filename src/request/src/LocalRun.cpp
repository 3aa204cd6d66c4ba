#include "LocalRun.h"

#include "ServerAttempt.h"

namespace wagtailrack::request {

namespace {

constexpr Milliseconds queueFullRetry { 1000 };

Ending refusalOf(AdmissionEnd end)
{
    Ending ending;
    switch (end) {
    case AdmissionEnd::TooLate:
        return notRun(Reason::DeadlineTooShort, "no server could answer by the deadline");
    case AdmissionEnd::Cancelled:
        return notRun(Reason::CallerGone, "the caller closed its connection");
    case AdmissionEnd::NoServer:
        ending = notRun(Reason::NoServer, "no backend server can take requests");
        break;
    default:
        ending = notRun(Reason::QueueFull, "all slots and places in the queue are taken");
        break;
    }
    ending.retryAfter = queueFullRetry;
    return ending;
}

}

LocalRun::LocalRun(RequestServices& requestServices, const RequestContext& requestContext)
    : services(requestServices)
    , context(requestContext)
{
}

Ending LocalRun::run()
{
    Ending ending = this->runOnce();
    Ending firstUnknown;
    while (ending.outcome != Outcome::Done) {
        if (ending.outcome == Outcome::Unknown && firstUnknown.outcome != Outcome::Unknown)
            firstUnknown = ending;
        if (!this->mayRepeat(ending))
            break;
        ending = this->runOnce();
    }
    if (ending.outcome == Outcome::Done)
        this->services.retryBudgets.of(this->context.pool.name).recordSuccess();
    // After an attempt that may have run, a later refusal does not make the request "not run".
    if (ending.outcome == Outcome::NotRun && firstUnknown.outcome == Outcome::Unknown)
        return firstUnknown;
    return ending;
}

bool LocalRun::mayRepeat(const Ending& ending)
{
    // Admission has refused it; there was no attempt that another one could follow.
    const bool wasAttempted = ending.outcome == Outcome::Unknown || ending.reason == Reason::ServerRefused
        || ending.reason == Reason::ConnectFailed;
    return wasAttempted && this->context.policy.mayRepeat(ending) && !this->context.token->isCancelled()
        && this->services.clock.now() < this->context.deadline
        && !this->services.crashGuard.isRefused(this->context.fingerprint)
        && this->services.retryBudgets.of(this->context.pool.name).take();
}

Ending LocalRun::runOnce()
{
    Admission admission = this->services.admission.admit({ this->context.pool, this->context.route.requestClass,
        this->context.deadline, this->tried, *this->context.token, this->suspicion });
    if (admission.end != AdmissionEnd::Granted)
        return refusalOf(admission.end);
    // An idle connection may be stuck or closed, so that a repeated attempt opens a new one.
    const auto use = this->tried.empty() ? this->context.policy.connectionUse : connection::ConnectionUse::OpenNew;
    this->tried.insert(admission.permit.server());
    ServerAttempt attempt(this->services, this->context, use);
    Ending ending = attempt.run(std::move(admission.permit));
    if (attempt.hasSeenDeath())
        this->suspicion = process::Suspicion::Suspect;
    return ending;
}

}
