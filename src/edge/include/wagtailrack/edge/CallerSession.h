#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/RoutingTable.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace wagtailrack::edge {

// One request of a caller until its answer has been written.
struct Exchange {
    HttpRequest request;
    SteadyTime arrivedAt;
    HttpResponse response;
    bool isResponseReady = false;
    // Its handler has been called.
    bool isHandlerStarted = false;
    bool hasCallerDisconnected = false;
    // Called once when the caller leaves.
    std::function<void()> onCallerDisconnected;
};

using ExchangePointer = std::shared_ptr<Exchange>;

// What answers the requests of a listener.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    // Fills exchange->response. A request behind others on its connection is started early only if
    // `mayStartEarly` says so.
    virtual asio::awaitable<void> handle(ExchangePointer exchange) = 0;
    virtual bool canHandleConcurrently(const HttpRequest& request) const = 0;
    virtual CallerLimits limits() const = 0;
    // Answers carry "Connection: close".
    virtual bool shouldCloseConnections() const = 0;
};

class CallerListener;

// One caller's connection: reads requests, has them handled, writes answers in the order of the requests. Keeps itself
// alive until the connection ends.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(asio::io_context& context, Tcp::socket socket, RequestHandler& handler, CallerListener& listener);

    void start();
    bool isIdle() const noexcept { return this->pendingExchanges.empty() && !this->isReadingRequest; }
    void close();

private:
    asio::awaitable<void> readRequests();
    asio::awaitable<void> writeResponses();
    asio::awaitable<void> handleExchange(ExchangePointer exchange);
    void armReadTimer(SteadyTime deadline);
    void notifyStateChanged();
    void handleCallerDisconnect();

    asio::io_context& context;
    Tcp::socket socket;
    RequestHandler& handler;
    CallerListener& listener;
    boost::beast::flat_buffer buffer;
    std::deque<ExchangePointer> pendingExchanges;
    // Never expires; cancelled to wake the writer or a reader that waits for room.
    asio::steady_timer stateChanged;
    asio::steady_timer readTimer;
    bool isReadingRequest = false;
    bool isOpen = true;
};

// Accepts connections of one address. Lives for the process.
class CallerListener {
public:
    CallerListener(asio::io_context& context, RequestHandler& handler);

    // Fails when the address is in use.
    Status open(const Endpoint& address);
    void close();
    // Closes connections on which no request is being handled.
    void closeIdleSessions();
    size_t sessionCount() const noexcept { return this->sessions.size(); }
    size_t busySessionCount() const noexcept;

private:
    friend class CallerSession;

    asio::awaitable<void> acceptConnections();

    asio::io_context& context;
    RequestHandler& handler;
    Tcp::acceptor acceptor;
    std::set<CallerSession*> sessions;
};

}
