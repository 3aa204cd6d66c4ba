#include "Subcommand.h"

#include <iostream>

namespace wagtailrack::command {

ExitCode reportError(const Error& error)
{
    std::cerr << "wagtailrack: " << describe(error) << '\n';
    switch (error.code) {
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionLost:
    case ErrorCode::TimedOut:
    case ErrorCode::RateLimited:
    case ErrorCode::StoreUnavailable:
    case ErrorCode::PeerUnavailable:
    case ErrorCode::NotReady:
    // The same edit can succeed later.
    case ErrorCode::VersionConflict:
    case ErrorCode::StaleVersion:
        return ExitCode::Unavailable;
    case ErrorCode::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Invalid;
    }
}

}
