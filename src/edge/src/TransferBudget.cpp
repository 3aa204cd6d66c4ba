#include <wagtailrack/edge/TransferBudget.h>

#include <algorithm>

namespace wagtailrack::edge {

namespace {

// Fractions of an instance's memory for one message body and for all of them. The smallest instances have 160 MB, so
// that a message of the store, at most 1.4 MB, always fits.
constexpr size_t messageMemoryDivisor = 32;
constexpr size_t totalMemoryDivisor = 8;
// Fraction of the link for large messages; the rest is left to ordinary ones.
constexpr double largeMessageLinkRatio = 0.25;
// How far the bytes that were read may be ahead of the permitted rate before reading is delayed.
constexpr Milliseconds permittedAdvance(50);

}

TransferLimits transferLimitsFor(size_t memoryBytes, double linkBitsPerSecond) noexcept
{
    return { memoryBytes / messageMemoryDivisor, memoryBytes / totalMemoryDivisor,
        linkBitsPerSecond / 8 * largeMessageLinkRatio };
}

TransferLimits internalTransferLimitsFor(size_t memoryBytes) noexcept
{
    return { memoryBytes / messageMemoryDivisor, memoryBytes / totalMemoryDivisor, 0 };
}

TransferBudget::Reservation::Reservation(TransferBudget& budget) noexcept
    : budget(budget)
{
}

TransferBudget::Reservation::~Reservation() { this->budget.totalReserved -= this->reservedBytes; }

bool TransferBudget::Reservation::resize(size_t bytes) noexcept
{
    const size_t needed = bytes > unreservedBytes ? bytes - unreservedBytes : 0;
    const size_t others = this->budget.totalReserved - this->reservedBytes;
    const bool isWithinLimits = bytes <= std::max(this->budget.transferLimits.messageBytes, unreservedBytes)
        && (needed == 0 || others + needed <= this->budget.transferLimits.totalBytes);
    if (!isWithinLimits) {
        ++this->budget.refusedMessages;
        return false;
    }
    this->budget.totalReserved = others + needed;
    this->reservedBytes = needed;
    return true;
}

Milliseconds TransferBudget::Reservation::delayAfterReading(size_t bytes, SteadyTime now) noexcept
{
    const size_t before = std::max(this->readBytes, unreservedBytes);
    this->readBytes += bytes;
    const double rate = this->budget.transferLimits.bytesPerSecond;
    if (rate <= 0 || this->readBytes <= before)
        return Milliseconds(0);
    const std::chrono::duration<double> duration(static_cast<double>(this->readBytes - before) / rate);
    SteadyTime& pacedUntil = this->budget.pacedUntil;
    pacedUntil = std::max(pacedUntil, now) + std::chrono::duration_cast<SteadyTime::duration>(duration);
    const auto delay = std::chrono::duration_cast<Milliseconds>(pacedUntil - now) - permittedAdvance;
    return std::max(delay, Milliseconds(0));
}

}
