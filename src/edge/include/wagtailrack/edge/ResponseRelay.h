#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/TransferBudget.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace wagtailrack::edge {

class ClientConnection;

// Why a relay ended before the whole response had been written.
enum class RelayFailure {
    None,
    // The server's connection ended or its response was malformed.
    ServerBroke,
    // The server sent too little for too long.
    ServerStalled,
    // The caller's connection ended.
    CallerLeft,
    // The caller read so slowly that the memory for large responses was used up, or read nothing for some seconds.
    CallerTooSlow,
};

const char* toString(RelayFailure failure) noexcept;

// Passes a large response from a server's connection to a caller's while it arrives, so that it is not held whole. One
// relay serves one attempt to send a request; the call, the exchange and the caller's session share it. Used by the
// event loop's thread only.
//
// Producer, in HttpConnectionPool: when the head and the first `firstPartBytes` of a body have arrived, receive() reads
// the rest. It pauses while the caller is slow, in sum for about a second: servers cut responses that stay unread.
// After that it reads on, and what the caller has not read yet is held within the limits of the TransferBudget. When
// these are reached, it waits about a second and a half for room and then gives the response up.
//
// Consumer, in CallerSession: start() renders the head, and next() returns the bytes to write, in pieces that share a
// part of the instance's link with the other relays (TransferBudget::reserveStreamTurn()). An empty piece is the end:
// of the whole response after finish(), or of an incomplete one after fail(). The caller's connection must be closed
// after the latter, so that the framing of the response remains incomplete.
class ResponseRelay {
public:
    // Bodies up to this size are read whole, as those of all other routes. Such a part is exempt from the limits for
    // large messages.
    static constexpr size_t firstPartBytes = TransferBudget::unreservedBytes;
    // Size of a body above which the call fails. The parser allocates the size that a Content-Length names, so that it
    // must not be arbitrary; the deployments have 540 kB at most.
    static constexpr uint64_t maximumBodyBytes = 16 << 20;

    // Decides from the head whether a response may be relayed.
    using Filter = std::function<bool(const HttpResponse& head)>;
    // Called once, when the relay has its first part.
    using BeginHook = std::function<void(const HttpResponse& head)>;

    ResponseRelay(asio::io_context& context, TransferBudget& budget, Filter filter, BeginHook onBegin);

    bool accepts(const HttpResponse& head) const { return this->filter(head); }
    // Reads the rest of the body whose first part is in `parser`. Sets `failure` to http::error::buffer_overflow when
    // the caller was too slow, and otherwise as ReceiveBuffer::readSome() does. While it reads, the timer of
    // `connection` is armed.
    asio::awaitable<void> receive(ClientConnection& connection, http::response_parser<http::string_body>& parser,
        boost::system::error_code& failure);
    bool hasBegun() const noexcept { return this->isBegun; }
    SteadyTime begunAt() const noexcept { return this->beginTime; }
    // The server's response is complete.
    void finish();
    // Ends the relay unless it has been delivered or has failed. Calls the hook of setFailureHook().
    void fail(RelayFailure reason);
    RelayFailure failure() const noexcept { return this->failureReason; }

    // Whether a response to a request of the HTTP version (10 or 11) has to end with its connection, because its length
    // is not known.
    bool endsWithConnection(unsigned version) const noexcept;
    // From here on the response cannot be replaced by another one.
    void start(unsigned version, bool shouldKeepAlive);
    bool hasStarted() const noexcept { return this->isStarted; }
    // Waits for bytes and for their turn on the link. The former piece counts as written.
    asio::awaitable<std::string> next();
    // Called by fail(), except for RelayFailure::CallerLeft.
    void setFailureHook(std::function<void()> hook) { this->onFailure = std::move(hook); }

    // Waits until the last piece has been written or the relay has failed. A caller that reads nothing for some seconds
    // makes it fail.
    asio::awaitable<void> waitUntilDelivered();
    uint64_t deliveredBytes() const noexcept { return this->deliveredBodyBytes; }
    size_t bufferedBytes() const noexcept { return this->queuedBytes + this->writingBytes; }

private:
    // Moves the body out of `parser` into the queue. Waits for memory if there is none. Returns false if that lasted
    // too long or the relay has failed.
    asio::awaitable<bool> takeBody(http::response_parser<http::string_body>& parser);
    bool hasRoomFor(size_t bytes) const noexcept;
    bool shouldPause() const noexcept;
    bool isCallerStalled(SteadyTime now) const noexcept;
    std::string takePiece();
    void releaseWrittenPiece();
    // Waits until something has changed, at most until `deadline`.
    asio::awaitable<void> wait(Timer& timer, SteadyTime deadline);
    void notify();

    TransferBudget& budget;
    Filter filter;
    BeginHook onBegin;
    std::function<void()> onFailure;
    HttpResponse head;
    TransferBudget::Reservation memory;
    std::deque<std::string> queue;
    // Bytes of the first string in `queue` that have been taken.
    size_t takenBytes = 0;
    size_t queuedBytes = 0;
    // Body bytes of the piece that is being written, and since when.
    size_t writingBytes = 0;
    SteadyTime writingSince;
    uint64_t deliveredBodyBytes = 0;
    // Bytes that are written before the next piece: the rendered head.
    std::string prefix;
    SteadyTime beginTime;
    Milliseconds pausedTime { 0 };
    // Each is cancelled when the state changes; they wake the producer, the consumer and waitUntilDelivered().
    Timer producerTimer;
    Timer consumerTimer;
    Timer deliveryTimer;
    RelayFailure failureReason = RelayFailure::None;
    bool isBegun = false;
    bool isStarted = false;
    bool isChunked = false;
    bool isFinished = false;
    bool isLastChunkWritten = false;
    bool isDelivered = false;
};

using ResponseRelayPointer = std::shared_ptr<ResponseRelay>;

}
