#include <wagtailrack/edge/ReceiveBuffer.h>

namespace wagtailrack::edge {

namespace {

// Smallest read. Most messages fit into it.
constexpr size_t minimumReadBytes = 4096;
// Memory that an empty buffer keeps for the next message.
constexpr size_t retainedBytes = 4096;

}

ReceiveBuffer::ReceiveBuffer(TransferBudget& budget)
    : bytes(defaultMaximumBytes)
    , memory(budget)
{
}

void ReceiveBuffer::releaseIfEmpty() noexcept
{
    if (this->bytes.size() > 0 || this->bytes.capacity() <= retainedBytes)
        return;
    this->bytes.shrink_to_fit();
    this->memory.resize(this->bytes.capacity());
}

void ReceiveBuffer::clear() noexcept
{
    this->bytes.clear();
    this->bytes.shrink_to_fit();
    this->memory.resize(this->bytes.capacity());
}

size_t ReceiveBuffer::reserve(boost::system::error_code& failure)
{
    const size_t size = this->bytes.size();
    const size_t maximum = this->bytes.max_size();
    if (size >= maximum) {
        failure = http::error::header_limit;
        return 0;
    }
    const size_t unused = this->bytes.capacity() - size;
    const size_t room = std::min(std::max(minimumReadBytes, unused), maximum - size);
    // flat_buffer grows to at least twice its content.
    const size_t neededBytes
        = room <= unused ? this->bytes.capacity() : std::min(std::max(2 * size, size + room), maximum);
    if (!this->memory.resize(neededBytes)) {
        failure = http::error::buffer_overflow;
        return 0;
    }
    return room;
}

}
