#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

// JSON-RPC 2.0 by libjsonrpccpp. This header is C++14, because the library's headers compile only up to that version.
namespace wagtailrack {
namespace connection {

// The methods that a process offers to its peers. Add all methods before the first call; handle() may then be
// called by many threads.
class JsonRpcServer {
public:
    // A method throws JsonRpcFailure to answer with a JSON-RPC error.
    using Method = std::function<Json::Value(const Json::Value& parameters)>;

    JsonRpcServer();
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer&) = delete;
    JsonRpcServer& operator=(const JsonRpcServer&) = delete;

    void addMethod(const std::string& name, Method method);

    // Answers one request text. Malformed texts get a JSON-RPC error, never an exception.
    std::string handle(const std::string& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

struct JsonRpcFailure {
    int code = 0;
    std::string message;
};

enum class JsonRpcEnd {
    Answered,
    // The transport failed; whether the peer ran the method is unknown.
    TransportFailed,
    // The peer answered with an error or with something that is no JSON-RPC answer.
    Refused,
};

struct JsonRpcAnswer {
    JsonRpcEnd end = JsonRpcEnd::TransportFailed;
    Json::Value value;
    JsonRpcFailure failure;
};

// Calls one method. `transport` sends the request text and writes the answer text; it returns false on failure.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& answer)>;
JsonRpcAnswer callJsonRpc(const JsonRpcTransport& transport, const std::string& method, const Json::Value& parameters);

}
}
