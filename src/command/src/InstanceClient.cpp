#include "InstanceClient.h"

#include <wagtailrack/connection/HttpConnection.h>
#include <wagtailrack/version/parseJson.h>

#include <algorithm>

namespace wagtailrack::command {

namespace {

constexpr Milliseconds queryTimeout { 3000 };
constexpr int64_t maxAnswerBytes = 64 << 20;

connection::ExchangeLimits queryLimits()
{
    connection::ExchangeLimits limits;
    limits.deadline = std::chrono::steady_clock::now() + queryTimeout;
    limits.connectDeadline = limits.deadline;
    limits.firstByteDeadline = limits.deadline;
    limits.maxBodyBytes = maxAnswerBytes;
    return limits;
}

}

Result<Json::Value> InstanceClient::query(const Endpoint& instance, const std::string& target)
{
    connection::HttpRequest request;
    request.target = target;
    const auto result = connection::exchangeOnce(instance, request, queryLimits());
    if (!result.response)
        return makeError(ErrorCode::PeerUnavailable, instance.toString(), describe(result.response.error()));
    const connection::HttpResponse& response = result.response.value();
    const std::string& text = response.body;
    auto parsed = version::parseJson(text, instance.toString());
    if (!parsed || !parsed.value().isObject())
        return makeError(ErrorCode::AnswerInvalid, instance.toString(), "expected a JSON object");
    if (response.status != 200)
        return makeError(
            ErrorCode::PeerUnavailable, instance.toString(), "status " + std::to_string(response.status) + " " + text);
    return parsed;
}

Result<Json::Value> InstanceClient::queryFirst(const std::vector<Endpoint>& instances, const std::string& target)
{
    Result<Json::Value> answer = makeError(ErrorCode::MissingKey, "--instance", "name at least one instance");
    for (const Endpoint& instance : instances) {
        answer = query(instance, target);
        if (answer)
            break;
    }
    return answer;
}

Result<std::vector<Endpoint>> InstanceClient::discover(const std::vector<Endpoint>& instances)
{
    const auto status = queryFirst(instances, "/.wagtailrack/status");
    if (!status)
        return status.error();
    std::vector<Endpoint> all = instances;
    for (const Json::Value& member : status.value()["members"]) {
        if (!member.isObject() || !member["caller_address"].isString())
            return makeError(ErrorCode::AnswerInvalid, "status", "member without an address");
        const auto address = Endpoint::parse(member["caller_address"].asString());
        if (address && member["status"].asString() != "dead")
            all.push_back(address.value());
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

Result<std::vector<Endpoint>> parseEndpoints(const std::vector<std::string>& texts)
{
    std::vector<Endpoint> endpoints;
    for (const std::string& text : texts) {
        const auto endpoint = Endpoint::parse(text);
        if (!endpoint)
            return endpoint.error();
        endpoints.push_back(endpoint.value());
    }
    return endpoints;
}

}
