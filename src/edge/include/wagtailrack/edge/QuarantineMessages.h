#pragma once

#include <wagtailrack/edge/LoadMessages.h>

#include <cstdint>
#include <vector>

// What instances tell each other about requests that crash servers, encoded as the load messages are. Times are ages in
// milliseconds when the message is sent, since the clocks of the instances differ.
namespace wagtailrack::edge {

struct ReportedCrash {
    uint64_t request = 0;
    uint64_t server = 0;
    uint32_t sentAgeMs = 0;
    uint32_t endedAgeMs = 0;
    bool isOnNewConnection = false;
    bool isSilent = false;

    friend bool operator==(const ReportedCrash&, const ReportedCrash&) = default;
    MSGPACK_DEFINE(request, server, sentAgeMs, endedAgeMs, isOnNewConnection, isSilent)
};

// A request that is refused. `requestAgeMs` is the time since the request last came.
struct ReportedQuarantine {
    uint64_t request = 0;
    uint32_t beganAgeMs = 0;
    uint32_t requestAgeMs = 0;

    friend bool operator==(const ReportedQuarantine&, const ReportedQuarantine&) = default;
    MSGPACK_DEFINE(request, beganAgeMs, requestAgeMs)
};

// A request whose crashes up to this age no longer count: a server has responded to it, or an operator has cleared it.
// Only the latter ends a quarantine.
struct ReportedAcquittal {
    uint64_t request = 0;
    uint32_t ageMs = 0;
    bool isByOperator = false;

    friend bool operator==(const ReportedAcquittal&, const ReportedAcquittal&) = default;
    MSGPACK_DEFINE(request, ageMs, isByOperator)
};

struct QuarantineMessage {
    static constexpr char kind = 'Q';
    std::vector<ReportedCrash> crashes;
    std::vector<ReportedQuarantine> quarantines;
    std::vector<ReportedAcquittal> acquittals;

    bool isEmpty() const { return this->crashes.empty() && this->quarantines.empty() && this->acquittals.empty(); }
    size_t size() const { return this->crashes.size() + this->quarantines.size() + this->acquittals.size(); }

    friend bool operator==(const QuarantineMessage&, const QuarantineMessage&) = default;
    MSGPACK_DEFINE(crashes, quarantines, acquittals)
};

}
