#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/ReceiveBuffer.h>
#include <wagtailrack/edge/ResponseRelay.h>
#include <wagtailrack/edge/RoutingTable.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace wagtailrack::edge {

// A caller's request and its response; exists until the response has been written.
struct Exchange {
    HttpRequest request;
    SteadyTime arrivedAt;
    HttpResponse response;
    // Memory of the bodies of the request and of the response.
    ReservationPointer requestMemory;
    ReservationPointer responseMemory;
    bool isResponseReady = false;
    bool isHandlerStarted = false;
    bool hasCallerDisconnected = false;
    // Set by the handler when it passes on a large response while that arrives. The body of `response` is not used
    // then, and the handler runs until the relay has delivered the response or failed.
    ResponseRelayPointer relay;
    // Called by the handler after it has set `relay`; set by the session.
    std::function<void()> onRelayBegun;
    // Called when the caller disconnects while the handler is running; set by the handler.
    std::function<void()> onCallerDisconnected;
};

using ExchangePointer = std::shared_ptr<Exchange>;

enum class RefusalReason {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    // The memory for the bodies of messages is in use.
    MemoryFull,
};

const char* toString(RefusalReason reason) noexcept;

// A request that was not read to its end, and is answered without being handled.
struct RefusedRequest {
    RefusalReason reason;
    // Text of the parser's error.
    std::string error;
    // The header fields that were read before the error.
    const http::fields& fields;
    // Path and query; empty if the first line was not read.
    std::string target;
    // Includes what arrived after the place of the error.
    size_t bytesRead = 0;
    // The limits that applied to the request.
    CallerLimits limits;
};

// Handles the requests that a CallerListener receives.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    // Fills in exchange->response. A pipelined request is handled before the earlier requests of its connection have
    // been answered only if canHandleConcurrently() returns true for it.
    virtual asio::awaitable<void> handle(ExchangePointer exchange) = 0;
    virtual bool canHandleConcurrently(const HttpRequest& request) const = 0;
    virtual CallerLimits limits() const = 0;
    // Records a request that was refused before it could be handled. `response` is what the caller is sent; the handler
    // may replace it.
    virtual void handleRefusedRequest(const RefusedRequest& /* refused */, HttpResponse& /* response */) { }
    // Whether each connection is closed once the requests that were passed to the handler have been answered. The last
    // response carries "Connection: close"; what the caller sent behind it is not handled. Once true, it stays true.
    virtual bool shouldCloseConnections() const = 0;
};

class CallerListener;

// A connection of a caller: reads requests, passes them to the handler and writes the responses in the order of the
// requests. Keeps itself alive until the connection is closed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(asio::io_context& context, Tcp::socket socket, RequestHandler& handler, CallerListener& listener);

    void start();
    bool isIdle() const noexcept { return this->pendingExchanges.empty() && !this->isReadingRequest; }
    void close();

private:
    asio::awaitable<void> readRequests();
    // Receives and drops what follows the last request, until the caller closes the connection.
    asio::awaitable<void> discardInput();
    asio::awaitable<void> writeResponses();
    // Writes a response as it arrives. Returns false if it or the connection has ended early.
    asio::awaitable<bool> writeRelay(ResponseRelayPointer relay, unsigned version, bool shouldKeepAlive);
    // Closes the connection in the middle of a response.
    void abortResponse(bool endsWithConnection);
    // Whether another request may be read: not after the last one of the connection, and not behind others while the
    // handler closes connections.
    bool canReadRequest() const;
    // Whether a request behind the first pending one has been passed to the handler or refused.
    bool isLaterRequestStarted() const;
    void startHandler(const ExchangePointer& exchange);
    asio::awaitable<void> handleExchange(ExchangePointer exchange);
    void refuseRequest(Exchange& exchange, const RefusedRequest& refused);
    // Replaces the deadline for the next data of the caller.
    void armReadTimer(SteadyTime deadline);
    void handleReadTimeout();
    void notifyStateChanged();
    void handleCallerDisconnect();

    asio::io_context& context;
    Tcp::socket socket;
    RequestHandler& handler;
    CallerListener& listener;
    ReceiveBuffer buffer;
    std::deque<ExchangePointer> pendingExchanges;
    // Never expires. Cancelled to resume writeResponses(), and readRequests() when it waits because too many exchanges
    // are pending.
    Timer stateChanged;
    Timer readTimer;
    SteadyTime readDeadline;
    // From the first byte of a request to its last one.
    bool isReadingRequest = false;
    // No further request is read: the connection is closed after a response to one that has been read.
    bool isLastRequestRead = false;
    bool isOpen = true;
};

// Accepts callers' connections at one address. Lives as long as the process.
class CallerListener {
public:
    // `budget` limits the bodies of the requests.
    CallerListener(asio::io_context& context, RequestHandler& handler, TransferBudget& budget);

    // Returns an error if the address is in use; may be called again then.
    Status open(const Endpoint& address);
    bool isOpen() const { return this->acceptor.is_open(); }
    void close();
    // Closes the connections on which no request is being read or handled.
    void closeIdleSessions();
    size_t sessionCount() const noexcept { return this->sessions.size(); }
    size_t busySessionCount() const noexcept;

private:
    friend class CallerSession;

    asio::awaitable<void> acceptConnections();

    asio::io_context& context;
    RequestHandler& handler;
    TransferBudget& budget;
    Tcp::acceptor acceptor;
    std::set<CallerSession*> sessions;
};

}
