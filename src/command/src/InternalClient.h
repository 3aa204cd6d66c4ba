#pragma once

#include "ExitCode.h"

#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/base/Error.h>

#include <json/value.h>

#include <string>
#include <string_view>

namespace wagtailrack::command {

// GETs a target at the internal address of an instance of `wagtailrack edge`. `kind` is what the response has to be:
// "explain" or "servers". Fails with PeerUnavailable if nothing answers, AnswerInvalid if something else does, NotFound
// if the instance has no such request or workspace, and SyntaxError if it does not accept the question.
Result<Json::Value> queryInternal(const Endpoint& instance, const std::string& target, const std::string& kind);

// Prints the failure of queryInternal(). A wrong address is an error of the command line.
ExitCode reportInternalError(const Error& error);

// Encodes a value of a query.
std::string percentEncode(std::string_view text);

// JSON with as many digits as the instance sends.
std::string encodeJson(const Json::Value& value);

// Text for operators of the responses of /explain and /servers.
std::string describeExplanation(const Json::Value& explanation);
std::string describeServers(const Json::Value& servers);

// `wagtailrack status --internal ADDRESS`
ExitCode printServers(const std::string& address, bool isJson);

}
