#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/result.hpp>

#include <string>

namespace wagtailrack {

// What went wrong. Each enumerator is one kind of failure that a caller of a function can act on.
enum class ErrorCode {
    // Tables, settings and the command line.
    Unreadable,
    SyntaxError,
    UnknownKey,
    MissingKey,
    WrongType,
    OutOfRange,
    DuplicateName,
    UnknownName,
    Overlap,
    TooLarge,
    // Network.
    AddressInvalid,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    Cancelled,
    AnswerInvalid,
    AnswerTooLarge,
    AnswerMismatched,
    // Store and peers.
    VersionConflict,
    NotFound,
    RateLimited,
    StoreUnavailable,
    PeerUnavailable,
    OutcomeUnknown,
    // Keys of non-idempotent requests.
    KeyInvalid,
    KeyExpired,
    KeyReused,
    LedgerFull,
    // Edits of the tables.
    EditConflict,
    StaleVersion,
    // Process.
    NotReady,
    Internal,
};

// Name of the code as it appears in logs and answers, for example "unknown-key".
const char* toString(ErrorCode code) noexcept;

// A typed failure. `place` says where: "file:line key" for texts, an address for the network.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string place;
    std::string detail;

    friend bool operator==(const Error&, const Error&) = default;
};

// One line for people: "<place>: <code>: <detail>".
std::string describe(const Error& error);

// A value or an Error. Reading the wrong side is a programming error and asserts in debug builds.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

// The outcome of an operation that has no value.
using Status = Result<void>;

inline auto success() noexcept { return boost::outcome_v2::success(); }

inline Error makeError(ErrorCode code, std::string place, std::string detail)
{
    return Error { code, std::move(place), std::move(detail) };
}

}
