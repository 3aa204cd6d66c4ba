#include "RequestContext.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace wagtailrack::request {

using connection::headerValue;

namespace {

constexpr size_t maxIdLength = 128;
constexpr size_t maxKeyLength = 512;
constexpr size_t generatedIdBytes = 8;
// Opening a connection takes about 1 ms inside a region; a server that does not accept within this time is not waited
// for, since the request can still be sent to another one.
constexpr Milliseconds connectTimeout { 500 };

bool mayRepeatIdempotent(const Ending& ending)
{
    return ending.outcome != Outcome::Done && ending.reason != Reason::CallerGone;
}

bool mayRepeatNotRun(const Ending& ending)
{
    return ending.outcome == Outcome::NotRun && ending.reason != Reason::CallerGone;
}

constexpr std::array<RequestPolicy, 2> policies { {
    { &mayRepeatIdempotent, connection::ConnectionUse::ReuseIdle, true, false, CallerLoss::CancelsAttempt },
    { &mayRepeatNotRun, connection::ConnectionUse::OpenNew, false, true, CallerLoss::CancelsWaiting },
} };

// Headers that concern one connection, or that only callers and instances exchange. The length and the coding of the
// body are those of this hop.
constexpr std::array<const char*, 14> ownHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE", "Trailer", "Upgrade", "Content-Length", "Host", "Expect", headers::home, headers::forwarded,
    headers::orderOwner, headers::deadlineMs };

bool isPrintable(const std::string& text) noexcept
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// The caller's remaining time; nothing when the header is no number.
std::optional<int64_t> deadlineMsOf(const connection::HttpRequest& request, int64_t limit)
{
    const std::string text = headerValue(request.headers, headers::deadlineMs);
    if (text.empty())
        return limit;
    int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::min(value, limit);
}

// The member that forwarded a request. A caller could write the header as well, so the address must be the member's.
std::string forwarderOf(const RequestServices& services, const connection::HttpRequest& request)
{
    const std::string name = headerValue(request.headers, headers::forwarded);
    if (name.empty())
        return {};
    const process::MemberViewPointer view = services.memberView();
    const process::Member* member = view ? view->find(name) : nullptr;
    return member && member->callerAddress.host == request.remoteHost ? name : std::string();
}

std::string homeOf(const version::Tables& tables, const connection::HttpRequest& request, bool isForwarded)
{
    if (isForwarded)
        return headerValue(request.headers, headers::home);
    const auto address = parseIPv4(request.remoteHost);
    return address ? std::string(tables.homeOf(address.value())) : std::string();
}

std::optional<Ending> refusalOf(const connection::HttpRequest& request, const version::Route& route,
    const std::string& id, std::optional<int64_t> deadlineMs)
{
    const std::string key = headerValue(request.headers, headers::idempotencyKey);
    if (id.size() > maxIdLength || !isPrintable(id))
        return notRun(Reason::RequestInvalid, "the request id must be 1 to 128 printable characters");
    if (!deadlineMs)
        return notRun(Reason::RequestInvalid, "the deadline is not a number of milliseconds");
    if (static_cast<int64_t>(request.body.size()) > route.maxRequestBytes)
        return notRun(Reason::RequestTooLarge, "the route takes " + std::to_string(route.maxRequestBytes) + " bytes");
    if (policyOf(route.idempotency).needsKey && key.empty())
        return notRun(Reason::KeyMissing, "this route needs an Idempotency-Key");
    if (key.size() > maxKeyLength || !isPrintable(key))
        return notRun(Reason::RequestInvalid, "the key must be 1 to 512 printable characters");
    if (*deadlineMs <= 0)
        return notRun(Reason::DeadlinePassed, "no time was left when the request arrived");
    return std::nullopt;
}

}

const RequestPolicy& policyOf(version::Idempotency idempotency) noexcept
{
    return policies[static_cast<size_t>(idempotency)];
}

std::string requestIdOf(const connection::HttpRequest& request)
{
    std::string id = headerValue(request.headers, headers::requestId);
    return id.empty() ? randomHex(generatedIdBytes) : id;
}

std::variant<RequestContext, Ending> classify(
    const RequestServices& services, const connection::HttpRequest& request, const std::string& id)
{
    const SteadyTime now = services.clock.now();
    version::TableVersionPointer version = services.configuration.active();
    if (!version)
        return notRun(Reason::NotReady, "this instance has no tables yet");
    const version::Tables& tables = version->tables;
    const version::Route* route = tables.findRoute(request.method, request.path);
    if (!route)
        return notRun(Reason::NoRoute, "no route has this method and path");
    const version::Pool* pool = tables.findPool(route->pool);
    if (!pool)
        return notRun(Reason::Internal, "the route's pool is not in the tables");
    const std::optional<int64_t> deadlineMs = deadlineMsOf(request, route->deadlineMs);
    if (auto refusal = refusalOf(request, *route, id, deadlineMs))
        return std::move(*refusal);
    RequestContext context { request, std::move(version), *route, *pool, policyOf(route->idempotency), id,
        now + Milliseconds(*deadlineMs), process::fingerprintOf(request.method, request.target, request.body), {}, {},
        false, headerValue(request.headers, headers::idempotencyKey), std::make_shared<CancelToken>() };
    context.forwardedBy = forwarderOf(services, request);
    context.home = homeOf(tables, request, context.isForwarded());
    context.isOrderDecided
        = context.isForwarded() && headerValue(request.headers, headers::orderOwner) == context.forwardedBy;
    return context;
}

connection::HttpRequest requestToSend(const RequestServices& services, const RequestContext& context)
{
    connection::HttpRequest request;
    request.method = context.request.method;
    request.path = context.request.path;
    request.target = context.request.target;
    request.headers = context.request.headers;
    request.body = context.request.body;
    for (const char* name : ownHeaders)
        request.headers.erase(name);
    request.headers[headers::requestId] = context.id;
    const auto left = std::chrono::duration_cast<Milliseconds>(context.deadline - services.clock.now());
    request.headers[headers::deadlineMs] = std::to_string(std::max<long long>(1, left.count()));
    return request;
}

connection::ExchangeLimits limitsOf(const RequestServices& services, const RequestContext& context)
{
    const SteadyTime now = services.clock.now();
    connection::ExchangeLimits limits;
    limits.deadline = context.deadline;
    limits.connectDeadline = std::min(context.deadline, now + connectTimeout);
    limits.firstByteDeadline = std::min(context.deadline, now + Milliseconds(context.pool.firstByteTimeoutMs));
    limits.maxBodyBytes = context.pool.maxAnswerBytes;
    return limits;
}

Ending endingOf(const connection::ExchangeResult& result, SteadyTime now, SteadyTime deadline)
{
    if (result.response) {
        const connection::HttpResponse& response = result.response.value();
        const bool isRefused = response.status == 503 && headerValue(response.headers, headers::notRun) == "true";
        return isRefused ? notRun(Reason::ServerRefused, "the server refused the request as not run") : done(response);
    }
    const Error& error = result.response.error();
    Reason reason = Reason::Internal;
    switch (error.code) {
    case ErrorCode::ConnectFailed:
        reason = Reason::ConnectFailed;
        break;
    case ErrorCode::TimedOut:
        reason = now >= deadline ? Reason::DeadlinePassed : Reason::FirstByteTimeout;
        break;
    case ErrorCode::ConnectionLost:
        reason = Reason::ConnectionLost;
        break;
    case ErrorCode::AnswerInvalid:
        reason = Reason::AnswerInvalid;
        break;
    case ErrorCode::AnswerTooLarge:
        reason = Reason::AnswerTooLarge;
        break;
    case ErrorCode::AnswerMismatched:
        reason = Reason::AnswerMismatched;
        break;
    case ErrorCode::Cancelled:
        reason = Reason::CallerGone;
        break;
    default:
        break;
    }
    if (result.progress == connection::SendProgress::NothingSent)
        return notRun(reason, describe(error));
    return unknown(reason, describe(error));
}

}
