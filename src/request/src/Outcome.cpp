#include <wagtailrack/request/Outcome.h>

#include <wagtailrack/base/HeaderNames.h>

#include <json/json.h>

#include <array>

namespace wagtailrack::request {

namespace {

struct ReasonRecord {
    Reason reason;
    const char* name;
    int status;
};

constexpr std::array<ReasonRecord, 24> reasons { {
    { Reason::Answered, "answered", 200 },
    { Reason::NotReady, "not-ready", 503 },
    { Reason::NoRoute, "no-route", 404 },
    { Reason::RequestInvalid, "request-invalid", 400 },
    { Reason::RequestTooLarge, "request-too-large", 413 },
    { Reason::KeyMissing, "key-missing", 400 },
    { Reason::KeyRefused, "key-refused", 409 },
    { Reason::CrashGuard, "crash-guard", 503 },
    { Reason::ShiftLimited, "shift-limited", 503 },
    { Reason::QueueFull, "queue-full", 503 },
    { Reason::DeadlineTooShort, "deadline-too-short", 503 },
    { Reason::NoServer, "no-server", 503 },
    { Reason::ServerRefused, "server-refused", 503 },
    { Reason::ConnectFailed, "connect-failed", 503 },
    { Reason::FirstByteTimeout, "first-byte-timeout", 504 },
    { Reason::ConnectionLost, "connection-lost", 502 },
    { Reason::AnswerInvalid, "answer-invalid", 502 },
    { Reason::AnswerTooLarge, "answer-too-large", 502 },
    { Reason::AnswerMismatched, "answer-mismatched", 502 },
    { Reason::DeadlinePassed, "deadline-passed", 504 },
    { Reason::CallerGone, "caller-gone", 503 },
    { Reason::OrderUnknown, "order-unknown", 502 },
    { Reason::OwnerUnreachable, "owner-unreachable", 502 },
    { Reason::Internal, "internal", 500 },
} };

const ReasonRecord& recordOf(Reason reason) noexcept
{
    for (const ReasonRecord& record : reasons) {
        if (record.reason == reason)
            return record;
    }
    return reasons.back();
}

std::string bodyOf(const Ending& ending)
{
    Json::Value value(Json::objectValue);
    value["error"] = toString(ending.reason);
    value["outcome"] = toString(ending.outcome);
    value["detail"] = ending.detail;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

}

const char* toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char* toString(Reason reason) noexcept { return recordOf(reason).name; }

std::optional<Reason> reasonNamed(std::string_view name) noexcept
{
    for (const ReasonRecord& record : reasons) {
        if (name == record.name)
            return record.reason;
    }
    return std::nullopt;
}

int statusOf(Reason reason) noexcept { return recordOf(reason).status; }

Ending done(connection::HttpResponse response)
{
    Ending ending { Outcome::Done, Reason::Answered, {}, {}, {} };
    ending.response = std::move(response);
    return ending;
}

Ending notRun(Reason reason, std::string detail)
{
    return Ending { Outcome::NotRun, reason, std::move(detail), {}, {} };
}

Ending unknown(Reason reason, std::string detail)
{
    return Ending { Outcome::Unknown, reason, std::move(detail), {}, {} };
}

connection::HttpResponse toAnswer(Ending ending, const std::string& requestId)
{
    connection::HttpResponse answer = ending.outcome == Outcome::Done
        ? std::move(ending.response)
        : connection::HttpResponse::json(statusOf(ending.reason), bodyOf(ending));
    // Headers of the server's connection and hints for instances are not the caller's.
    for (const char* name : { "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", headers::draining,
             headers::load, headers::notRun })
        answer.headers.erase(name);
    answer.headers[headers::outcome] = toString(ending.outcome);
    answer.headers[headers::reason] = toString(ending.reason);
    answer.headers[headers::requestId] = requestId;
    if (ending.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*ending.retryAfter).count();
        answer.headers[headers::retryAfter] = std::to_string(std::max<long long>(1, seconds));
    }
    return answer;
}

}
