#include <wagtailrack/edge/TransferBudget.h>

#include <algorithm>

namespace wagtailrack::edge {

namespace {

// Fractions of an instance's memory for one message body and for all of them. The smallest instances have 160 MB, so
// that a message of the store, at most 1.4 MB, always fits.
constexpr size_t messageMemoryDivisor = 32;
constexpr size_t totalMemoryDivisor = 8;
// Fraction of an instance's memory for all messages and receive buffers of one budget. An instance has three: for
// callers and servers, for peers, and for the store.
constexpr size_t heldMemoryDivisor = 4;
// Fraction of the link for large messages; the rest is left to ordinary ones.
constexpr double largeMessageLinkRatio = 0.25;
// How far the bytes that were read may be ahead of the permitted rate before reading is delayed.
constexpr Milliseconds permittedAdvance(50);
// Fraction of the link for streamed responses. A quarter, as for other large messages, would take 1.7 s for a response
// of 540 kB on a link of 10 Mbit/s, and two such responses would miss a deadline of 3 s.
constexpr double streamLinkRatio = 0.7;
// How far streamed responses may be ahead of their rate after a pause. They delay other responses by about this time.
constexpr Milliseconds permittedStreamAdvance(10);

}

TransferLimits transferLimitsFor(size_t memoryBytes, double linkBitsPerSecond) noexcept
{
    return { memoryBytes / messageMemoryDivisor, memoryBytes / totalMemoryDivisor,
        linkBitsPerSecond / 8 * largeMessageLinkRatio, memoryBytes / heldMemoryDivisor,
        linkBitsPerSecond / 8 * streamLinkRatio };
}

TransferLimits internalTransferLimitsFor(size_t memoryBytes) noexcept
{
    return { memoryBytes / messageMemoryDivisor, memoryBytes / totalMemoryDivisor, 0, memoryBytes / heldMemoryDivisor,
        0 };
}

TransferBudget::Reservation::Reservation(TransferBudget& budget) noexcept
    : usage(budget.usage)
{
}

TransferBudget::Reservation::~Reservation()
{
    this->usage->reservedBytes -= this->reservedBytes;
    this->usage->heldBytes -= this->heldBytes;
}

bool TransferBudget::Reservation::canResize(size_t bytes) const noexcept
{
    const TransferLimits& limits = this->usage->limits;
    const size_t needed = bytes > unreservedBytes ? bytes - unreservedBytes : 0;
    const size_t others = this->usage->reservedBytes - this->reservedBytes;
    const size_t othersHeld = this->usage->heldBytes - this->heldBytes;
    const bool isWithinLimits = bytes <= std::max(limits.messageBytes, unreservedBytes)
        && (needed == 0 || others + needed <= limits.totalBytes) && othersHeld + bytes <= limits.heldBytes;
    return isWithinLimits || bytes <= this->heldBytes;
}

bool TransferBudget::Reservation::resize(size_t bytes) noexcept
{
    if (!this->canResize(bytes)) {
        ++this->usage->refusedMessages;
        return false;
    }
    const size_t needed = bytes > unreservedBytes ? bytes - unreservedBytes : 0;
    const size_t others = this->usage->reservedBytes - this->reservedBytes;
    const size_t othersHeld = this->usage->heldBytes - this->heldBytes;
    this->usage->reservedBytes = others + needed;
    this->reservedBytes = needed;
    this->usage->heldBytes = othersHeld + bytes;
    this->heldBytes = bytes;
    return true;
}

Milliseconds TransferBudget::Reservation::delayAfterReading(size_t bytes, SteadyTime now) noexcept
{
    const size_t before = std::max(this->readBytes, unreservedBytes);
    this->readBytes += bytes;
    const double rate = this->usage->limits.bytesPerSecond;
    if (rate <= 0 || this->readBytes <= before)
        return Milliseconds(0);
    const std::chrono::duration<double> duration(static_cast<double>(this->readBytes - before) / rate);
    SteadyTime& pacedUntil = this->usage->pacedUntil;
    pacedUntil = std::max(pacedUntil, now) + std::chrono::duration_cast<SteadyTime::duration>(duration);
    const auto delay = std::chrono::duration_cast<Milliseconds>(pacedUntil - now) - permittedAdvance;
    return std::max(delay, Milliseconds(0));
}

SteadyTime TransferBudget::reserveStreamTurn(size_t bytes, SteadyTime now) noexcept
{
    const double rate = this->usage->limits.streamBytesPerSecond;
    if (rate <= 0)
        return now;
    const std::chrono::duration<double> duration(static_cast<double>(bytes) / rate);
    SteadyTime& pacedUntil = this->usage->streamPacedUntil;
    const SteadyTime turnAt = std::max(pacedUntil, now - permittedStreamAdvance);
    pacedUntil = turnAt + std::chrono::duration_cast<SteadyTime::duration>(duration);
    return turnAt;
}

}
