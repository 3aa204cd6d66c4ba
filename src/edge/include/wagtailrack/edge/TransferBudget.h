#pragma once

#include <wagtailrack/base/Clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace wagtailrack::edge {

// Limits of a TransferBudget.
struct TransferLimits {
    // Bytes of one message body, and of all message bodies that are held at the same time.
    size_t messageBytes = 0;
    size_t totalBytes = 0;
    // Bytes per second in which large messages are read; 0 for no limit.
    double bytesPerSecond = 0;

    friend bool operator==(const TransferLimits&, const TransferLimits&) = default;
};

// Derives the limits from the memory of an instance in bytes and the bandwidth of its link in bits per second.
TransferLimits transferLimitsFor(size_t memoryBytes, double linkBitsPerSecond) noexcept;

// Limits for responses of the store and of peers. Not paced: a configuration is one large message of them, and all
// requests depend on its arrival.
TransferLimits internalTransferLimitsFor(size_t memoryBytes) noexcept;

// Bounds the memory and the bandwidth that message bodies take, so that peers that send bytes without end do not
// exhaust the instance. The first `unreservedBytes` of each message are exempt: ordinary messages are neither refused
// nor delayed because of large ones. Outlives its reservations; used by one thread.
//
//     TransferBudget::Reservation memory(budget);
//     while (...) {
//         // read some bytes
//         if (!memory.resize(body.size())) ...       // refuse the message
//         delay = memory.delayAfterReading(size);    // wait before reading more
//     }
class TransferBudget {
public:
    // More than the bodies of the deployments, which are at most 30 kB.
    static constexpr size_t unreservedBytes = 65'536;

    // Memory of one message; released when it is destroyed.
    class Reservation {
    public:
        explicit Reservation(TransferBudget& budget) noexcept;
        ~Reservation();
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Changes the size of the message body to `bytes`. Returns false, and keeps the former size, if one of the
        // limits does not allow it.
        bool resize(size_t bytes) noexcept;
        // Time to wait before more of the message is read, after `bytes` of it have been read. Not limited: with many
        // large messages, each one's turn comes late.
        Milliseconds delayAfterReading(size_t bytes, SteadyTime now) noexcept;

    private:
        TransferBudget& budget;
        size_t reservedBytes = 0;
        size_t readBytes = 0;
    };

    explicit TransferBudget(const TransferLimits& limits) noexcept
        : transferLimits(limits)
    {
    }

    const TransferLimits& limits() const noexcept { return this->transferLimits; }
    size_t reservedBytes() const noexcept { return this->totalReserved; }
    uint64_t refusedMessageCount() const noexcept { return this->refusedMessages; }

private:
    TransferLimits transferLimits;
    size_t totalReserved = 0;
    uint64_t refusedMessages = 0;
    // When the bytes that were read so far would have arrived at the permitted rate.
    SteadyTime pacedUntil;
};

using ReservationPointer = std::shared_ptr<TransferBudget::Reservation>;

}
