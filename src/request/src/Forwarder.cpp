#include "Forwarder.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/process/Steering.h>

#include <cstdlib>

namespace wagtailrack::request {

using connection::headerValue;

namespace {

constexpr int64_t idleConnectionMs = 4000;
constexpr size_t maxTargets = 2;
// Estimated size of a message's headers with those of TCP and IP.
constexpr int64_t headerBytes = 600;

// Time that an answer of another instance gives before a new try.
std::optional<Milliseconds> retryAfterOf(const connection::HttpResponse& response)
{
    const std::string text = headerValue(response.headers, headers::retryAfter);
    if (text.empty())
        return std::nullopt;
    return std::chrono::seconds(std::strtol(text.c_str(), nullptr, 10));
}

}

Forwarder::Forwarder(RequestServices& requestServices, const RequestContext& requestContext)
    : services(requestServices)
    , context(requestContext)
{
}

Ending Forwarder::sendToOwner(const process::OrderTurn& turn)
{
    // Whatever keeps the request from its owner, the key may have been used before.
    if (this->context.isForwarded())
        return unknown(Reason::OwnerUnreachable, "the key is owned by another instance: " + turn.owner);
    const process::MemberViewPointer view = this->services.memberView();
    const process::Member* owner = view ? view->find(turn.owner) : nullptr;
    if (!owner || owner->processId != turn.ownerProcessId)
        return unknown(Reason::OwnerUnreachable, "the instance that owns the key is gone: " + turn.owner);
    connection::HttpRequest request = requestToSend(this->services, this->context);
    request.headers[headers::home] = this->context.home;
    Ending ending = this->send(*owner, std::move(request));
    if (ending.outcome == Outcome::NotRun && ending.reason == Reason::ConnectFailed)
        return unknown(Reason::OwnerUnreachable, "the instance that owns the key does not answer: " + turn.owner);
    return ending;
}

Ending Forwarder::sendElsewhere(Ending local)
{
    const process::MemberViewPointer view = this->services.memberView();
    if (!view || this->context.isForwarded())
        return local;
    const auto targets = process::Steering::forwardTargets(
        this->context.version->tables, *view, this->services.self, this->context.pool, this->context.fingerprint);
    for (size_t index = 0; index < std::min(targets.size(), maxTargets); ++index) {
        if (!this->takeLink(targets[index]))
            continue;
        connection::HttpRequest request = requestToSend(this->services, this->context);
        // A caller without a home is taken to be at home where it came first, so that the destination counts it.
        request.headers[headers::home]
            = this->context.home.empty() ? this->services.self.failureDomain : this->context.home;
        if (this->context.policy.needsKey)
            request.headers[headers::orderOwner] = this->services.self.name;
        Ending ending = this->send(targets[index], std::move(request));
        if (ending.outcome != Outcome::NotRun || this->context.token->isCancelled())
            return ending;
        if (ending.retryAfter)
            local.retryAfter = ending.retryAfter;
    }
    return local;
}

bool Forwarder::takeLink(const process::Member& target)
{
    const version::Tables& tables = this->context.version->tables;
    const std::string_view here = tables.regionOf(this->services.self.failureDomain);
    const std::string_view there = tables.regionOf(target.failureDomain);
    const auto bytes = static_cast<int64_t>(this->context.request.body.size() + this->context.request.target.size());
    return here == there || this->services.linkBudget.tryTake(here, there, bytes + headerBytes);
}

void Forwarder::chargeLink(const process::Member& target, const connection::HttpResponse& response)
{
    const version::Tables& tables = this->context.version->tables;
    const std::string_view here = tables.regionOf(this->services.self.failureDomain);
    const std::string_view there = tables.regionOf(target.failureDomain);
    if (here != there)
        this->services.linkBudget.charge(there, here, static_cast<int64_t>(response.body.size()) + headerBytes);
}

Ending Forwarder::send(const process::Member& target, connection::HttpRequest request)
{
    if (this->services.clock.now() >= this->context.deadline)
        return notRun(Reason::DeadlinePassed, "the deadline passed before the request was forwarded");
    request.headers[headers::forwarded] = this->services.self.name;
    connection::ExchangeLimits limits = limitsOf(this->services, this->context);
    // The other instance queues and repeats on its own, so only the deadline limits its first byte.
    limits.firstByteDeadline = this->context.deadline;
    const auto connection = this->services.connections.take(target.callerAddress, this->context.policy.connectionUse);
    const bool isCancellable = this->context.policy.callerLoss == CallerLoss::CancelsAttempt;
    if (isCancellable)
        this->context.token->add(connection);
    const auto result = this->services.connections.exchange(connection, request, limits);
    if (isCancellable)
        this->context.token->remove(connection);
    if (result.response) {
        this->services.connections.giveBack(connection, idleConnectionMs);
        this->chargeLink(target, result.response.value());
    }
    Ending ending = this->endingOfAnswer(result);
    this->services.timeline.record(process::EventKind::Attempt, this->context.id,
        "forwarded_to=" + target.name + " outcome=" + toString(ending.outcome) + " reason=" + toString(ending.reason));
    return ending;
}

Ending Forwarder::endingOfAnswer(const connection::ExchangeResult& result) const
{
    if (!result.response)
        return endingOf(result, this->services.clock.now(), this->context.deadline);
    const connection::HttpResponse& response = result.response.value();
    const std::string outcome = headerValue(response.headers, headers::outcome);
    const Reason reason = reasonNamed(headerValue(response.headers, headers::reason)).value_or(Reason::Internal);
    const std::string detail = "the instance that it was forwarded to reported this";
    if (outcome == toString(Outcome::Done))
        return done(response);
    Ending ending = outcome == toString(Outcome::NotRun) ? notRun(reason, detail) : unknown(reason, detail);
    ending.retryAfter = retryAfterOf(response);
    return ending;
}

}
