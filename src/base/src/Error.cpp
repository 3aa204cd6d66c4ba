#include <wagtailrack/base/Error.h>

namespace wagtailrack {

const char* toString(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::Unreadable:
        return "unreadable";
    case ErrorCode::SyntaxError:
        return "syntax-error";
    case ErrorCode::UnknownKey:
        return "unknown-key";
    case ErrorCode::MissingKey:
        return "missing-key";
    case ErrorCode::WrongType:
        return "wrong-type";
    case ErrorCode::OutOfRange:
        return "out-of-range";
    case ErrorCode::DuplicateName:
        return "duplicate-name";
    case ErrorCode::UnknownName:
        return "unknown-name";
    case ErrorCode::Overlap:
        return "overlap";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::AddressInvalid:
        return "address-invalid";
    case ErrorCode::ConnectFailed:
        return "connect-failed";
    case ErrorCode::ConnectionLost:
        return "connection-lost";
    case ErrorCode::TimedOut:
        return "timed-out";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::AnswerInvalid:
        return "answer-invalid";
    case ErrorCode::AnswerTooLarge:
        return "answer-too-large";
    case ErrorCode::AnswerMismatched:
        return "answer-mismatched";
    case ErrorCode::VersionConflict:
        return "version-conflict";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::RateLimited:
        return "rate-limited";
    case ErrorCode::StoreUnavailable:
        return "store-unavailable";
    case ErrorCode::PeerUnavailable:
        return "peer-unavailable";
    case ErrorCode::OutcomeUnknown:
        return "outcome-unknown";
    case ErrorCode::KeyInvalid:
        return "key-invalid";
    case ErrorCode::KeyExpired:
        return "key-expired";
    case ErrorCode::KeyReused:
        return "key-reused";
    case ErrorCode::LedgerFull:
        return "ledger-full";
    case ErrorCode::EditConflict:
        return "edit-conflict";
    case ErrorCode::StaleVersion:
        return "stale-version";
    case ErrorCode::NotReady:
        return "not-ready";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const Error& error)
{
    std::string line;
    if (!error.place.empty())
        line = error.place + ": ";
    line += toString(error.code);
    if (!error.detail.empty())
        line += ": " + error.detail;
    return line;
}

}
