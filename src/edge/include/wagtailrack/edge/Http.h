#pragma once

// Boost 1.74 with g++ 12 needs <utility> before asio.hpp for coroutines.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

namespace wagtailrack::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Names of the headers and the cookie that a deployment uses.
struct EdgeHeaderNames {
    std::string requestId;
    // Milliseconds that the caller still waits.
    std::string deadlineMs;
    // Cookie with the object that a request concerns.
    std::string affinityCookie;
    // Proof of the server that an answer is its own and whole.
    std::string responseSeal;
    // Id of the only server that may run the request.
    std::string expectedServerId;
    // "running,waiting,slots" of the server.
    std::string serverLoad;
    // Set by a server that did not run the request.
    std::string notExecuted;
};

Tcp::endpoint toTcpEndpoint(const Endpoint& endpoint);

// Text of a header, empty when it is missing.
std::string headerValue(const http::fields& fields, const std::string& name);

// Value of a cookie, empty when it is missing.
std::string cookieValue(const http::fields& fields, const std::string& name);

// Removes the headers that concern only one connection, those named by Connection included.
void removeHopByHopHeaders(http::fields& fields);

// An answer of this instance itself. `retryAfterSeconds` below zero leaves Retry-After out.
HttpResponse makeResponse(http::status status, std::string body, double retryAfterSeconds = -1);

// Whether the peer has closed or sent something on a connection that should be idle.
bool isStale(Tcp::socket& socket);

// TCP settings that make a silent peer visible: unacknowledged data or probes end the connection after about
// `silenceMs`.
void setTcpOptions(Tcp::socket& socket, int silenceMs);

}
