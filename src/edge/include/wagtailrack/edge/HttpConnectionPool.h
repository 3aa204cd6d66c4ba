#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/ReceiveBuffer.h>
#include <wagtailrack/edge/ResponseRelay.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::edge {

// Outcome of an HTTP call.
enum class CallOutcome {
    // `Call::response` is a complete response to the request.
    Answered,
    // The connection was not established; nothing was sent.
    ConnectFailed,
    // After the request was sent, the connection was reset, or the response was truncated, malformed or belonged to
    // another request.
    Broken,
    // The response was larger than the limits permit, or its head had no end. The connection was closed.
    TooLarge,
    // No complete response arrived before the deadline.
    TimedOut,
    // Call::cancel() was called.
    Cancelled,
    // Call::isStillWanted() returned false once a connection was established; nothing was sent.
    NotSent,
};

const char* toString(CallOutcome outcome) noexcept;

// Client side of a connection. A timer closes the connection at the deadline, which ends the pending operation of a
// call that times out.
class ClientConnection {
public:
    // `budget` limits the memory of what is received.
    ClientConnection(asio::io_context& context, TransferBudget& budget);

    Tcp::socket socket;
    ReceiveBuffer buffer;
    SteadyTime idleExpiresAt;
    int requestCount = 0;

    // Closes the connection at `deadline` unless disarmTimer() is called first.
    void armTimer(SteadyTime deadline);
    void disarmTimer();
    bool hasTimedOut() const noexcept { return this->isTimedOut; }
    void close();

private:
    Timer timer;
    // Incremented by armTimer() and disarmTimer() to invalidate earlier timer callbacks. Shared with the callbacks,
    // which can outlive the connection.
    std::shared_ptr<uint64_t> timerGeneration = std::make_shared<uint64_t>(0);
    bool isTimedOut = false;
};

using ClientConnectionPointer = std::shared_ptr<ClientConnection>;

enum class ConnectionUse {
    // Uses an idle connection if there is one.
    ReuseIdle,
    // Opens a new connection. On an idle connection, the server could close the connection while the request is sent,
    // and whether the request was executed would be unknown.
    OpenNew,
};

// Which responses of a call with an `echoHeader` are accepted.
enum class EchoUse {
    WithValue,
    // Also responses without the header.
    IfPresent,
};

// An HTTP request and the result of sending it. Can be cancelled while it is in progress.
struct Call {
    HttpRequest request;
    SteadyTime connectDeadline;
    SteadyTime deadline;
    ConnectionUse connectionUse = ConnectionUse::ReuseIdle;
    // If positive, the body may take longer than `deadline` as long as it keeps arriving: each part of it moves the
    // deadline to this long after its arrival. For large responses, whose duration depends on the link.
    Milliseconds maximumStall { 0 };
    // The deadline is not moved beyond this time, so that a response that trickles ends.
    SteadyTime latestDeadline = SteadyTime::max();
    // Name and value of a header that the response must repeat; other responses are skipped. With an empty name, any
    // response is accepted.
    std::string echoHeader;
    std::string echoValue;
    EchoUse echoUse = EchoUse::WithValue;
    // Memory of the body of `request`, kept until that has been sent; may be null.
    ReservationPointer requestMemory;
    // Called when the head of a response has arrived, also of a response that is skipped or breaks off later.
    std::function<void(const HttpResponse& head)> onResponseHead;
    // If not null, asked when a new connection has been established, before the request is sent on it.
    std::function<bool()> isStillWanted;
    // If not null, successful responses that it accepts and that are larger than ResponseRelay::firstPartBytes are
    // passed to it, and the body of `response` stays empty. The call ends when the whole response has arrived; the
    // deadline is not moved before the relay begins and does not apply after that.
    ResponseRelayPointer relay;

    // Results.
    HttpResponse response;
    // Memory of `response`; kept as long as its body.
    ReservationPointer responseMemory;
    // Whether any byte of the request may have been sent.
    bool isPossiblySent = false;
    // Whether any byte has arrived after the request was sent.
    bool hasResponseStarted = false;
    // Time in which a new connection was established; zero if an idle connection was reused.
    double connectDurationMs = 0;
    boost::system::error_code connectFailure;

    // Closes the connection, so that the call soon ends with CallOutcome::Cancelled.
    void cancel();
    bool isCancelled = false;
    ClientConnectionPointer connection;
};

// What an attempt to connect shows about the process at an address.
enum class Reachability {
    Listening,
    // The connection was refused: no process listens at the address.
    Refused,
    // Nothing answered in time.
    Unknown,
};

// Sends HTTP requests and keeps idle connections for reuse, by server address. Lives as long as the process; used by
// the event loop's thread only.
class HttpConnectionPool {
public:
    // Idle connections are closed after `maximumIdleTime`, or earlier if the Keep-Alive header of the server says so.
    // `tcpUserTimeoutMs` is passed to setTcpOptions(). `budget` limits the responses; it may be shared with other
    // users.
    HttpConnectionPool(
        asio::io_context& context, Milliseconds maximumIdleTime, int tcpUserTimeoutMs, TransferBudget& budget);

    // Sends call->request to `server` and reads the response. Idle connections that the server has closed are not
    // reused. A server may respond before it has read the request; the rest of that is sent after this has returned,
    // until call->deadline.
    asio::awaitable<CallOutcome> execute(std::shared_ptr<Call> call, Endpoint server);

    // Opens a connection to `server` and closes it again.
    asio::awaitable<Reachability> probe(Endpoint server, SteadyTime deadline);

    // Closes the idle connections to `server` and ends keepPreconnected() for it.
    void closeIdleConnections(const Endpoint& server);
    // Returns whether a call with ConnectionUse::ReuseIdle is likely to find an idle connection. The connection may
    // have expired or been closed by the server.
    bool hasIdleConnection(const Endpoint& server) const;
    // Makes maintain() keep an idle connection to `server` open until `until`, or until an attempt to connect fails.
    void keepPreconnected(const Endpoint& server, SteadyTime until);
    // Ends keepPreconnected() for `server`; its idle connections stay open.
    void stopPreconnecting(const Endpoint& server);
    // Closes expired and stale idle connections, and opens those requested by keepPreconnected().
    void maintain(SteadyTime now);
    TransferBudget& transferBudget() const noexcept { return this->budget; }
    uint64_t openedConnectionCount() const noexcept { return this->connectionsOpened; }
    // Requests that have been answered and are still being sent.
    size_t unfinishedRequestCount() const noexcept { return this->unfinishedRequests; }

private:
    // Progress of sending a request. The request is sent while the response is read, so that an early response does not
    // wait for a long request body.
    struct SendProgress {
        bool isDone = false;
        bool hasFailed = false;
        // The call has ended with a response; the connection is closed when the request has been sent.
        bool isAnswered = false;
    };

    ClientConnectionPointer acquireIdleConnection(const Endpoint& server);
    // `call->connectFailure` tells why the connection was not established.
    asio::awaitable<CallOutcome> connect(std::shared_ptr<Call> call, const Endpoint& server);
    asio::awaitable<void> sendRequest(
        ClientConnectionPointer connection, std::shared_ptr<Call> call, std::shared_ptr<SendProgress> sendProgress);
    asio::awaitable<CallOutcome> sendAndReceive(std::shared_ptr<Call> call);
    void releaseConnection(const std::shared_ptr<Call>& call, const Endpoint& server);
    void addIdleConnection(const Endpoint& server, const ClientConnectionPointer& connection, Milliseconds idleTimeout);
    asio::awaitable<void> preconnect(Endpoint server);
    // Reads one response into `parser`. Returns CallOutcome::Answered, TooLarge, or Broken for any other failure.
    asio::awaitable<CallOutcome> readResponse(
        std::shared_ptr<Call> call, http::response_parser<http::string_body>& parser);

    asio::io_context& context;
    Milliseconds maximumIdleTime;
    int tcpUserTimeoutMs;
    TransferBudget& budget;
    uint64_t connectionsOpened = 0;
    size_t unfinishedRequests = 0;
    std::map<Endpoint, std::vector<ClientConnectionPointer>> idleConnections;
    // Servers to which an idle connection is kept open, and until when. Those to which a connection is being opened
    // are in `preconnectingServers`.
    std::map<Endpoint, SteadyTime> preconnectedUntil;
    std::set<Endpoint> preconnectingServers;
};

}
