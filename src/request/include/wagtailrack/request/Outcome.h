#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <optional>
#include <string>

namespace wagtailrack::request {

// What is certain about a request when it ends.
enum class Outcome {
    // A complete answer to this request is returned.
    Done,
    // The request certainly did not run.
    NotRun,
    // The request may have run.
    Unknown,
};

// Why a request ended as it did; docs/outcomes.md lists the names and what a caller can do.
enum class Reason {
    Answered,
    // Refused before anything was sent.
    NotReady,
    NoRoute,
    RequestInvalid,
    RequestTooLarge,
    KeyMissing,
    KeyRefused,
    CrashGuard,
    ShiftLimited,
    QueueFull,
    DeadlineTooShort,
    NoServer,
    // Ended after an attempt.
    ServerRefused,
    ConnectFailed,
    FirstByteTimeout,
    ConnectionLost,
    AnswerInvalid,
    AnswerTooLarge,
    AnswerMismatched,
    DeadlinePassed,
    CallerGone,
    OrderUnknown,
    OwnerUnreachable,
    Internal,
};

const char* toString(Outcome outcome) noexcept;
const char* toString(Reason reason) noexcept;
// The reason with this name; nothing for an unknown one.
std::optional<Reason> reasonNamed(std::string_view name) noexcept;
// HTTP status of an answer without one from a backend server.
int statusOf(Reason reason) noexcept;

// How a request, or one attempt of it, ended. `response` is set with Done only.
struct Ending {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::Internal;
    std::string detail;
    // Time after which a new try may succeed.
    std::optional<Milliseconds> retryAfter;
    connection::HttpResponse response;
};

Ending done(connection::HttpResponse response);
Ending notRun(Reason reason, std::string detail);
Ending unknown(Reason reason, std::string detail);

// The answer that reports `ending` truthfully to the caller, with the outcome headers and, without an answer of a
// server, a JSON body.
connection::HttpResponse toAnswer(Ending ending, const std::string& requestId);

}
