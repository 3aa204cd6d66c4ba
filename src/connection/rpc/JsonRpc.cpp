#include <wagtailrack/connection/JsonRpc.h>

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <memory>
#include <utility>

namespace wagtailrack {
namespace connection {

class JsonRpcServer::Implementation : public jsonrpc::IProcedureInvokationHandler {
public:
    Implementation()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        try {
            output = this->methods.at(procedure.GetProcedureName())(input);
        } catch (const JsonRpcFailure& failure) {
            throw jsonrpc::JsonRpcException(failure.code, failure.message);
        } catch (const Json::Exception& failure) {
            // A parameter of another type than the method reads.
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

    std::map<std::string, JsonRpcServer::Method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

JsonRpcServer::JsonRpcServer()
    : implementation(new Implementation)
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::addMethod(const std::string& name, Method method)
{
    this->implementation->methods[name] = std::move(method);
    this->implementation->protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string JsonRpcServer::handle(const std::string& request)
{
    std::string answer;
    try {
        this->implementation->protocol->HandleRequest(request, answer);
    } catch (const Json::Exception&) {
        // The library lets this through when a text is nested deeper than the parser's limit.
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"the text cannot be parsed"}})";
    }
    return answer;
}

namespace {

// Messages of this program are at most a few levels deep; the parser recurses once for each level.
constexpr int maxAnswerDepth = 100;

constexpr const char* protocolVersion = "2.0";
constexpr int requestId = 1;

std::string encodeRequest(const std::string& method, const Json::Value& parameters)
{
    Json::Value request(Json::objectValue);
    request["jsonrpc"] = protocolVersion;
    request["id"] = requestId;
    request["method"] = method;
    request["params"] = parameters;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, request);
}

JsonRpcAnswer refused(int code, const std::string& message)
{
    JsonRpcAnswer answer;
    answer.end = JsonRpcEnd::Refused;
    answer.failure = { code, message };
    return answer;
}

JsonRpcAnswer decodeAnswer(const std::string& text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["stackLimit"] = maxAnswerDepth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value message;
    if (!reader->parse(text.data(), text.data() + text.size(), &message, nullptr) || !message.isObject()
        || message["jsonrpc"] != Json::Value(protocolVersion) || message["id"] != Json::Value(requestId))
        return refused(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, "not a JSON-RPC response");
    if (message.isMember("error")) {
        const Json::Value& error = message["error"];
        if (!error.isObject() || !error["code"].isInt() || !error["message"].isString())
            return refused(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, "the error is malformed");
        return refused(error["code"].asInt(), error["message"].asString());
    }
    if (!message.isMember("result"))
        return refused(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, "neither result nor error");
    JsonRpcAnswer answer;
    answer.end = JsonRpcEnd::Answered;
    answer.value = std::move(message["result"]);
    return answer;
}

}

// jsonrpc::Client is not used: its methods have dynamic exception specifications, so that any other exception than its
// own, such as that of a text nested too deeply, ends the process although it is caught here.
JsonRpcAnswer callJsonRpc(const JsonRpcTransport& transport, const std::string& method, const Json::Value& parameters)
{
    try {
        std::string text;
        if (transport(encodeRequest(method, parameters), text))
            return decodeAnswer(text);
        JsonRpcAnswer answer;
        answer.end = JsonRpcEnd::TransportFailed;
        answer.failure = { jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no answer" };
        return answer;
    } catch (const std::exception& failure) {
        return refused(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, failure.what());
    }
}

}
}
