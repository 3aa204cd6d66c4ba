#include "InternalClient.h"

#include "Subcommand.h"

#include <wagtailrack/connection/HttpConnection.h>
#include <wagtailrack/version/parseJson.h>

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

namespace wagtailrack::command {

namespace {

// As for other queries of instances.
constexpr Milliseconds queryTimeout { 3000 };
// A list of some thousand servers of 400 bytes each, with room.
constexpr int64_t maximumAnswerBytes = 16 << 20;
// As in the instance's response; more would suggest a precision that estimates do not have.
constexpr int figureDigits = 4;

struct Column {
    const char* title;
    const char* member;
    int width;
};

constexpr std::array<Column, 15> explanationColumns { {
    { "server", "id", 16 },
    { "reason", "reason", 18 },
    { "score", "score", 8 },
    { "load", "load", 6 },
    { "slots", "slots", 5 },
    { "wait_ms", "wait_ms", 8 },
    { "work_ms", "processing_ms", 8 },
    { "net_ms", "distance_ms", 7 },
    { "cached", "cached", 6 },
    { "speed", "speed", 6 },
    { "knee", "knee", 5 },
    { "failures", "failure_rate", 8 },
    { "cold_ms", "cold_ms", 8 },
    { "pause_ms", "pause_ms", 8 },
    { "region", "region", 8 },
} };

constexpr std::array<Column, 13> serverColumns { {
    { "server", "id", 16 },
    { "address", "address", 21 },
    { "domain", "failure_domain", 12 },
    { "load", "load", 6 },
    { "slots", "slots", 5 },
    { "usable", "usable_slots", 6 },
    { "speed", "speed", 6 },
    { "knee", "knee", 5 },
    { "slowdown", "slowdown", 8 },
    { "confidence", "confidence", 10 },
    { "failures", "failure_rate", 8 },
    { "cold_ms", "cold_ms", 8 },
    { "pause_ms", "pause_ms", 8 },
} };

std::string textOf(const Json::Value& value)
{
    if (value.isNull())
        return "-";
    if (value.isBool())
        return value.asBool() ? "yes" : "no";
    if (value.isDouble()) {
        std::array<char, 32> buffer {};
        std::snprintf(buffer.data(), buffer.size(), "%.4g", value.asDouble());
        return buffer.data();
    }
    return value.isArray() || value.isObject() ? "..." : value.asString();
}

std::string padded(std::string text, int width)
{
    text.resize(std::max(text.size(), static_cast<size_t>(width)), ' ');
    return text + ' ';
}

std::string flagsOf(const Json::Value& server)
{
    std::string flags;
    for (const char* name : { "leaving", "draining", "evacuated" }) {
        if (server[name].isBool() && server[name].asBool())
            flags += std::string(flags.empty() ? "" : ",") + name;
    }
    if (server["unreachable_ms"].isIntegral() && server["unreachable_ms"].asInt64() > 0)
        flags += std::string(flags.empty() ? "" : ",") + "unreachable";
    return flags.empty() ? "-" : flags;
}

template <size_t count> std::string describeTable(const Json::Value& servers, const std::array<Column, count>& columns)
{
    std::string text = "  ";
    for (const Column& column : columns)
        text += padded(column.title, column.width);
    text += "state\n";
    for (const Json::Value& server : servers) {
        text += "  ";
        for (const Column& column : columns)
            text += padded(textOf(server[column.member]), column.width);
        text += flagsOf(server) + '\n';
    }
    return text;
}

// "name=value" for each member that is neither a list nor an object.
std::string describeMembers(const Json::Value& object)
{
    std::string text;
    for (const std::string& name : object.getMemberNames()) {
        const Json::Value& value = object[name];
        if (value.isArray() && !value.empty()) {
            text += ' ' + name + '=';
            for (Json::ArrayIndex index = 0; index < value.size(); ++index)
                text += (index > 0 ? "," : "") + textOf(value[index]);
        } else if (!value.isArray() && !value.isObject())
            text += ' ' + name + '=' + textOf(value);
    }
    return text;
}

std::string describeInstance(const Json::Value& answer)
{
    std::string text = "instance " + textOf(answer["instance"]) + " region=" + textOf(answer["region"])
        + " failure_domain=" + textOf(answer["failure_domain"]) + (answer["stopping"] == true ? " stopping" : "")
        + '\n';
    text += answer.isMember("configuration") ? "configuration" + describeMembers(answer["configuration"]) + '\n'
                                             : "configuration: none is known yet\n";
    return text;
}

}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += { '%', digits[byte / 16], digits[byte % 16] };
    }
    return encoded;
}

std::string encodeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["precision"] = figureDigits;
    return Json::writeString(builder, value) + '\n';
}

Result<Json::Value> queryInternal(const Endpoint& instance, const std::string& target, const std::string& kind)
{
    connection::HttpRequest request;
    request.target = target;
    connection::ExchangeLimits limits;
    limits.deadline = std::chrono::steady_clock::now() + queryTimeout;
    limits.connectDeadline = limits.deadline;
    limits.firstByteDeadline = limits.deadline;
    limits.maxBodyBytes = maximumAnswerBytes;
    const auto wrongAddress = [&instance] {
        return makeError(ErrorCode::AnswerInvalid, instance.toString(),
            "something else answers there; expected the internal address of wagtailrack edge, which serves /metrics");
    };
    const auto result = connection::exchangeOnce(instance, request, limits);
    if (!result.response) {
        const Error& error = result.response.error();
        if (error.code == ErrorCode::AnswerInvalid || error.code == ErrorCode::SyntaxError
            || error.code == ErrorCode::AnswerTooLarge)
            return wrongAddress();
        return makeError(
            ErrorCode::PeerUnavailable, instance.toString(), "the instance was not reached: " + describe(error));
    }
    const connection::HttpResponse& response = result.response.value();
    auto parsed = version::parseJson(response.body, instance.toString());
    if (!parsed || !parsed.value().isObject() || parsed.value()["wagtailrack"] != kind)
        return wrongAddress();
    if (parsed.value().isMember("error"))
        return makeError(response.status == 404 ? ErrorCode::NotFound : ErrorCode::SyntaxError, instance.toString(),
            textOf(parsed.value()["error"]));
    return parsed;
}

ExitCode reportInternalError(const Error& error)
{
    const ExitCode code = reportError(error);
    return error.code == ErrorCode::AnswerInvalid ? ExitCode::Usage : code;
}

std::string describeExplanation(const Json::Value& explanation)
{
    std::string text = describeInstance(explanation);
    text += "request" + describeMembers(explanation["request"]) + '\n';
    if (explanation.isMember("route"))
        text += "route" + describeMembers(explanation["route"]) + '\n';
    if (explanation.isMember("workspace")) {
        const Json::Value& workspace = explanation["workspace"];
        text += "workspace" + describeMembers(workspace) + '\n';
        text += workspace.isMember("limit") ? "usage limit" + describeMembers(workspace["limit"]) + '\n'
                                            : "usage limit: none\n";
    }
    if (explanation.isMember("service"))
        text += "service " + textOf(explanation["service"]) + " object_region=" + textOf(explanation["object_region"])
            + " quarantine=" + textOf(explanation["quarantine"]) + " utilisation=" + textOf(explanation["utilisation"])
            + " wait_limit_ms=" + textOf(explanation["wait_limit_ms"]) + '\n';
    if (!explanation["servers"].empty())
        text += describeTable(explanation["servers"], explanationColumns);
    if (explanation.isMember("refusal"))
        text += "outcome: refused" + describeMembers(explanation["refusal"]) + '\n';
    else
        text += "outcome: sent to " + textOf(explanation["server"]) + '\n';
    if (explanation.isMember("without_server"))
        text += "without a server: refused" + describeMembers(explanation["without_server"]) + '\n';
    return text;
}

std::string describeServers(const Json::Value& servers)
{
    std::string text = describeInstance(servers);
    const Json::Value& services = servers["services"];
    for (const std::string& service : services.getMemberNames())
        text += "service " + service + '\n' + describeTable(services[service], serverColumns);
    return text;
}

ExitCode printServers(const std::string& address, bool isJson)
{
    const auto instance = Endpoint::parse(address);
    if (!instance)
        return reportError(instance.error());
    const auto answer = queryInternal(instance.value(), "/servers", "servers");
    if (!answer)
        return reportInternalError(answer.error());
    std::cout << (isJson ? encodeJson(answer.value()) : describeServers(answer.value()));
    return ExitCode::Success;
}

}
