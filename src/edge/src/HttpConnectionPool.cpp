#include <wagtailrack/edge/HttpConnectionPool.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>

namespace wagtailrack::edge {

namespace {

using boost::system::error_code;

// Answers of other requests that are skipped before the connection is given up.
constexpr int maximumSkippedAnswers = 2;
// Answers are held in memory whole; a larger one is an error.
constexpr uint64_t maximumAnswerBytes = 16'777'216;
// A kept connection is dropped this long before the server would close it.
constexpr Milliseconds keepAliveMargin(700);
// Longest time to open a connection that is to be kept ready.
constexpr Milliseconds openTimeout(1000);

// Seconds of "timeout=N" in a Keep-Alive header, below zero when there are none.
int keepAliveSeconds(boost::beast::string_view text)
{
    const auto position = text.find("timeout=");
    if (position == boost::beast::string_view::npos)
        return -1;
    int seconds = -1;
    const char* first = text.data() + position + 8;
    std::from_chars(first, text.data() + text.size(), seconds);
    return seconds;
}

// Sends the request while the answer is read, so that an early answer does not wait for a long body.
struct Sending {
    bool isDone = false;
    bool hasFailed = false;
};

asio::awaitable<void> send(
    ClientConnectionPointer connection, std::shared_ptr<Call> call, std::shared_ptr<Sending> sending)
{
    error_code failure;
    co_await http::async_write(connection->socket, call->request, asio::redirect_error(asio::use_awaitable, failure));
    sending->isDone = true;
    sending->hasFailed = failure.failed();
}

}

const char* toString(CallOutcome end) noexcept
{
    switch (end) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::ConnectFailed:
        return "connect-failed";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::TimedOut:
        return "timed-out";
    case CallOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

ClientConnection::ClientConnection(asio::io_context& context)
    : socket(context)
    , timer(context)
{
}

void ClientConnection::armTimer(SteadyTime deadline)
{
    const uint64_t armed = ++*this->timerGeneration;
    this->timer.expires_at(deadline);
    this->timer.async_wait([this, armed, count = this->timerGeneration](error_code failure) {
        // A later arm(), disarm() or the end of the connection has changed the count.
        if (failure || *count != armed)
            return;
        this->isTimedOut = true;
        this->close();
    });
}

void ClientConnection::disarmTimer()
{
    ++*this->timerGeneration;
    this->timer.cancel();
}

void ClientConnection::close()
{
    error_code ignored;
    this->socket.close(ignored);
}

void Call::cancel()
{
    this->isCancelled = true;
    if (this->connection)
        this->connection->close();
}

HttpConnectionPool::HttpConnectionPool(asio::io_context& context, Milliseconds maximumIdle, int silenceMs)
    : context(context)
    , maximumIdleTime(maximumIdle)
    , tcpUserTimeoutMs(silenceMs)
{
}

ClientConnectionPointer HttpConnectionPool::acquireIdleConnection(const Endpoint& server)
{
    const auto found = this->idleConnections.find(server);
    if (found == this->idleConnections.end())
        return nullptr;
    const SteadyTime now = std::chrono::steady_clock::now();
    auto& connections = found->second;
    while (!connections.empty()) {
        // The newest first: the others grow old and are closed.
        ClientConnectionPointer connection = connections.back();
        connections.pop_back();
        if (now < connection->idleExpiresAt && !isStale(connection->socket))
            return connection;
        connection->close();
    }
    return nullptr;
}

asio::awaitable<CallOutcome> HttpConnectionPool::connect(std::shared_ptr<Call> call, const Endpoint& server)
{
    call->connection = std::make_shared<ClientConnection>(this->context);
    const ClientConnectionPointer connection = call->connection;
    const SteadyTime startedAt = std::chrono::steady_clock::now();
    connection->armTimer(std::min(call->connectDeadline, call->deadline));
    error_code failure;
    const Tcp::endpoint endpoint = toTcpEndpoint(server);
    co_await connection->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    connection->disarmTimer();
    if (call->isCancelled)
        co_return CallOutcome::Cancelled;
    if (failure || connection->hasTimedOut()) {
        connection->close();
        co_return CallOutcome::ConnectFailed;
    }
    ++this->connectionsOpened;
    call->connectDurationMs
        = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
    setTcpOptions(connection->socket, this->tcpUserTimeoutMs);
    co_return CallOutcome::Answered;
}

asio::awaitable<CallOutcome> HttpConnectionPool::sendAndReceive(std::shared_ptr<Call> call)
{
    const ClientConnectionPointer connection = call->connection;
    connection->armTimer(call->deadline);
    ++connection->requestCount;
    call->isPossiblySent = true;
    const auto sending = std::make_shared<Sending>();
    asio::co_spawn(this->context, send(connection, call, sending), asio::detached);
    CallOutcome end = CallOutcome::Broken;
    for (int skipped = 0; skipped <= maximumSkippedAnswers; ++skipped) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(maximumAnswerBytes);
        if (call->request.method() == http::verb::head)
            parser.skip(true);
        error_code failure;
        co_await http::async_read(
            connection->socket, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if (call->isCancelled) {
            end = CallOutcome::Cancelled;
            break;
        }
        if (connection->hasTimedOut()) {
            end = CallOutcome::TimedOut;
            break;
        }
        if (failure)
            break;
        // An interim answer (1xx) is followed by the final one.
        if (parser.get().result_int() < 200)
            continue;
        if (!call->echoHeader.empty() && headerValue(parser.get().base(), call->echoHeader) != call->echoValue)
            continue;
        // Bytes beyond the answer belong to no request; a body that is still being sent must not be cut off by the
        // next request. Either way the connection is not used again.
        const bool canReuse = parser.keep_alive() && !parser.need_eof() && sending->isDone && !sending->hasFailed
            && connection->buffer.size() == 0;
        call->response = parser.release();
        if (!canReuse)
            connection->close();
        end = CallOutcome::Answered;
        break;
    }
    connection->disarmTimer();
    if (end != CallOutcome::Answered)
        connection->close();
    co_return end;
}

void HttpConnectionPool::releaseConnection(const std::shared_ptr<Call>& call, const Endpoint& server)
{
    const ClientConnectionPointer connection = std::move(call->connection);
    if (!connection || !connection->socket.is_open())
        return;
    const int seconds = keepAliveSeconds(call->response[http::field::keep_alive]);
    Milliseconds idleFor = this->maximumIdleTime;
    if (seconds >= 0)
        idleFor = std::min(idleFor, Milliseconds(seconds * 1000) - keepAliveMargin);
    if (idleFor <= Milliseconds(0)) {
        connection->close();
        return;
    }
    this->addIdleConnection(server, connection, idleFor);
}

void HttpConnectionPool::addIdleConnection(
    const Endpoint& server, const ClientConnectionPointer& connection, Milliseconds idleFor)
{
    connection->idleExpiresAt = std::chrono::steady_clock::now() + idleFor;
    this->idleConnections[server].push_back(connection);
}

bool HttpConnectionPool::hasIdleConnection(const Endpoint& server) const
{
    return this->idleConnections.contains(server);
}

void HttpConnectionPool::keepPreconnected(const Endpoint& server, SteadyTime until)
{
    SteadyTime& known = this->preconnectedUntil[server];
    known = std::max(known, until);
}

asio::awaitable<void> HttpConnectionPool::preconnect(Endpoint server)
{
    this->preconnectingServers.insert(server);
    const auto call = std::make_shared<Call>();
    call->connectDeadline = std::chrono::steady_clock::now() + openTimeout;
    call->deadline = call->connectDeadline;
    const CallOutcome end = co_await this->connect(call, server);
    this->preconnectingServers.erase(server);
    if (end == CallOutcome::Answered)
        this->addIdleConnection(server, call->connection, this->maximumIdleTime);
    else
        this->preconnectedUntil.erase(server);
}

asio::awaitable<CallOutcome> HttpConnectionPool::execute(std::shared_ptr<Call> call, Endpoint server)
{
    if (call->connectionUse == ConnectionUse::ReuseIdle)
        call->connection = this->acquireIdleConnection(server);
    if (!call->connection) {
        const CallOutcome connected = co_await this->connect(call, server);
        if (connected != CallOutcome::Answered)
            co_return connected;
    }
    const CallOutcome end = co_await this->sendAndReceive(call);
    this->releaseConnection(call, server);
    co_return end;
}

void HttpConnectionPool::closeIdleConnections(const Endpoint& server)
{
    this->preconnectedUntil.erase(server);
    const auto found = this->idleConnections.find(server);
    if (found == this->idleConnections.end())
        return;
    for (const ClientConnectionPointer& connection : found->second)
        connection->close();
    this->idleConnections.erase(found);
}

void HttpConnectionPool::maintain(SteadyTime now)
{
    for (auto entry = this->idleConnections.begin(); entry != this->idleConnections.end();) {
        std::erase_if(entry->second, [now](const ClientConnectionPointer& connection) {
            const bool isOver = connection->idleExpiresAt <= now || isStale(connection->socket);
            if (isOver)
                connection->close();
            return isOver;
        });
        entry = entry->second.empty() ? this->idleConnections.erase(entry) : std::next(entry);
    }
    std::erase_if(this->preconnectedUntil, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& [server, until] : this->preconnectedUntil) {
        if (this->idleConnections.contains(server) || this->preconnectingServers.contains(server))
            continue;
        asio::co_spawn(
            this->context, [this, address = server] { return this->preconnect(address); }, asio::detached);
    }
}

}
