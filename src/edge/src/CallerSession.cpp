#include <wagtailrack/edge/CallerSession.h>

#include <wagtailrack/edge/readMessage.h>
#include <wagtailrack/edge/superviseTask.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace wagtailrack::edge {

namespace {

using boost::system::error_code;

// Requests of one connection that are read before earlier responses are written. Bounds the memory per connection.
constexpr size_t maximumPipelinedRequests = 16;
// Connections that the kernel queues until they are accepted.
constexpr int listenBacklog = 1024;
// Callers may be slow, but a connection whose data is not acknowledged for this long is closed.
constexpr int callerTcpUserTimeoutMs = 8000;
// Retry-After of a request whose body finds no memory. Large bodies are read for about this long.
constexpr double memoryFullRetryAfterSeconds = 0.5;
// Delay after accept() fails, as it does when the process is out of file descriptors.
constexpr Milliseconds acceptRetryDelay(20);
// Time after the last response in which the caller can read it before the connection is closed.
constexpr Milliseconds closeDelay(500);
// Input behind the last request is dropped at 400 kB/s at most.
constexpr size_t discardedReadBytes = 4096;
constexpr Milliseconds discardInterval(10);

RefusalReason refusalReasonFor(error_code failure)
{
    if (failure == http::error::header_limit)
        return RefusalReason::HeaderTooLarge;
    if (failure == http::error::body_limit)
        return RefusalReason::BodyTooLarge;
    if (failure == http::error::buffer_overflow)
        return RefusalReason::MemoryFull;
    return RefusalReason::Malformed;
}

http::status statusFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case RefusalReason::BodyTooLarge:
        return http::status::payload_too_large;
    case RefusalReason::MemoryFull:
        return http::status::service_unavailable;
    case RefusalReason::Malformed:
        break;
    }
    return http::status::bad_request;
}

}

const char* toString(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::HeaderTooLarge:
        return "header-too-large";
    case RefusalReason::BodyTooLarge:
        return "body-too-large";
    case RefusalReason::MemoryFull:
        return "memory-full";
    case RefusalReason::Malformed:
        break;
    }
    return "malformed";
}

CallerSession::CallerSession(
    asio::io_context& context, Tcp::socket socket, RequestHandler& handler, CallerListener& listener)
    : context(context)
    , socket(std::move(socket))
    , handler(handler)
    , listener(listener)
    , buffer(listener.budget)
    , stateChanged(context, SteadyTime::max())
    , readTimer(context)
{
}

void CallerSession::start()
{
    this->listener.sessions.insert(this);
    const auto self = this->shared_from_this();
    // An exception, for example for lack of memory, ends the connection and nothing else.
    asio::co_spawn(
        this->context, [self] { return self->readRequests(); },
        [self](const std::exception_ptr& exception) {
            if (exception)
                self->handleCallerDisconnect();
        });
    asio::co_spawn(
        this->context, [self] { return self->writeResponses(); },
        [self](const std::exception_ptr& exception) {
            if (exception)
                self->handleCallerDisconnect();
            self->listener.sessions.erase(self.get());
        });
}

void CallerSession::notifyStateChanged() { this->stateChanged.cancel(); }

void CallerSession::close()
{
    if (!this->isOpen)
        return;
    this->isOpen = false;
    error_code ignored;
    this->socket.close(ignored);
    for (const ExchangePointer& exchange : this->pendingExchanges) {
        if (exchange->relay)
            exchange->relay->fail(RelayFailure::CallerLeft);
    }
    this->readTimer.cancel();
    this->notifyStateChanged();
}

void CallerSession::handleCallerDisconnect()
{
    for (const ExchangePointer& exchange : this->pendingExchanges) {
        exchange->hasCallerDisconnected = true;
        if (exchange->onCallerDisconnected)
            exchange->onCallerDisconnected();
    }
    this->close();
}

void CallerSession::armReadTimer(SteadyTime deadline)
{
    this->readDeadline = deadline;
    this->readTimer.expires_at(deadline);
    this->readTimer.async_wait([weak = this->weak_from_this()](error_code failure) {
        const auto self = weak.lock();
        // The timer may have been armed again after this call was queued. The connection is not idle while the caller
        // waits for responses.
        if (failure || !self || !self->pendingExchanges.empty() || BootTimeClock::now() < self->readDeadline)
            return;
        self->handleReadTimeout();
    });
}

void CallerSession::handleReadTimeout()
{
    // After a time in which the process did not run, data may have arrived before the deadline and not been read yet.
    error_code failure;
    const bool hasUnreadData = this->socket.available(failure) > 0;
    if (!failure && hasUnreadData && !this->isReadingRequest) {
        this->armReadTimer(BootTimeClock::now() + Milliseconds(this->handler.limits().headerTimeoutMs));
        return;
    }
    this->close();
}

bool CallerSession::canReadRequest() const
{
    return !this->isLastRequestRead && (this->pendingExchanges.empty() || !this->handler.shouldCloseConnections());
}

bool CallerSession::isLaterRequestStarted() const
{
    return std::any_of(std::next(this->pendingExchanges.begin()), this->pendingExchanges.end(),
        [](const ExchangePointer& exchange) { return exchange->isHandlerStarted || exchange->isResponseReady; });
}

asio::awaitable<void> CallerSession::discardInput()
{
    this->isLastRequestRead = true;
    this->buffer.clear();
    std::array<char, discardedReadBytes> bytes;
    Timer pause(this->context);
    while (this->isOpen) {
        error_code failure;
        co_await this->socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            this->handleCallerDisconnect();
            co_return;
        }
        pause.expires_after(discardInterval);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
}

asio::awaitable<void> CallerSession::readRequests()
{
    const auto self = this->shared_from_this();
    while (this->isOpen) {
        error_code failure;
        if (!this->canReadRequest()) {
            co_await this->discardInput();
            co_return;
        }
        if (this->pendingExchanges.size() >= maximumPipelinedRequests) {
            co_await this->stateChanged.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        this->armReadTimer(BootTimeClock::now() + Milliseconds(this->handler.limits().idleTimeoutMs));
        // The limits are read when the request begins: a newer configuration may arrive while the connection is idle.
        if (this->buffer.size() == 0) {
            this->buffer.releaseIfEmpty();
            co_await this->socket.async_wait(
                Tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, failure));
        }
        if (!this->isOpen)
            co_return;
        if (failure) {
            this->handleCallerDisconnect();
            co_return;
        }
        const CallerLimits limits = this->handler.limits();
        this->isReadingRequest = true;
        this->armReadTimer(BootTimeClock::now() + Milliseconds(limits.headerTimeoutMs));
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(static_cast<uint64_t>(limits.maxBodyBytes));
        this->buffer.setMaximumBytes(
            std::max(ReceiveBuffer::defaultMaximumBytes, static_cast<size_t>(limits.maxHeaderBytes)));
        const size_t headerBytes = co_await readHeader(this->socket, this->buffer, parser, failure);
        const auto requestMemory = std::make_shared<TransferBudget::Reservation>(this->listener.budget);
        if (!failure && !parser.is_done()) {
            // A body may be large and its link slow, but a caller that stops in the middle of it is given up.
            const std::function<void(size_t)> extendDeadline = [&](size_t /* bytes */) {
                this->armReadTimer(BootTimeClock::now() + Milliseconds(limits.idleTimeoutMs));
            };
            extendDeadline(0);
            co_await readBody(
                this->socket, this->buffer, parser, *requestMemory, SteadyTime::max(), failure, &extendDeadline);
        }
        this->isReadingRequest = false;
        if (!this->isOpen)
            co_return;
        const bool isMalformed = failure && failure != http::error::end_of_stream
            && failure != http::error::partial_message
            && failure.category() == http::make_error_code(http::error::end_of_stream).category();
        if (failure && !isMalformed) {
            this->handleCallerDisconnect();
            co_return;
        }
        // The decision to close the connection may have been made while the request arrived.
        if (!this->canReadRequest())
            continue;
        const auto exchange = std::make_shared<Exchange>();
        exchange->arrivedAt = BootTimeClock::now();
        const bool isFirst = this->pendingExchanges.empty();
        this->pendingExchanges.push_back(exchange);
        if (isMalformed) {
            const HttpRequest& partialRequest = parser.get();
            const size_t bytesRead = headerBytes + partialRequest.body().size() + this->buffer.size();
            const RefusedRequest refused { refusalReasonFor(failure), failure.message(), partialRequest.base(),
                std::string(partialRequest.target()), bytesRead, limits };
            this->isLastRequestRead = true;
            this->refuseRequest(*exchange, refused);
            continue;
        }
        exchange->request = parser.release();
        this->isLastRequestRead = !exchange->request.keep_alive();
        exchange->requestMemory = requestMemory;
        if (isFirst || this->handler.canHandleConcurrently(exchange->request))
            this->startHandler(exchange);
        this->notifyStateChanged();
    }
}

void CallerSession::refuseRequest(Exchange& exchange, const RefusedRequest& refused)
{
    const bool isMemoryFull = refused.reason == RefusalReason::MemoryFull;
    exchange.response = makeResponse(
        statusFor(refused.reason), refused.error + "\n", isMemoryFull ? memoryFullRetryAfterSeconds : -1);
    this->handler.handleRefusedRequest(refused, exchange.response);
    exchange.response.keep_alive(false);
    exchange.isResponseReady = true;
    this->notifyStateChanged();
}

void CallerSession::startHandler(const ExchangePointer& exchange)
{
    exchange->onRelayBegun = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->notifyStateChanged();
    };
    // Set here: the task itself begins to run later only.
    exchange->isHandlerStarted = true;
    asio::co_spawn(
        this->context, [self = this->shared_from_this(), exchange] { return self->handleExchange(exchange); },
        asio::detached);
}

asio::awaitable<void> CallerSession::handleExchange(ExchangePointer exchange)
{
    const auto self = this->shared_from_this();
    try {
        co_await this->handler.handle(exchange);
    } catch (const std::exception& exception) {
        // The caller learns nothing about whether the request was executed, because nothing is known.
        exchange->response = makeResponse(
            http::status::internal_server_error, std::string("internal error: ") + exception.what() + "\n");
        if (exchange->relay && !exchange->relay->hasStarted())
            exchange->relay.reset();
        else if (exchange->relay)
            exchange->relay->fail(RelayFailure::ServerBroke);
    }
    exchange->onCallerDisconnected = nullptr;
    exchange->isResponseReady = true;
    this->notifyStateChanged();
}

void CallerSession::abortResponse(bool endsWithConnection)
{
    // The end of the connection would be the end of the response.
    error_code ignored;
    if (endsWithConnection)
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->handleCallerDisconnect();
}

asio::awaitable<bool> CallerSession::writeRelay(ResponseRelayPointer relay, unsigned version, bool shouldKeepAlive)
{
    limitUnsentBytes(this->socket);
    const bool endsWithConnection = relay->endsWithConnection(version);
    relay->setFailureHook([weak = this->weak_from_this(), endsWithConnection] {
        if (const auto self = weak.lock())
            self->abortResponse(endsWithConnection);
    });
    relay->start(version, shouldKeepAlive);
    while (true) {
        const std::string piece = co_await relay->next();
        if (piece.empty())
            co_return this->isOpen && relay->failure() == RelayFailure::None;
        error_code failure;
        co_await asio::async_write(
            this->socket, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            relay->fail(RelayFailure::CallerLeft);
            this->handleCallerDisconnect();
            co_return false;
        }
    }
}

asio::awaitable<void> CallerSession::writeResponses()
{
    const auto self = this->shared_from_this();
    while (this->isOpen) {
        error_code failure;
        if (this->pendingExchanges.empty()
            || (!this->pendingExchanges.front()->isResponseReady && !this->pendingExchanges.front()->relay)) {
            co_await this->stateChanged.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        const ExchangePointer exchange = this->pendingExchanges.front();
        const bool isMalformed = exchange->request.target().empty();
        const ResponseRelayPointer relay = exchange->relay;
        const bool shouldKeepAlive = !isMalformed && exchange->request.keep_alive()
            && !(relay && relay->endsWithConnection(exchange->request.version()))
            && (!this->handler.shouldCloseConnections() || this->isLaterRequestStarted());
        if (!shouldKeepAlive)
            this->isLastRequestRead = true;
        if (relay) {
            if (!co_await this->writeRelay(relay, exchange->request.version(), shouldKeepAlive))
                co_return;
        } else {
            HttpResponse& response = exchange->response;
            response.version(exchange->request.version() == 10 ? 10 : 11);
            response.keep_alive(shouldKeepAlive);
            if (exchange->request.method() == http::verb::head)
                response.body().clear();
            else
                response.prepare_payload();
            co_await http::async_write(this->socket, response, asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                this->handleCallerDisconnect();
                co_return;
            }
        }
        this->pendingExchanges.pop_front();
        // A response may have been begun before the handler closes connections, and no request is read behind it.
        if (!shouldKeepAlive || (this->pendingExchanges.empty() && this->isLastRequestRead)) {
            // The requests behind a response that closes the connection were not started; the caller sends them again.
            this->pendingExchanges.clear();
            this->socket.shutdown(Tcp::socket::shutdown_send, failure);
            // Closing a socket with unread data would reset the connection before the caller has read the response.
            Timer closeTimer(this->context, closeDelay);
            co_await closeTimer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            this->close();
            co_return;
        }
        if (this->pendingExchanges.empty()) {
            this->armReadTimer(BootTimeClock::now() + Milliseconds(this->handler.limits().idleTimeoutMs));
        } else if (!this->pendingExchanges.front()->isHandlerStarted
            && !this->pendingExchanges.front()->isResponseReady) {
            this->startHandler(this->pendingExchanges.front());
        }
        this->notifyStateChanged();
    }
}

CallerListener::CallerListener(asio::io_context& context, RequestHandler& handler, TransferBudget& budget)
    : context(context)
    , handler(handler)
    , budget(budget)
    , acceptor(context)
{
}

Status CallerListener::open(const Endpoint& address)
{
    const Tcp::endpoint endpoint = toTcpEndpoint(address);
    error_code failure;
    this->acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        this->acceptor.set_option(Tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        this->acceptor.bind(endpoint, failure);
    if (!failure)
        this->acceptor.listen(listenBacklog, failure);
    if (failure) {
        this->close();
        return makeError(ErrorCode::ConnectFailed, address.toString(), failure.message());
    }
    asio::co_spawn(
        this->context,
        [this] {
            return superviseTask(
                "accept", [this] { return this->acceptConnections(); }, reportToStandardError);
        },
        asio::detached);
    return success();
}

asio::awaitable<void> CallerListener::acceptConnections()
{
    while (this->acceptor.is_open()) {
        error_code failure;
        Tcp::socket socket(this->context);
        co_await this->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            Timer retryTimer(this->context, acceptRetryDelay);
            co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        setTcpOptions(socket, callerTcpUserTimeoutMs);
        std::make_shared<CallerSession>(this->context, std::move(socket), this->handler, *this)->start();
    }
}

void CallerListener::close()
{
    error_code ignored;
    this->acceptor.close(ignored);
}

void CallerListener::closeIdleSessions()
{
    const std::set<CallerSession*> openSessions = this->sessions;
    for (CallerSession* session : openSessions) {
        if (session->isIdle())
            session->close();
    }
}

size_t CallerListener::busySessionCount() const noexcept
{
    size_t count = 0;
    for (const CallerSession* session : this->sessions)
        count += session->isIdle() ? 0 : 1;
    return count;
}

}
