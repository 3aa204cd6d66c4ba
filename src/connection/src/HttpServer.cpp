#include <wagtailrack/connection/HttpServer.h>

#include "ConnectionThreads.h"
#include "ServerMessages.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <thread>

namespace wagtailrack::connection {

namespace {

// Connections that wait for the listener's thread. httplib's 5 would drop some in a burst, and their callers would
// connect again only after a second.
constexpr int listenBacklog = 1024;
// A caller that does not read its answer for this long loses it.
constexpr Milliseconds answerWriteTime { 10'000 };
// Above httplib's own limit on the size of one header line, and enough for the framing of chunks.
constexpr int64_t maxOverheadBytes = 65'536;

constexpr char busyAnswer[] = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
                              "Wagtailrack-Outcome: not-run\r\nWagtailrack-Reason: too-many-connections\r\n"
                              "Content-Type: application/json\r\nContent-Length: 56\r\n\r\n"
                              "{\"error\":\"too-many-connections\",\"outcome\":\"not-run\"}    ";

}

class HttpServer::Implementation final : public httplib::Server {
public:
    Implementation(HttpServerLimits serverLimits, HttpServer::Handler requestHandler)
        : limits(serverLimits)
        , handler(std::move(requestHandler))
    {
        this->new_task_queue = [] { return new ConnectionThreads; };
        this->set_tcp_nodelay(true);
        // Announced to peers in the Keep-Alive header; serveConnection() applies it.
        this->set_keep_alive_timeout(std::max<time_t>(1, this->limits.idleMs / 1000));
        this->set_keep_alive_max_count(1'000'000'000);
        this->set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
            const int status = statusOfInvalidFraming(request, this->limits.maxBodyBytes);
            if (status == 0)
                return httplib::Server::HandlerResponse::Unhandled;
            // The body is not read, so that the refusal does not wait for it.
            this->refuse(response, status);
            return httplib::Server::HandlerResponse::Handled;
        });
        this->set_error_handler([this](const httplib::Request&, httplib::Response& response) {
            // An unreadable request may be left half read.
            if (!connectionState().isAnswered && response.body.empty())
                this->refuse(response, response.status);
        });
        this->set_exception_handler([this](const httplib::Request&, httplib::Response& response,
                                        const std::exception_ptr&) { this->refuse(response, 500); });
        const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
            toHttplib(this->handler(fromHttplib(request)), response);
            connectionState().isAnswered = true;
            connectionState().stream->setDeadline(std::chrono::steady_clock::now() + answerWriteTime);
            if (this->isStopping)
                response.set_header("Connection", "close");
        };
        this->Get("/.*", serve);
        this->Post("/.*", serve);
        this->Put("/.*", serve);
        this->Patch("/.*", serve);
        this->Delete("/.*", serve);
    }

    void refuse(httplib::Response& response, int status)
    {
        response.status = status;
        response.set_header("Connection", "close");
        response.set_header("Wagtailrack-Outcome", status == 500 ? "unknown" : "not-run");
        response.set_content("{\"error\":\"http-" + std::to_string(status) + "\"}", "application/json");
        connectionState().afterRequest = AfterRequest::Close;
    }

    ~Implementation() override { ::close(this->stopEvent); }

    bool process_and_close_socket(socket_t socket) override
    {
        const bool isFull = ++this->connections > this->limits.maxConnections;
        if (isFull || ConnectionThreads::isWithoutThread())
            (void)::send(socket, busyAnswer, sizeof busyAnswer - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
        else
            this->serveConnection(socket);
        --this->connections;
        if (ConnectionThreads::isWithoutThread())
            ::close(socket);
        else
            closeGracefully(socket);
        return true;
    }

    void serveConnection(int socket)
    {
        SocketStream stream(socket);
        ServerConnectionState& state = connectionState();
        state.stream = &stream;
        state.afterRequest = AfterRequest::KeepOpen;
        while (this->waitForRequest(socket)) {
            stream.setDeadline(std::chrono::steady_clock::now() + Milliseconds(this->limits.requestReadMs));
            stream.setReadLimit(stream.bytesRead() + this->limits.maxBodyBytes + maxOverheadBytes);
            state.isAnswered = false;
            bool isClosed = false;
            if (!this->process_request(stream, this->isStopping, isClosed, &hideHeaders))
                break;
            if (isClosed || state.afterRequest == AfterRequest::Close || this->isStopping)
                break;
        }
    }

    // Waits for the first byte of the next request; false when the connection is idle for too long, closed, or the
    // server stops and no request has come.
    bool waitForRequest(int socket) const
    {
        const SteadyTime idleDeadline = std::chrono::steady_clock::now() + Milliseconds(this->limits.idleMs);
        while (true) {
            const auto left = std::chrono::ceil<Milliseconds>(idleDeadline - std::chrono::steady_clock::now()).count();
            if (left <= 0)
                return false;
            pollfd entries[] = { { socket, POLLIN, 0 }, { this->stopEvent, POLLIN, 0 } };
            const int ready = ::poll(entries, std::size(entries), static_cast<int>(std::min<int64_t>(left, INT_MAX)));
            if (ready < 0 && errno != EINTR)
                return false;
            if (ready <= 0)
                continue;
            char byte = 0;
            // A request that came before the stop is still served.
            return entries[0].revents != 0 && ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
        }
    }

    void requestStop()
    {
        this->isStopping = true;
        eventfd_write(this->stopEvent, 1);
        this->stop();
    }

    void widenBacklog() { ::listen(this->svr_sock_, listenBacklog); }

    HttpServerLimits limits;
    HttpServer::Handler handler;
    std::atomic<bool> isStopping { false };
    // Readable from the stop on, so that threads of idle connections wake up only for it.
    const int stopEvent = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::atomic<int64_t> connections { 0 };
    std::thread listener;
};

HttpServer::HttpServer(HttpServerLimits limits, Handler handler)
    : implementation(std::make_unique<Implementation>(limits, std::move(handler)))
{
}

HttpServer::~HttpServer() { this->stop(); }

Status HttpServer::start(const Endpoint& endpoint)
{
    if (!this->implementation->bind_to_port(endpoint.host.c_str(), endpoint.port))
        return makeError(ErrorCode::AddressInvalid, endpoint.toString(), "cannot listen on this address");
    this->implementation->widenBacklog();
    this->implementation->listener = std::thread([this] { this->implementation->listen_after_bind(); });
    // stop() has no effect on a server that does not run yet.
    while (!this->implementation->is_running())
        std::this_thread::sleep_for(Milliseconds(1));
    return success();
}

void HttpServer::stop()
{
    this->implementation->requestStop();
    if (this->implementation->listener.joinable())
        this->implementation->listener.join();
}

}
