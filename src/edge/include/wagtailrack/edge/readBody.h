#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/TransferBudget.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <functional>

namespace wagtailrack::edge {

// Reads the rest of a message whose header has been read into `parser`. Its body counts towards the budget of `memory`
// and is read at the rate that the budget permits, with pauses until `deadline` at the latest. `onProgress`, if not
// null, is called with the number of bytes of each part. Sets `failure` to the error of the connection or of the
// message; it is http::error::buffer_overflow when the budget refuses the body.
template <bool isRequest>
asio::awaitable<void> readBody(Tcp::socket& socket, boost::beast::flat_buffer& buffer,
    http::parser<isRequest, http::string_body>& parser, TransferBudget::Reservation& memory, SteadyTime deadline,
    boost::system::error_code& failure, const std::function<void(size_t)>* onProgress = nullptr)
{
    parser.eager(true);
    while (!parser.is_done()) {
        const size_t size = co_await http::async_read_some(
            socket, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        if (failure || parser.is_done())
            co_return;
        if (!memory.resize(parser.get().body().size())) {
            failure = http::error::buffer_overflow;
            co_return;
        }
        if (onProgress)
            (*onProgress)(size);
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
