#pragma once

#include <cstdint>
#include <string>

namespace wagtailrack::testbed {

// What a caller was told in the end.
enum class CallEnd {
    Done,
    NotRun,
    Unknown,
    // No complete answer came from any instance that was tried.
    Aborted,
    // An answer that is not whole, belongs to another request or breaks the protocol. Never allowed.
    Wrong,
};

const char* toString(CallEnd end) noexcept;

// One call as its caller saw it.
struct CallRecord {
    std::string requestId;
    std::string service;
    // Key of an order; empty for others.
    std::string orderKey;
    // Address of the instance that was asked last.
    std::string instance;
    // Backend server that answered.
    std::string server;
    CallEnd end = CallEnd::Aborted;
    int status = 0;
    std::string reason;
    // Attempts that ended without an answer after the request may have been sent.
    int64_t cutAttempts = 0;
    // Attempts that had no answer by the caller's own deadline; their connection was not closed by the other end.
    int64_t lateAttempts = 0;
    // Since the start of the run.
    int64_t intendedUs = 0;
    // From the intended send time to the end, so that a slow system does not hide its own delay.
    int64_t latencyUs = 0;
    // Index of the failure domain that the caller is at home in.
    int64_t homeDomain = 0;

    bool isOrder() const noexcept { return !this->orderKey.empty(); }

    friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

}
