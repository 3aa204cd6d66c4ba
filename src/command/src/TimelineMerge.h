#pragma once

#include <wagtailrack/base/Error.h>

#include <json/value.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailrack::command {

// One event of one instance, as the timeline command shows it. Sorted by time, then instance, then sequence.
struct MergedEvent {
    int64_t timeUs = 0;
    std::string instance;
    uint64_t sequence = 0;
    std::string kind;
    std::string subject;
    std::string detail;

    std::string toLine() const;

    friend auto operator<=>(const MergedEvent&, const MergedEvent&) = default; // NOLINT(modernize-use-nullptr)
};

// Which events are shown; an empty text matches all.
struct EventFilter {
    // Matches the subject, or a `request=` field of the detail.
    std::string request;
    std::string instance;
    std::string kind;

    bool matches(const MergedEvent& event) const;
};

// Reads the answer of one instance's /.wagtailrack/timeline. Fails with AnswerInvalid.
Result<std::vector<MergedEvent>> readEvents(const Json::Value& answer);

// All events that match, by time.
std::vector<MergedEvent> mergeEvents(std::vector<std::vector<MergedEvent>> lists, const EventFilter& filter);

}
