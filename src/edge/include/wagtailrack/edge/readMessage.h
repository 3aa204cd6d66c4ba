#pragma once

#include <wagtailrack/edge/ReceiveBuffer.h>

#include <functional>
#include <limits>

namespace wagtailrack::edge {

inline constexpr size_t noBodyBound = std::numeric_limits<size_t>::max();

// Reads the header of a message into `parser` and returns its size in bytes. Sets `failure` as
// ReceiveBuffer::readSome() does.
template <bool isRequest>
asio::awaitable<size_t> readHeader(Tcp::socket& socket, ReceiveBuffer& buffer,
    http::parser<isRequest, http::string_body>& parser, boost::system::error_code& failure)
{
    size_t size = 0;
    while (!failure && !parser.is_header_done())
        size += co_await buffer.readSome(socket, parser, failure);
    co_return size;
}

// Reads the rest of a message whose header has been read into `parser`. Its body counts towards the budget of `memory`
// and is read at the rate that the budget permits, with pauses until `deadline` at the latest. `onProgress`, if not
// null, is called with the number of bytes of each part. Sets `failure` as ReceiveBuffer::readSome() does; it is
// http::error::buffer_overflow when the budget refuses the body. Returns early when more than `bodyBound` bytes of an
// unfinished body have arrived; such a first part is not paced.
template <bool isRequest>
asio::awaitable<void> readBody(Tcp::socket& socket, ReceiveBuffer& buffer,
    http::parser<isRequest, http::string_body>& parser, TransferBudget::Reservation& memory, SteadyTime deadline,
    boost::system::error_code& failure, const std::function<void(size_t)>* onProgress = nullptr,
    size_t bodyBound = noBodyBound)
{
    parser.eager(true);
    while (!parser.is_done() && parser.get().body().size() <= bodyBound) {
        const size_t size = co_await buffer.readSome(socket, parser, failure);
        if (failure || parser.is_done())
            co_return;
        if (!memory.resize(parser.get().body().size())) {
            failure = http::error::buffer_overflow;
            co_return;
        }
        if (onProgress)
            (*onProgress)(size);
        if (bodyBound != noBodyBound)
            continue;
        const SteadyTime now = BootTimeClock::now();
        const Milliseconds delay = memory.delayAfterReading(size, now);
        if (delay <= Milliseconds(0))
            continue;
        Timer pause(socket.get_executor(), std::min(now + delay, deadline));
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

}
