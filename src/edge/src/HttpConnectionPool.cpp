#include <wagtailrack/edge/HttpConnectionPool.h>

#include <wagtailrack/edge/readMessage.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>

namespace wagtailrack::edge {

namespace {

using boost::system::error_code;

// Interim responses and responses to other requests that are skipped before the call fails.
constexpr int maximumSkippedResponses = 2;
// Size of a response's head, above which the call fails. Heads of servers have a few hundred bytes.
constexpr uint32_t maximumResponseHeadBytes = 16'384;
// An idle connection expires this long before the server's Keep-Alive timeout, at which the server closes it.
constexpr Milliseconds keepAliveMargin(700);
// Bytes of a body whose arrival counts as progress of the call. With less in `Call::maximumStall`, a response that
// trickles is given up.
constexpr size_t minimumProgressBytes = 16'384;
// Connect timeout of connections that are opened ahead of requests.
constexpr Milliseconds preconnectTimeout(1000);

// Returns N of "timeout=N" in a Keep-Alive header, -1 if it is missing or not a number.
int keepAliveSeconds(boost::beast::string_view text)
{
    const auto position = text.find("timeout=");
    if (position == boost::beast::string_view::npos)
        return -1;
    int timeoutSeconds = -1;
    const char* first = text.data() + position + 8;
    std::from_chars(first, text.data() + text.size(), timeoutSeconds);
    return timeoutSeconds;
}

// Returns whether the response is an interim one, which the final response follows. A server in trouble may also send a
// 1xx status as its final response: that one has the fields of a response to the request (RFC 9110, 15.2 and 8.6), or
// switches to a protocol that was not asked for.
bool isInterim(const Call& call, const HttpResponse& response)
{
    const unsigned status = response.result_int();
    return status >= 100 && status < 200 && response.result() != http::status::switching_protocols
        && response.find(http::field::content_length) == response.end()
        && response.find(http::field::transfer_encoding) == response.end()
        && (call.echoHeader.empty() || response.find(call.echoHeader) == response.end());
}

// Whether HTTP defines the status as that of a final response. A server in trouble may send any three digits.
bool isFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

// Returns whether the response belongs to the call's request.
bool isEchoAccepted(const Call& call, const HttpResponse& response)
{
    if (call.echoHeader.empty())
        return true;
    const std::string value = headerValue(response.base(), call.echoHeader);
    return value == call.echoValue || (value.empty() && call.echoUse == EchoUse::IfPresent);
}

}

const char* toString(CallOutcome outcome) noexcept
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::ConnectFailed:
        return "connect-failed";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::TooLarge:
        return "too-large";
    case CallOutcome::TimedOut:
        return "timed-out";
    case CallOutcome::Cancelled:
        return "cancelled";
    case CallOutcome::NotSent:
        return "not-sent";
    }
    return "unknown";
}

ClientConnection::ClientConnection(asio::io_context& context, TransferBudget& budget)
    : socket(context)
    , buffer(budget)
    , timer(context)
{
}

void ClientConnection::armTimer(SteadyTime deadline)
{
    const uint64_t generation = ++*this->timerGeneration;
    this->timer.expires_at(deadline);
    this->timer.async_wait([this, generation, currentGeneration = this->timerGeneration](error_code failure) {
        // Obsolete: the timer was armed again, disarmed, or cancelled by the end of the connection.
        if (failure || *currentGeneration != generation)
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
    if (this->relay)
        this->relay->fail(RelayFailure::CallerLeft);
    if (this->connection)
        this->connection->close();
}

HttpConnectionPool::HttpConnectionPool(
    asio::io_context& context, Milliseconds maximumIdleTime, int tcpUserTimeoutMs, TransferBudget& budget)
    : context(context)
    , maximumIdleTime(maximumIdleTime)
    , tcpUserTimeoutMs(tcpUserTimeoutMs)
    , budget(budget)
{
}

ClientConnectionPointer HttpConnectionPool::acquireIdleConnection(const Endpoint& server)
{
    const auto found = this->idleConnections.find(server);
    if (found == this->idleConnections.end())
        return nullptr;
    const SteadyTime now = BootTimeClock::now();
    auto& connections = found->second;
    while (!connections.empty()) {
        // The most recently used connection is reused first, so that surplus connections expire.
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
    call->connection = std::make_shared<ClientConnection>(this->context, this->budget);
    const ClientConnectionPointer connection = call->connection;
    const SteadyTime startedAt = BootTimeClock::now();
    connection->armTimer(std::min(call->connectDeadline, call->deadline));
    error_code& failure = call->connectFailure;
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
    call->connectDurationMs = std::chrono::duration<double, std::milli>(BootTimeClock::now() - startedAt).count();
    setTcpOptions(connection->socket, this->tcpUserTimeoutMs);
    co_return CallOutcome::Answered;
}

asio::awaitable<CallOutcome> HttpConnectionPool::readResponse(
    std::shared_ptr<Call> call, http::response_parser<http::string_body>& parser)
{
    const ClientConnectionPointer connection = call->connection;
    call->responseMemory = std::make_shared<TransferBudget::Reservation>(this->budget);
    parser.header_limit(maximumResponseHeadBytes);
    const uint64_t maximumWholeBytes = std::max(this->budget.limits().messageBytes, TransferBudget::unreservedBytes);
    parser.body_limit(call->relay ? std::max(maximumWholeBytes, ResponseRelay::maximumBodyBytes) : maximumWholeBytes);
    error_code failure;
    co_await readHeader(connection->socket, connection->buffer, parser, failure);
    call->hasResponseStarted = call->hasResponseStarted || parser.got_some();
    if (!failure && call->onResponseHead)
        call->onResponseHead(parser.get());
    size_t unreportedBytes = 0;
    const std::function<void(size_t)> moveDeadline = [&](size_t bytes) {
        unreportedBytes += bytes;
        if (call->maximumStall <= Milliseconds(0) || unreportedBytes < minimumProgressBytes)
            return;
        unreportedBytes = 0;
        const SteadyTime extended = std::min(BootTimeClock::now() + call->maximumStall, call->latestDeadline);
        call->deadline = std::max(call->deadline, extended);
        connection->armTimer(call->deadline);
    };
    const bool canRelay = !failure && call->relay && parser.get().result_int() / 100 == 2
        && isEchoAccepted(*call, parser.get()) && call->relay->accepts(parser.get());
    if (!failure)
        co_await readBody(connection->socket, connection->buffer, parser, *call->responseMemory, call->deadline,
            failure, &moveDeadline, canRelay ? ResponseRelay::firstPartBytes : noBodyBound);
    if (!failure && !parser.is_done() && !connection->hasTimedOut() && !call->isCancelled) {
        call->responseMemory.reset();
        co_await call->relay->receive(*connection, parser, failure);
    }
    if (failure == http::error::header_limit || failure == http::error::body_limit
        || failure == http::error::buffer_overflow)
        co_return CallOutcome::TooLarge;
    co_return failure ? CallOutcome::Broken : CallOutcome::Answered;
}

asio::awaitable<void> HttpConnectionPool::sendRequest(
    ClientConnectionPointer connection, std::shared_ptr<Call> call, std::shared_ptr<SendProgress> sendProgress)
{
    error_code failure;
    co_await http::async_write(connection->socket, call->request, asio::redirect_error(asio::use_awaitable, failure));
    sendProgress->isDone = true;
    sendProgress->hasFailed = failure.failed();
    if (!sendProgress->isAnswered)
        co_return;
    --this->unfinishedRequests;
    connection->disarmTimer();
    connection->close();
}

asio::awaitable<CallOutcome> HttpConnectionPool::sendAndReceive(std::shared_ptr<Call> call)
{
    const ClientConnectionPointer connection = call->connection;
    connection->armTimer(call->deadline);
    ++connection->requestCount;
    call->isPossiblySent = true;
    const auto sendProgress = std::make_shared<SendProgress>();
    asio::co_spawn(this->context, this->sendRequest(connection, call, sendProgress), asio::detached);
    CallOutcome outcome = CallOutcome::Broken;
    for (int skippedResponses = 0; skippedResponses <= maximumSkippedResponses; ++skippedResponses) {
        http::response_parser<http::string_body> parser;
        if (call->request.method() == http::verb::head)
            parser.skip(true);
        const CallOutcome readOutcome = co_await this->readResponse(call, parser);
        if (call->isCancelled) {
            outcome = CallOutcome::Cancelled;
            break;
        }
        if (connection->hasTimedOut()) {
            outcome = CallOutcome::TimedOut;
            break;
        }
        if (readOutcome != CallOutcome::Answered) {
            outcome = readOutcome;
            break;
        }
        if (isInterim(*call, parser.get()))
            continue;
        if (!isFinalStatus(parser.get().result_int()))
            break;
        // A response without a length ends with its connection; if that failed, the rest of the response is missing.
        if (parser.need_eof() && !isClosedByPeer(connection->socket))
            break;
        if (!isEchoAccepted(*call, parser.get()))
            continue;
        // Bytes after the response belong to no request, and a request body that is still being sent must not be
        // interrupted by the next request. In both cases the connection is not reused.
        const bool canReuse = parser.keep_alive() && !parser.need_eof() && sendProgress->isDone
            && !sendProgress->hasFailed && connection->buffer.size() == 0;
        const bool mayServerReadOn = parser.keep_alive() && !parser.need_eof();
        call->response = parser.release();
        if (!sendProgress->isDone && mayServerReadOn) {
            sendProgress->isAnswered = true;
            ++this->unfinishedRequests;
            call->connection.reset();
            co_return CallOutcome::Answered;
        }
        if (!canReuse)
            connection->close();
        outcome = CallOutcome::Answered;
        break;
    }
    connection->disarmTimer();
    if (outcome != CallOutcome::Answered)
        connection->close();
    co_return outcome;
}

void HttpConnectionPool::releaseConnection(const std::shared_ptr<Call>& call, const Endpoint& server)
{
    const ClientConnectionPointer connection = std::move(call->connection);
    if (!connection || !connection->socket.is_open())
        return;
    const int timeoutSeconds = keepAliveSeconds(call->response[http::field::keep_alive]);
    Milliseconds idleTimeout = this->maximumIdleTime;
    if (timeoutSeconds >= 0)
        idleTimeout = std::min(idleTimeout, Milliseconds(timeoutSeconds * 1000) - keepAliveMargin);
    if (idleTimeout <= Milliseconds(0)) {
        connection->close();
        return;
    }
    this->addIdleConnection(server, connection, idleTimeout);
}

void HttpConnectionPool::addIdleConnection(
    const Endpoint& server, const ClientConnectionPointer& connection, Milliseconds idleTimeout)
{
    connection->buffer.releaseIfEmpty();
    connection->idleExpiresAt = BootTimeClock::now() + idleTimeout;
    this->idleConnections[server].push_back(connection);
}

bool HttpConnectionPool::hasIdleConnection(const Endpoint& server) const
{
    return this->idleConnections.contains(server);
}

void HttpConnectionPool::stopPreconnecting(const Endpoint& server) { this->preconnectedUntil.erase(server); }

void HttpConnectionPool::keepPreconnected(const Endpoint& server, SteadyTime until)
{
    SteadyTime& keptUntil = this->preconnectedUntil[server];
    keptUntil = std::max(keptUntil, until);
}

asio::awaitable<void> HttpConnectionPool::preconnect(Endpoint server)
{
    this->preconnectingServers.insert(server);
    const auto call = std::make_shared<Call>();
    call->connectDeadline = BootTimeClock::now() + preconnectTimeout;
    call->deadline = call->connectDeadline;
    const CallOutcome outcome = co_await this->connect(call, server);
    this->preconnectingServers.erase(server);
    if (outcome == CallOutcome::Answered)
        this->addIdleConnection(server, call->connection, this->maximumIdleTime);
    else
        this->preconnectedUntil.erase(server);
}

asio::awaitable<CallOutcome> HttpConnectionPool::execute(std::shared_ptr<Call> call, Endpoint server)
{
    if (call->connectionUse == ConnectionUse::ReuseIdle)
        call->connection = this->acquireIdleConnection(server);
    if (!call->connection) {
        const CallOutcome connectOutcome = co_await this->connect(call, server);
        if (connectOutcome != CallOutcome::Answered)
            co_return connectOutcome;
        if (call->isStillWanted && !call->isStillWanted()) {
            call->connection->close();
            co_return CallOutcome::NotSent;
        }
    }
    const CallOutcome outcome = co_await this->sendAndReceive(call);
    this->releaseConnection(call, server);
    co_return outcome;
}

asio::awaitable<Reachability> HttpConnectionPool::probe(Endpoint server, SteadyTime deadline)
{
    const auto call = std::make_shared<Call>();
    call->connectDeadline = call->deadline = deadline;
    const CallOutcome outcome = co_await this->connect(call, server);
    if (outcome != CallOutcome::Answered)
        co_return call->connectFailure == asio::error::connection_refused ? Reachability::Refused
                                                                          : Reachability::Unknown;
    call->connection->close();
    co_return Reachability::Listening;
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
            const bool shouldClose = connection->idleExpiresAt <= now || isStale(connection->socket);
            if (shouldClose)
                connection->close();
            return shouldClose;
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
