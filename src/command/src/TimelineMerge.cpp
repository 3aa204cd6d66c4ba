#include "TimelineMerge.h"

#include <algorithm>
#include <ctime>

namespace wagtailrack::command {

std::string MergedEvent::toLine() const
{
    const time_t seconds = this->timeUs / 1'000'000;
    tm parts {};
    gmtime_r(&seconds, &parts);
    char time[40];
    const size_t length = std::strftime(time, sizeof time, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(time + length, sizeof time - length, ".%06dZ", static_cast<int>(this->timeUs % 1'000'000));
    return std::string(time) + " instance=" + this->instance + " sequence=" + std::to_string(this->sequence)
        + " kind=" + this->kind + " subject=" + this->subject + " " + this->detail;
}

bool EventFilter::matches(const MergedEvent& event) const
{
    if (!this->instance.empty() && event.instance != this->instance)
        return false;
    if (!this->kind.empty() && event.kind != this->kind)
        return false;
    if (this->request.empty() || event.subject == this->request)
        return true;
    return (" " + event.detail + " ").find(" request=" + this->request + " ") != std::string::npos;
}

Result<std::vector<MergedEvent>> readEvents(const Json::Value& answer)
{
    const Error invalid = makeError(ErrorCode::AnswerInvalid, "timeline", "not a timeline answer");
    if (!answer.isObject() || !answer["instance"].isString() || !answer["events"].isArray())
        return invalid;
    std::vector<MergedEvent> events;
    for (const Json::Value& entry : answer["events"]) {
        const bool isEvent = entry.isObject() && entry["time_us"].isInt64() && entry["sequence"].isUInt64()
            && entry["kind"].isString() && entry["subject"].isString() && entry["detail"].isString();
        if (!isEvent)
            return invalid;
        events.push_back({ entry["time_us"].asInt64(), answer["instance"].asString(), entry["sequence"].asUInt64(),
            entry["kind"].asString(), entry["subject"].asString(), entry["detail"].asString() });
    }
    return events;
}

std::vector<MergedEvent> mergeEvents(std::vector<std::vector<MergedEvent>> lists, const EventFilter& filter)
{
    std::vector<MergedEvent> merged;
    for (auto& list : lists) {
        for (MergedEvent& event : list) {
            if (filter.matches(event))
                merged.push_back(std::move(event));
        }
    }
    std::sort(merged.begin(), merged.end());
    return merged;
}

}
