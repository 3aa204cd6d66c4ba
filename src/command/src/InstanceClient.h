#pragma once

#include <wagtailrack/base/Endpoint.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace wagtailrack::command {

// Asks instances for their administrative answers, for the short-lived subcommands.
class InstanceClient {
public:
    // GETs a path of one instance and reads the JSON answer. Fails with PeerUnavailable, or with AnswerInvalid when
    // the answer is no JSON object; an answer with an error status is a failure with its text.
    static Result<Json::Value> query(const Endpoint& instance, const std::string& target);

    // The first answer of several instances; the failure of the last one when none answers.
    static Result<Json::Value> queryFirst(const std::vector<Endpoint>& instances, const std::string& target);

    // Caller addresses of all instances that the given ones know, those included.
    static Result<std::vector<Endpoint>> discover(const std::vector<Endpoint>& instances);
};

// Reads "address:port" texts of a command line.
Result<std::vector<Endpoint>> parseEndpoints(const std::vector<std::string>& texts);

}
