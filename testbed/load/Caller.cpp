#include "Caller.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>

#include <json/reader.h>
#include <json/value.h>

namespace wagtailrack::testbed {

using connection::ExchangeResult;
using connection::HttpRequest;
using connection::HttpResponse;

namespace {

constexpr Milliseconds connectTime { 500 };
constexpr Milliseconds lookupTime { 500 };
// Time beyond a request's deadline for the answer to travel.
constexpr Milliseconds answerGrace { 500 };
constexpr int64_t maxAnswerBytes = 8 << 20;
constexpr size_t maxInstancesTried = 3;

Json::Value parseJson(const std::string& text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
        return Json::Value(Json::objectValue);
    return value;
}

}

void readAnswer(const HttpResponse& response, CallRecord& record)
{
    constexpr int firstServerFailure = 500;
    const std::string outcome = connection::headerValue(response.headers, headers::outcome);
    record.status = response.status;
    record.reason = connection::headerValue(response.headers, headers::reason);
    record.end = CallEnd::Wrong;
    if (outcome == "done") {
        const Json::Value body = parseJson(response.body);
        record.server = body["server"].asString();
        if (body["request_id"].asString() == record.requestId && body["z_end"].asString() == record.requestId)
            record.end = response.status < firstServerFailure ? CallEnd::Done : CallEnd::Unknown;
    } else if (outcome == "not-run") {
        record.end = CallEnd::NotRun;
    } else if (outcome == "unknown") {
        record.end = CallEnd::Unknown;
    }
}

const char* toString(CallEnd end) noexcept
{
    static constexpr const char* names[] = { "done", "not-run", "unknown", "aborted", "wrong" };
    return names[static_cast<int>(end)];
}

Caller::Caller(std::string callerAddress, const std::vector<Endpoint>& configured, LookupCache& lookupCache)
    : address(std::move(callerAddress))
    , bootstrap(configured)
    , cache(lookupCache)
{
}

ExchangeResult Caller::exchange(const Endpoint& instance, const HttpRequest& request, SteadyTime deadline)
{
    auto& connection = this->connections[instance];
    if (!connection)
        connection = std::make_unique<connection::HttpConnection>(instance, this->address);
    const SteadyTime connectDeadline = std::min(deadline, std::chrono::steady_clock::now() + connectTime);
    return connection->exchange(request, { connectDeadline, deadline, deadline, maxAnswerBytes });
}

std::vector<Endpoint> Caller::instancesFor(const std::string& service, SteadyTime deadline)
{
    if (auto cached = this->cache.find(service))
        return *std::move(cached);
    HttpRequest request;
    request.path = "/.wagtailrack/lookup";
    request.target = request.path + "?service=" + service + "&block=" + this->address;
    const size_t first = randomBelow(this->bootstrap.size());
    for (size_t tried = 0; tried < this->bootstrap.size(); ++tried) {
        const Endpoint& instance = this->bootstrap[(first + tried) % this->bootstrap.size()];
        const SteadyTime now = std::chrono::steady_clock::now();
        if (now >= deadline)
            break;
        const auto result = this->exchange(instance, request, std::min(deadline, now + lookupTime));
        if (!result.response || result.response.value().status != 200)
            continue;
        const Json::Value answer = parseJson(result.response.value().body);
        std::vector<Endpoint> instances;
        for (const Json::Value& entry : answer["instances"]) {
            if (auto endpoint = Endpoint::parse(entry["address"].asString()))
                instances.push_back(std::move(endpoint).value());
        }
        if (instances.empty())
            continue;
        // Counted from before the exchange, so that the answer never outlives what the instance promised.
        this->cache.store(service, instances, now + Milliseconds(answer["valid_for_ms"].asInt64()));
        return instances;
    }
    return this->bootstrap;
}

std::optional<std::string> Caller::fetchOrderKey(const Endpoint& instance, SteadyTime deadline)
{
    HttpRequest request;
    request.method = "POST";
    request.path = request.target = "/.wagtailrack/order-keys";
    const auto result = this->exchange(instance, request, deadline);
    if (!result.response || result.response.value().status != 200)
        return std::nullopt;
    const std::string key = parseJson(result.response.value().body)["order_keys"][0].asString();
    return key.empty() ? std::nullopt : std::optional(key);
}

bool Caller::takeOrderKey(CallRecord& record, std::vector<Endpoint>& instances, SteadyTime deadline)
{
    for (size_t index = 0; index < instances.size(); ++index) {
        if (auto key = this->fetchOrderKey(instances[index], deadline)) {
            record.orderKey = *std::move(key);
            std::swap(instances[0], instances[index]);
            return true;
        }
    }
    return false;
}

CallRecord Caller::run(const Call& call)
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + Milliseconds(call.deadlineMs);
    CallRecord record;
    record.requestId = call.requestId;
    record.service = call.service;
    std::vector<Endpoint> instances = this->instancesFor(call.service, deadline);
    if (call.isOrder && !this->takeOrderKey(record, instances, deadline)) {
        // Nothing was sent, so the order certainly did not run.
        record.end = CallEnd::NotRun;
        record.reason = "no-order-key";
        return record;
    }
    HttpRequest request;
    request.method = call.method;
    request.path = request.target = call.path;
    request.body = call.body;
    request.headers = call.headers;
    request.headers[headers::requestId] = call.requestId;
    if (call.isOrder)
        request.headers[headers::idempotencyKey] = record.orderKey;
    for (size_t tried = 0; tried < std::min(instances.size(), maxInstancesTried); ++tried) {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        if (left <= 0)
            break;
        request.headers[headers::deadlineMs] = std::to_string(left);
        record.instance = instances[tried].toString();
        const ExchangeResult result = this->exchange(instances[tried], request, deadline + answerGrace);
        if (result.response) {
            readAnswer(result.response.value(), record);
            // An earlier attempt may have run although the last one did not.
            if (record.end == CallEnd::NotRun && record.cutAttempts + record.lateAttempts > 0 && !call.isOrder)
                record.end = CallEnd::Unknown;
            return record;
        }
        record.reason = toString(result.response.error().code);
        if (result.progress != connection::SendProgress::MaybeSent)
            continue;
        // An instance that is slow on a busy machine has not cut the request off.
        if (result.response.error().code == ErrorCode::TimedOut)
            record.lateAttempts += 1;
        else
            record.cutAttempts += 1;
    }
    this->cache.drop(call.service);
    if (record.cutAttempts == 0)
        record.end = record.lateAttempts == 0 ? CallEnd::NotRun : CallEnd::Unknown;
    return record;
}

}
