#include <wagtailrack/edge/ResponseRelay.h>

#include <wagtailrack/edge/HttpConnectionPool.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace wagtailrack::edge {

namespace {

using boost::system::error_code;

// Body bytes written to a caller in one turn. A response of another request waits behind at most about one piece, which
// takes a link of 10 Mbit/s 6.5 ms.
constexpr size_t pieceBytes = 8192;
// Bytes that may be buffered for a caller without a pause of the server while the memory is scarce.
constexpr size_t unpausedBytes = 65'536;
// Fraction of the memory for all large messages above which one response makes its server pause. 16 such responses fill
// half of that memory.
constexpr size_t responseMemoryDivisor = 32;
// Fraction of the memory of all messages that responses to slow callers leave to other messages.
constexpr size_t memoryLeftDivisor = 4;
// Sum of the pauses of one server's response. Servers cut a response that stays unread for some seconds.
constexpr Milliseconds maximumPausedTime(1000);
// Longest wait for memory after that, and the interval of checks for memory that other responses have released.
constexpr Milliseconds maximumMemoryWait(1500);
constexpr Milliseconds memoryCheckInterval(50);
// The server's connection is closed when less than `minimumProgressBytes` arrive within this time. 200 responses that
// share a link of 10 Mbit/s receive 19 kB each within it.
constexpr Milliseconds maximumServerStall(3000);
constexpr size_t minimumProgressBytes = 1024;
// A caller that takes no piece for this long is given up.
constexpr Milliseconds maximumCallerStall(8000);
constexpr Milliseconds deliveryCheckInterval(500);

}

const char* toString(RelayFailure failure) noexcept
{
    switch (failure) {
    case RelayFailure::None:
        break;
    case RelayFailure::ServerBroke:
        return "stream-broken";
    case RelayFailure::ServerStalled:
        return "stream-stalled";
    case RelayFailure::CallerLeft:
        return "caller-left";
    case RelayFailure::CallerTooSlow:
        return "caller-too-slow";
    }
    return "none";
}

ResponseRelay::ResponseRelay(asio::io_context& context, TransferBudget& budget, Filter filter, BeginHook onBegin)
    : budget(budget)
    , filter(std::move(filter))
    , onBegin(std::move(onBegin))
    , memory(budget)
    , producerTimer(context)
    , consumerTimer(context)
    , deliveryTimer(context)
{
}

void ResponseRelay::notify()
{
    this->producerTimer.cancel();
    this->consumerTimer.cancel();
    this->deliveryTimer.cancel();
}

asio::awaitable<void> ResponseRelay::wait(Timer& timer, SteadyTime deadline)
{
    timer.expires_at(deadline);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

bool ResponseRelay::isCallerStalled(SteadyTime now) const noexcept
{
    return this->writingBytes > 0 && now >= this->writingSince + maximumCallerStall;
}

bool ResponseRelay::shouldPause() const noexcept
{
    const TransferLimits& limits = this->budget.limits();
    const bool isMemoryScarce = this->budget.reservedBytes() > limits.totalBytes / 2;
    const size_t unpaused = isMemoryScarce ? unpausedBytes : limits.totalBytes / responseMemoryDivisor;
    return this->bufferedBytes() > std::max(unpaused, unpausedBytes);
}

bool ResponseRelay::hasRoomFor(size_t bytes) const noexcept
{
    const TransferLimits& limits = this->budget.limits();
    return bytes == 0
        || (this->memory.canResize(this->bufferedBytes() + bytes)
            && this->budget.reservedBytes() + bytes <= limits.totalBytes - limits.totalBytes / memoryLeftDivisor
            && this->budget.heldBytes() + bytes <= limits.heldBytes - limits.heldBytes / memoryLeftDivisor);
}

asio::awaitable<bool> ResponseRelay::takeBody(http::response_parser<http::string_body>& parser)
{
    std::string& body = parser.get().body();
    const SteadyTime giveUpAt = BootTimeClock::now() + maximumMemoryWait;
    while (this->failureReason == RelayFailure::None && !this->hasRoomFor(body.size())) {
        const SteadyTime now = BootTimeClock::now();
        if (now >= giveUpAt || this->isCallerStalled(now))
            co_return false;
        co_await this->wait(this->producerTimer, now + memoryCheckInterval);
    }
    if (this->failureReason != RelayFailure::None)
        co_return false;
    if (body.empty())
        co_return true;
    this->memory.resize(this->bufferedBytes() + body.size());
    this->queue.emplace_back(body);
    this->queuedBytes += body.size();
    // The parser has reserved memory for the whole body.
    if (body.capacity() > firstPartBytes)
        std::string().swap(body);
    else
        body.clear();
    this->notify();
    co_return true;
}

asio::awaitable<void> ResponseRelay::receive(
    ClientConnection& connection, http::response_parser<http::string_body>& parser, error_code& failure)
{
    this->isBegun = true;
    this->beginTime = BootTimeClock::now();
    this->head.base() = parser.get().base();
    removeHopByHopHeaders(this->head);
    this->isChunked = !parser.content_length();
    if (this->isChunked)
        this->head.erase(http::field::content_length);
    this->onBegin(this->head);
    parser.eager(true);
    size_t unreportedBytes = 0;
    SteadyTime serverDeadline = this->beginTime + maximumServerStall;
    while (true) {
        const SteadyTime pausedAt = BootTimeClock::now();
        connection.disarmTimer();
        const bool isTaken = !this->isCallerStalled(pausedAt) && co_await this->takeBody(parser);
        while (isTaken && !parser.is_done() && this->failureReason == RelayFailure::None && this->shouldPause()
            && this->pausedTime < maximumPausedTime) {
            const SteadyTime now = BootTimeClock::now();
            co_await this->wait(this->producerTimer, now + (maximumPausedTime - this->pausedTime));
            this->pausedTime += std::chrono::ceil<Milliseconds>(BootTimeClock::now() - now);
        }
        if (!isTaken || this->failureReason != RelayFailure::None) {
            failure = isTaken || this->failureReason != RelayFailure::None ? error_code(asio::error::operation_aborted)
                                                                           : error_code(http::error::buffer_overflow);
            co_return;
        }
        serverDeadline += BootTimeClock::now() - pausedAt;
        connection.armTimer(serverDeadline);
        if (parser.is_done())
            co_return;
        unreportedBytes += co_await connection.buffer.readSome(connection.socket, parser, failure);
        if (failure)
            co_return;
        if (unreportedBytes >= minimumProgressBytes) {
            unreportedBytes = 0;
            serverDeadline = BootTimeClock::now() + maximumServerStall;
        }
    }
}

void ResponseRelay::finish()
{
    this->isFinished = true;
    this->notify();
}

void ResponseRelay::fail(RelayFailure reason)
{
    if (this->isDelivered || this->failureReason != RelayFailure::None)
        return;
    this->failureReason = reason;
    this->queue.clear();
    this->queuedBytes = 0;
    this->memory.resize(this->writingBytes);
    this->notify();
    if (this->onFailure && reason != RelayFailure::CallerLeft)
        this->onFailure();
}

bool ResponseRelay::endsWithConnection(unsigned version) const noexcept { return this->isChunked && version == 10; }

void ResponseRelay::start(unsigned version, bool shouldKeepAlive)
{
    const bool mustEndWithConnection = this->endsWithConnection(version);
    this->isStarted = true;
    this->isChunked = this->isChunked && !mustEndWithConnection;
    this->head.version(version == 10 ? 10 : 11);
    // message::chunked() erases the Content-Length, whatever its argument.
    if (this->isChunked)
        this->head.chunked(true);
    this->head.keep_alive(shouldKeepAlive && !mustEndWithConnection);
    std::ostringstream text;
    text << this->head.base();
    this->prefix = text.str();
}

void ResponseRelay::releaseWrittenPiece()
{
    this->deliveredBodyBytes += this->writingBytes;
    this->writingBytes = 0;
    this->memory.resize(this->queuedBytes);
}

std::string ResponseRelay::takePiece()
{
    std::string body;
    while (!this->queue.empty() && body.size() < pieceBytes) {
        const std::string& first = this->queue.front();
        const size_t size = std::min(first.size() - this->takenBytes, pieceBytes - body.size());
        body.append(first, this->takenBytes, size);
        this->takenBytes += size;
        if (this->takenBytes == first.size()) {
            this->queue.pop_front();
            this->takenBytes = 0;
        }
    }
    this->queuedBytes -= body.size();
    this->writingBytes = body.size();
    std::string piece = std::move(this->prefix);
    this->prefix.clear();
    if (this->isChunked) {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", body.size());
        piece.append(size).append(body).append("\r\n");
    } else {
        piece.append(body);
    }
    return piece;
}

asio::awaitable<std::string> ResponseRelay::next()
{
    this->releaseWrittenPiece();
    this->notify();
    SteadyTime turnAt;
    while (this->failureReason == RelayFailure::None) {
        const SteadyTime now = BootTimeClock::now();
        if (this->queuedBytes > 0) {
            if (turnAt == SteadyTime())
                turnAt = this->budget.reserveStreamTurn(std::min(this->queuedBytes, pieceBytes), now);
            if (now >= turnAt) {
                this->writingSince = now;
                co_return this->takePiece();
            }
            co_await this->wait(this->consumerTimer, turnAt);
            continue;
        }
        if (this->isFinished && this->isChunked && !this->isLastChunkWritten) {
            this->isLastChunkWritten = true;
            co_return "0\r\n\r\n";
        }
        if (this->isFinished) {
            this->isDelivered = true;
            this->notify();
            co_return std::string();
        }
        co_await this->wait(this->consumerTimer, SteadyTime::max());
    }
    co_return std::string();
}

asio::awaitable<void> ResponseRelay::waitUntilDelivered()
{
    while (!this->isDelivered && this->failureReason == RelayFailure::None) {
        const SteadyTime now = BootTimeClock::now();
        if (this->isCallerStalled(now)) {
            this->fail(RelayFailure::CallerTooSlow);
            co_return;
        }
        co_await this->wait(this->deliveryTimer, now + deliveryCheckInterval);
    }
}

}
