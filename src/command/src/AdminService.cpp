#include "AdminService.h"

#include <wagtailrack/base/HeaderNames.h>

#include <json/writer.h>

#include <charconv>

namespace wagtailrack::command {

using connection::HttpRequest;
using connection::HttpResponse;

namespace {

constexpr uint64_t maxOrderKeys = 100;
constexpr uint64_t maxEvents = 5000;

HttpResponse answerJson(int status, const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return HttpResponse::json(status, Json::writeString(writer, value));
}

HttpResponse answerError(int status, const Error& error)
{
    Json::Value value;
    value["error"] = toString(error.code);
    value["outcome"] = "not-run";
    value["detail"] = describe(error);
    HttpResponse response = answerJson(status, value);
    response.headers[headers::outcome] = "not-run";
    response.headers[headers::reason] = toString(error.code);
    return response;
}

// A whole number of the query; `fallback` when it is absent.
Result<uint64_t> queryNumber(const HttpRequest& request, const std::string& name, uint64_t fallback, uint64_t highest)
{
    const auto found = request.query.find(name);
    if (found == request.query.end())
        return fallback;
    const std::string& text = found->second;
    uint64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size() || number > highest)
        return makeError(ErrorCode::OutOfRange, name, "expected a whole number up to " + std::to_string(highest));
    return number;
}

Json::Value describeMember(const process::Member& member)
{
    Json::Value value;
    value["name"] = member.name;
    value["process_id"] = member.processId;
    value["failure_domain"] = member.failureDomain;
    value["caller_address"] = member.callerAddress.toString();
    value["peer_address"] = member.peerAddress.toString();
    value["incarnation"] = Json::UInt64(member.incarnation);
    value["status"] = process::toString(member.status);
    return value;
}

}

const AdminService::Path AdminService::paths[] = {
    { "GET", "lookup", &AdminService::answerLookup },
    { "POST", "order-keys", &AdminService::answerOrderKeys },
    { "GET", "ready", &AdminService::answerReady },
    { "GET", "status", &AdminService::answerStatus },
    { "GET", "metrics", &AdminService::answerMetrics },
    { "GET", "timeline", &AdminService::answerTimeline },
};

const char* toString(ServingState state) noexcept
{
    switch (state) {
    case ServingState::WaitingForTables:
        return "waiting-for-tables";
    case ServingState::WaitingForSlots:
        return "waiting-for-slots";
    case ServingState::Serving:
        return "serving";
    case ServingState::Leaving:
        return "leaving";
    }
    return "leaving";
}

AdminService::AdminService(AdminSources processObjects)
    : sources(std::move(processObjects))
{
}

bool AdminService::owns(std::string_view path) noexcept { return path.starts_with(pathPrefix); }

HttpResponse AdminService::handle(const HttpRequest& request) const
{
    const std::string_view name = std::string_view(request.path).substr(sizeof pathPrefix - 1);
    for (const Path& path : paths) {
        if (name != path.name)
            continue;
        if (request.method != path.method)
            return answerError(405, makeError(ErrorCode::NotFound, request.path, std::string("use ") + path.method));
        return (this->*path.handler)(request);
    }
    return answerError(404, makeError(ErrorCode::NotFound, request.path, "no such administrative path"));
}

HttpResponse AdminService::refuse(const Error& error)
{
    if (error.code == ErrorCode::NotReady)
        return answerError(503, error);
    return answerError(error.code == ErrorCode::UnknownName ? 404 : 400, error);
}

HttpResponse AdminService::answerLookup(const HttpRequest& request) const { return this->sources.lookup(request); }

HttpResponse AdminService::answerOrderKeys(const HttpRequest& request) const
{
    const auto count = queryNumber(request, "count", 1, maxOrderKeys);
    if (!count)
        return answerError(400, count.error());
    // A key has to find its owner here until it expires, so an instance that stops issues none.
    if (this->sources.state() != ServingState::Serving)
        return answerError(
            503, makeError(ErrorCode::NotReady, this->sources.settings.name, toString(this->sources.state())));
    Json::Value value;
    value["instance"] = this->sources.settings.name;
    value["address"] = this->sources.settings.callerAddress.toString();
    value["valid_for_ms"] = Json::Int64(this->sources.settings.orderKeyValidityMs);
    value["order_keys"] = Json::arrayValue;
    for (uint64_t index = 0; index < count.value(); ++index)
        value["order_keys"].append(this->sources.ledger.issueKey());
    return answerJson(200, value);
}

HttpResponse AdminService::answerReady(const HttpRequest&) const
{
    const ServingState state = this->sources.state();
    Json::Value value;
    value["ready"] = state == ServingState::Serving;
    value["state"] = toString(state);
    return answerJson(state == ServingState::Serving ? 200 : 503, value);
}

HttpResponse AdminService::answerStatus(const HttpRequest&) const
{
    Json::Value value;
    value["name"] = this->sources.settings.name;
    value["process_id"] = this->sources.self.processId;
    value["failure_domain"] = this->sources.settings.failureDomain;
    value["state"] = toString(this->sources.state());
    if (const auto active = this->sources.configuration.active()) {
        value["generation"] = Json::UInt64(active->id.generation);
        value["digest"] = active->id.digest;
    }
    value["orders"] = Json::UInt64(this->sources.ledger.size());
    value["members"] = Json::arrayValue;
    for (const process::Member& member : this->sources.memberView()->members)
        value["members"].append(describeMember(member));
    return answerJson(200, value);
}

HttpResponse AdminService::answerMetrics(const HttpRequest&) const
{
    return HttpResponse { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->sources.metrics.render() };
}

HttpResponse AdminService::answerTimeline(const HttpRequest& request) const
{
    const auto after = queryNumber(request, "after", 0, UINT64_MAX);
    if (!after)
        return answerError(400, after.error());
    auto events = this->sources.timeline.since(after.value());
    if (events.size() > maxEvents)
        events.resize(maxEvents);
    Json::Value value;
    value["instance"] = this->sources.settings.name;
    value["process_id"] = this->sources.self.processId;
    value["next_after"] = Json::UInt64(events.empty() ? after.value() : events.back().sequence);
    value["events"] = Json::arrayValue;
    for (const process::Event& event : events) {
        Json::Value entry;
        entry["sequence"] = Json::UInt64(event.sequence);
        entry["time_us"]
            = Json::Int64(std::chrono::duration_cast<std::chrono::microseconds>(event.time.time_since_epoch()).count());
        entry["kind"] = process::toString(event.kind);
        entry["subject"] = event.subject;
        entry["detail"] = event.detail;
        value["events"].append(std::move(entry));
    }
    return answerJson(200, value);
}

}
