#pragma once

#include <wagtailrack/edge/Http.h>
#include <wagtailrack/edge/TransferBudget.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace wagtailrack::edge {

// Bytes of a connection that have been received and not been parsed yet. Their number is limited, and their memory
// counts towards a TransferBudget: a parser consumes a header, a chunk's size line or a trailer only when its end has
// arrived, which may be never. Owned by its connection; not thread-safe.
//
//     ReceiveBuffer buffer(budget);
//     while (!parser.is_done())
//         co_await buffer.readSome(socket, parser, failure);
class ReceiveBuffer {
public:
    // Default limit of the unparsed bytes. More than the headers, size lines and trailers of the deployments, which
    // have at most 16 kB.
    static constexpr size_t defaultMaximumBytes = 65'536;

    explicit ReceiveBuffer(TransferBudget& budget);

    // Replaces the limit of the unparsed bytes. Bytes beyond a lower limit stay.
    void setMaximumBytes(size_t maximum) noexcept { this->bytes.max_size(maximum); }
    size_t size() const noexcept { return this->bytes.size(); }
    // Frees the memory of an empty buffer unless it is small.
    void releaseIfEmpty() noexcept;
    // Drops the unparsed bytes and frees the memory.
    void clear() noexcept;

    // Parses what has been received, and reads from `socket` until the parser has made progress. Returns the number of
    // bytes parsed. Sets `failure` to an error of the connection or of the message; to http::error::header_limit when
    // the limit of the unparsed bytes is reached, and to http::error::buffer_overflow when the budget is used up.
    template <bool isRequest>
    asio::awaitable<size_t> readSome(
        Tcp::socket& socket, http::parser<isRequest, http::string_body>& parser, boost::system::error_code& failure);

private:
    // Makes room for the next read. Returns its size; 0 with `failure` set if there is no room.
    size_t reserve(boost::system::error_code& failure);

    boost::beast::flat_buffer bytes;
    TransferBudget::Reservation memory;
};

template <bool isRequest>
asio::awaitable<size_t> ReceiveBuffer::readSome(
    Tcp::socket& socket, http::parser<isRequest, http::string_body>& parser, boost::system::error_code& failure)
{
    while (true) {
        if (this->bytes.size() > 0) {
            const size_t parsed = parser.put(this->bytes.data(), failure);
            this->bytes.consume(parsed);
            if (failure != http::error::need_more)
                co_return parsed;
        }
        failure = {};
        const size_t room = this->reserve(failure);
        if (failure)
            co_return 0;
        const size_t received = co_await socket.async_read_some(
            this->bytes.prepare(room), asio::redirect_error(asio::use_awaitable, failure));
        this->bytes.commit(received);
        if (failure == asio::error::eof) {
            failure = http::error::end_of_stream;
            // The end of the connection may be the end of the message.
            if (parser.got_some())
                parser.put_eof(failure);
            co_return 0;
        }
        if (failure)
            co_return 0;
    }
}

}
