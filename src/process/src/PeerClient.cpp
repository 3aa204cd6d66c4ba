#include <wagtailrack/process/PeerClient.h>

#include "PeerMessages.h"

#include <wagtailrack/connection/HttpConnection.h>
#include <wagtailrack/connection/JsonRpc.h>

#include <optional>

namespace wagtailrack::process {

namespace {

// A table of the largest size fits, with the escapes of its JSON text.
constexpr int64_t maxAnswerBytes = 4 << 20;

}

class PeerClient::Implementation {
public:
    Implementation(Endpoint target, PeerTraffic& counters)
        : connection(std::move(target))
        , traffic(counters)
    {
    }

    bool send(const std::string& text, std::string& answer, SteadyTime deadline)
    {
        connection::HttpRequest request;
        request.method = "POST";
        request.path = request.target = peerPath;
        request.headers["Content-Type"] = "application/json";
        request.body = text;
        this->traffic.bytesSent += text.size() + requestHeadBytes;
        const connection::ExchangeLimits limits { deadline, deadline, deadline, maxAnswerBytes };
        auto result = this->connection.exchange(request, limits);
        if (!result.response) {
            this->failure = result.response.error();
            return false;
        }
        this->traffic.bytesReceived += result.response.value().body.size() + responseHeadBytes;
        if (result.response.value().status != 200) {
            this->failure = makeError(ErrorCode::AnswerInvalid, this->connection.endpoint().toString(),
                "status " + std::to_string(result.response.value().status));
            return false;
        }
        answer = std::move(result.response.value().body);
        return true;
    }

    connection::HttpConnection connection;
    PeerTraffic& traffic;
    Error failure;
};

PeerClient::PeerClient(Endpoint endpoint, PeerTraffic& traffic)
    : implementation(std::make_unique<Implementation>(std::move(endpoint), traffic))
{
}

PeerClient::~PeerClient() = default;

Result<Json::Value> PeerClient::call(const std::string& method, const Json::Value& parameters, SteadyTime deadline)
{
    Implementation& state = *this->implementation;
    ++state.traffic.callsSent;
    const auto transport
        = [&](const std::string& text, std::string& answer) { return state.send(text, answer, deadline); };
    connection::JsonRpcAnswer answer = connection::callJsonRpc(transport, method, parameters);
    if (answer.end == connection::JsonRpcEnd::Answered && answer.value.isObject())
        return std::move(answer.value);
    ++state.traffic.callsFailed;
    if (answer.end == connection::JsonRpcEnd::TransportFailed)
        return state.failure;
    return makeError(ErrorCode::AnswerInvalid, this->endpoint().toString(),
        answer.end == connection::JsonRpcEnd::Refused ? answer.failure.message : "the result is not an object");
}

void PeerClient::cancel() noexcept { this->implementation->connection.cancel(); }

const Endpoint& PeerClient::endpoint() const noexcept { return this->implementation->connection.endpoint(); }

}
