#pragma once

#include <wagtailrack/edge/Http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// How a call over HTTP ended.
enum class CallOutcome {
    // `response` is a whole answer to this request.
    Answered,
    // No connection; nothing was sent.
    ConnectFailed,
    // Reset, truncated, unreadable or another request's answer after the request was sent.
    Broken,
    // No answer until the deadline.
    TimedOut,
    // cancel() was called.
    Cancelled,
};

const char* toString(CallOutcome end) noexcept;

// A connection to a server. Closes itself at its deadline, which is how a call on it times out.
class ClientConnection {
public:
    explicit ClientConnection(asio::io_context& context);

    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    SteadyTime idleExpiresAt;
    // Requests that this connection has carried.
    int requestCount = 0;

    // Closes the connection at `deadline` unless disarm() comes first.
    void armTimer(SteadyTime deadline);
    void disarmTimer();
    bool hasTimedOut() const noexcept { return this->isTimedOut; }
    void close();

private:
    asio::steady_timer timer;
    // Callbacks of the timer outlive the connection.
    std::shared_ptr<uint64_t> timerGeneration = std::make_shared<uint64_t>(0);
    bool isTimedOut = false;
};

using ClientConnectionPointer = std::shared_ptr<ClientConnection>;

enum class ConnectionUse {
    // An idle connection is used when there is one.
    ReuseIdle,
    // A new connection, so that an unclear end cannot come from an idle connection that was closed meanwhile.
    OpenNew,
};

// One call: lives from the request until its end and can be cancelled meanwhile.
struct Call {
    HttpRequest request;
    SteadyTime connectDeadline;
    SteadyTime deadline;
    ConnectionUse connectionUse = ConnectionUse::ReuseIdle;
    // Header that the answer must echo, and its value; empty accepts any answer.
    std::string echoHeader;
    std::string echoValue;

    // Results.
    HttpResponse response;
    // Whether any byte of the request may have left.
    bool isPossiblySent = false;
    // Time that a new connection took; zero when a kept one was used.
    double connectDurationMs = 0;

    // Ends the call soon with Cancelled.
    void cancel();
    bool isCancelled = false;
    ClientConnectionPointer connection;
};

// Kept connections to servers, by address. Lives for the process; used by the event loop's thread only.
class HttpConnectionPool {
public:
    // Idle connections are closed after `maximumIdle`, or earlier when the server says so in Keep-Alive.
    HttpConnectionPool(asio::io_context& context, Milliseconds maximumIdle, int silenceMs);

    // Sends call->request to `server` and reads the answer. Kept connections that the server has closed are passed
    // over.
    asio::awaitable<CallOutcome> execute(std::shared_ptr<Call> call, Endpoint server);

    // Closes idle connections to the address.
    void closeIdleConnections(const Endpoint& server);
    // Whether a call that may reuse a connection is likely to find one.
    bool hasIdleConnection(const Endpoint& server) const;
    // Sees to it that there is an idle connection until then, as far as the server accepts one.
    void keepPreconnected(const Endpoint& server, SteadyTime until);
    // Closes connections that were idle too long and opens those that are to be kept ready.
    void maintain(SteadyTime now);
    uint64_t openedConnectionCount() const noexcept { return this->connectionsOpened; }

private:
    ClientConnectionPointer acquireIdleConnection(const Endpoint& server);
    asio::awaitable<CallOutcome> connect(std::shared_ptr<Call> call, const Endpoint& server);
    asio::awaitable<CallOutcome> sendAndReceive(std::shared_ptr<Call> call);
    void releaseConnection(const std::shared_ptr<Call>& call, const Endpoint& server);
    void addIdleConnection(const Endpoint& server, const ClientConnectionPointer& connection, Milliseconds idleFor);
    asio::awaitable<void> preconnect(Endpoint server);

    asio::io_context& context;
    Milliseconds maximumIdleTime;
    int tcpUserTimeoutMs;
    uint64_t connectionsOpened = 0;
    std::map<Endpoint, std::vector<ClientConnectionPointer>> idleConnections;
    // Connections to be kept ready, until when; those being opened are in `opening`.
    std::map<Endpoint, SteadyTime> preconnectedUntil;
    std::set<Endpoint> preconnectingServers;
};

}
