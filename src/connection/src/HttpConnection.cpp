#include <wagtailrack/connection/HttpConnection.h>

#include "ClientSocket.h"
#include "SocketStream.h"

#include <unistd.h>

namespace wagtailrack::connection {

namespace {

// httplib matches the status line with std::regex, which recurses for each character: 200,000 overflow a stack of 8 MB.
// In a trial with a similar expression and 1 MB, as the threads of caller connections have, 8,192 did and 4,096 did
// not.
constexpr int64_t maxStatusLineBytes = 1024;
// As in httplib, which compares only after it has read the whole line.
constexpr int64_t maxHeaderLineBytes = CPPHTTPLIB_HEADER_MAX_LENGTH;
// All headers of an answer, and the framing of a few chunks.
constexpr int64_t maxOverheadBytes = 65'536;
// Bytes of a body with the framing of its chunks, relative to its content: enough for chunks of 5 bytes, which have 5
// more.
constexpr int64_t bodyFramingFactor = 2;

bool hasControlCharacter(const std::string& text)
{
    return std::any_of(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; });
}

httplib::Request toHttplib(const HttpRequest& source)
{
    httplib::Request request;
    request.method = source.method;
    request.path = source.target;
    for (const auto& header : source.headers) {
        // httplib percent-decodes header values that it reads, so that a value can contain a line break.
        if (!hasControlCharacter(header.second))
            request.headers.emplace(header.first, header.second);
    }
    request.body = source.body;
    return request;
}

HttpResponse fromHttplib(const httplib::Response& source, std::string body)
{
    HttpResponse response;
    response.status = source.status;
    for (const auto& header : source.headers)
        response.headers[header.first] = header.second;
    response.body = std::move(body);
    return response;
}

std::string& defaultLocalAddress()
{
    static std::string address;
    return address;
}

bool isDecimal(const std::string& text) noexcept
{
    return !text.empty() && text.size() <= 18 && text.find_first_not_of("0123456789") == std::string::npos;
}

// The end of a body without a length cannot be told from a connection that broke.
bool hasSoundLength(const httplib::Response& response, const std::string& method)
{
    const size_t lengths = response.get_header_value_count("Content-Length");
    const bool isChunked = response.has_header("Transfer-Encoding");
    if (lengths == 0)
        return isChunked || response.status == 204 || response.status == 304 || method == "HEAD";
    return lengths == 1 && !isChunked && isDecimal(response.get_header_value("Content-Length"));
}

// A server in trouble may send any three digits. Interim responses (100 to 199) are not final ones either.
bool isFinalStatus(int status) noexcept { return status >= 200 && status <= 599; }

}

class HttpConnection::Implementation final : public httplib::ClientImpl {
public:
    Implementation(Endpoint target, std::string sourceAddress)
        : httplib::ClientImpl(target.host, target.port)
        , endpoint(std::move(target))
        , localAddress(std::move(sourceAddress))
    {
        this->set_keep_alive(true);
        this->set_follow_location(false);
        this->set_decompress(false);
        // The target is sent as the caller wrote it.
        this->set_url_encode(false);
    }

    bool create_and_connect_socket(Socket& socket, httplib::Error& error) override
    {
        socket.sock = connectSocket(this->endpoint, this->localAddress,
            std::min(this->limits->connectDeadline, this->limits->deadline), this->cancellable);
        if (socket.sock < 0) {
            socket.sock = INVALID_SOCKET;
            error = httplib::Error::Connection;
        }
        return socket.sock != INVALID_SOCKET;
    }

    bool process_socket(const Socket& socket, std::function<bool(httplib::Stream&)> callback) override
    {
        if (!this->cancellable.begin(socket.sock))
            return false;
        SocketStream stream(socket.sock);
        stream.setDeadline(this->limits->deadline);
        stream.setFirstByteDeadline(this->limits->firstByteDeadline);
        stream.setLineLimits(maxStatusLineBytes, maxHeaderLineBytes);
        const int64_t bodyBytes = std::min(this->limits->maxBodyBytes, INT64_MAX / 4);
        stream.setReadLimit(bodyFramingFactor * bodyBytes + maxOverheadBytes);
        stream.setSlowAction(this->limits->slowAt, this->limits->slowAction);
        bool isDone = false;
        try {
            isDone = callback(stream);
        } catch (const std::exception&) {
            // httplib parses what any program at this address sends, and most callers are threads that do not catch.
            // Fails below like an unreadable answer, so that the request still counts as sent.
        }
        this->sent = stream.bytesWritten() > 0 ? SendProgress::MaybeSent : SendProgress::NothingSent;
        this->received = stream.bytesRead() > 0 ? ReceiveProgress::SomeReceived : ReceiveProgress::NothingReceived;
        this->cancellable.end();
        return isDone;
    }

    ErrorCode codeOf(httplib::Error error) const
    {
        if (this->cancellable.isCancelled())
            return ErrorCode::Cancelled;
        if (error == httplib::Error::Connection)
            return ErrorCode::ConnectFailed;
        const auto now = std::chrono::steady_clock::now();
        const bool isSilent = this->received == ReceiveProgress::NothingReceived;
        if (now >= this->limits->deadline || (isSilent && now >= this->limits->firstByteDeadline))
            return ErrorCode::TimedOut;
        return isSilent ? ErrorCode::ConnectionLost : ErrorCode::AnswerInvalid;
    }

    Endpoint endpoint;
    std::string localAddress;
    CancellableSocket cancellable;
    const ExchangeLimits* limits = nullptr;
    SendProgress sent = SendProgress::NothingSent;
    ReceiveProgress received = ReceiveProgress::NothingReceived;
};

HttpConnection::HttpConnection(Endpoint target, const std::string& localAddress)
    : implementation(std::make_unique<Implementation>(
        std::move(target), localAddress.empty() ? defaultLocalAddress() : localAddress))
{
}

HttpConnection::~HttpConnection() = default;

ExchangeResult HttpConnection::exchange(const HttpRequest& request, const ExchangeLimits& limits)
{
    Implementation& self = *this->implementation;
    self.limits = &limits;
    self.sent = SendProgress::NothingSent;
    self.received = ReceiveProgress::NothingReceived;

    std::string body;
    ErrorCode refusal = ErrorCode::Internal;
    httplib::Request message = toHttplib(request);
    message.response_handler = [&](const httplib::Response& head) {
        const bool isTooLong = head.has_header("Content-Length")
            && head.get_header_value<uint64_t>("Content-Length") > static_cast<uint64_t>(limits.maxBodyBytes);
        if (!isFinalStatus(head.status) || !hasSoundLength(head, request.method))
            refusal = ErrorCode::AnswerInvalid;
        else if (isTooLong && request.method != "HEAD")
            refusal = ErrorCode::AnswerTooLarge;
        return refusal == ErrorCode::Internal;
    };
    message.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        if (body.size() + size > static_cast<size_t>(limits.maxBodyBytes))
            refusal = ErrorCode::AnswerTooLarge;
        else
            body.append(data, size);
        return refusal == ErrorCode::Internal;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (self.send(message, response, error))
        return { fromHttplib(response, std::move(body)), self.sent, self.received };
    const ErrorCode code = refusal != ErrorCode::Internal ? refusal : self.codeOf(error);
    self.stop();
    return { makeError(code, self.endpoint.toString(), httplib::to_string(error)), self.sent, self.received };
}

void HttpConnection::cancel() noexcept { this->implementation->cancellable.cancel(); }

bool HttpConnection::isOpen() const noexcept
{
    return !this->implementation->cancellable.isCancelled() && this->implementation->is_socket_open() != 0;
}

const Endpoint& HttpConnection::endpoint() const noexcept { return this->implementation->endpoint; }

void setLocalAddress(const std::string& address) { defaultLocalAddress() = address; }

bool canConnect(const Endpoint& endpoint, SteadyTime deadline)
{
    CancellableSocket cancellable;
    const int socket = connectSocket(endpoint, defaultLocalAddress(), deadline, cancellable);
    if (socket >= 0)
        ::close(socket);
    return socket >= 0;
}

ExchangeResult exchangeOnce(const Endpoint& endpoint, const HttpRequest& request, const ExchangeLimits& limits)
{
    HttpConnection connection(endpoint);
    return connection.exchange(request, limits);
}

}
