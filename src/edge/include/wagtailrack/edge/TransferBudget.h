#pragma once

#include <wagtailrack/base/Clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

namespace wagtailrack::edge {

// Limits of a TransferBudget.
struct TransferLimits {
    // Bytes of one message body, and of all large message bodies that are held at the same time.
    size_t messageBytes = 0;
    size_t totalBytes = 0;
    // Bytes per second in which large messages are read; 0 for no limit.
    double bytesPerSecond = 0;
    // Bytes of all messages that are held at the same time, and of receive buffers.
    size_t heldBytes = std::numeric_limits<size_t>::max();
    // Bytes per second that all streamed responses together are written with; 0 for no limit.
    double streamBytesPerSecond = 0;

    friend bool operator==(const TransferLimits&, const TransferLimits&) = default;
};

// Derives the limits from the memory of an instance in bytes and the bandwidth of its link in bits per second.
TransferLimits transferLimitsFor(size_t memoryBytes, double linkBitsPerSecond) noexcept;

// Limits for responses of the store and of peers. Not paced: a configuration is one large message of them, and all
// requests depend on its arrival.
TransferLimits internalTransferLimitsFor(size_t memoryBytes) noexcept;

// Bounds the memory and the bandwidth that message bodies take, so that peers that send bytes without end do not
// exhaust the instance. The first `unreservedBytes` of each message are exempt from the limits for large messages:
// ordinary messages are neither refused nor delayed because of large ones. Only TransferLimits::heldBytes counts them,
// which bounds the memory that many connections take together. Reservations may outlive the budget, as those of
// coroutines do that end with the event loop. Used by one thread.
//
//     TransferBudget::Reservation memory(budget);
//     while (...) {
//         // read some bytes
//         if (!memory.resize(body.size())) ...       // refuse the message
//         delay = memory.delayAfterReading(size);    // wait before reading more
//     }
class TransferBudget {
    // What is in use, shared with the reservations.
    struct Usage {
        TransferLimits limits;
        size_t reservedBytes = 0;
        size_t heldBytes = 0;
        uint64_t refusedMessages = 0;
        // When the bytes that were read so far would have arrived at the permitted rate.
        SteadyTime pacedUntil;
        // When the pieces of streamed responses that have a turn have been written at the permitted rate.
        SteadyTime streamPacedUntil;
    };

public:
    // More than most bodies of the deployments, which have at most 30 kB. The responses of routes with large responses
    // have 90 to 540 kB; they are streamed (ResponseRelay) and not delayed by the limits for other large messages.
    static constexpr size_t unreservedBytes = 65'536;

    // Memory of one message body or receive buffer; released when it is destroyed.
    class Reservation {
    public:
        explicit Reservation(TransferBudget& budget) noexcept;
        ~Reservation();
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Changes the size to `bytes`. Returns false, and keeps the former size, if one of the limits does not allow
        // it. A smaller size is always allowed.
        bool resize(size_t bytes) noexcept;
        // Whether resize() would succeed.
        bool canResize(size_t bytes) const noexcept;
        // Time to wait before more of the message is read, after `bytes` of it have been read. Not limited: with many
        // large messages, each one's turn comes late.
        Milliseconds delayAfterReading(size_t bytes, SteadyTime now) noexcept;

    private:
        std::shared_ptr<Usage> usage;
        size_t reservedBytes = 0;
        size_t heldBytes = 0;
        size_t readBytes = 0;
    };

    explicit TransferBudget(const TransferLimits& limits)
        : usage(std::make_shared<Usage>(Usage { limits, 0, 0, 0, {}, {} }))
    {
    }

    const TransferLimits& limits() const noexcept { return this->usage->limits; }
    // Bytes of large messages, without the first `unreservedBytes` of each.
    size_t reservedBytes() const noexcept { return this->usage->reservedBytes; }
    // Bytes of all messages and receive buffers.
    size_t heldBytes() const noexcept { return this->usage->heldBytes; }
    uint64_t refusedMessageCount() const noexcept { return this->usage->refusedMessages; }

    // Returns when `bytes` of a streamed response may be written, which may be in the past. The responses that are
    // streamed at the same time have turns in the order of these calls.
    SteadyTime reserveStreamTurn(size_t bytes, SteadyTime now) noexcept;

private:
    std::shared_ptr<Usage> usage;
};

using ReservationPointer = std::shared_ptr<TransferBudget::Reservation>;

}
