#pragma once

// With Boost 1.74 and g++ 12, <utility> must be included before asio.hpp for coroutine support.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

namespace wagtailrack::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
// The deadlines of all timers are points of BootTimeClock.
using Timer = asio::basic_waitable_timer<BootTimeClock>;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Names of the HTTP headers and of the cookie that a deployment uses.
struct EdgeHeaderNames {
    // Identifies a request; servers repeat it in their responses.
    std::string requestId;
    // Remaining time in milliseconds that the caller waits for the response.
    std::string deadlineMs;
    // Cookie with the key of the object that a request accesses.
    std::string affinityCookie;
    // Set by a server to prove that it produced the response and that the response is complete.
    std::string responseSeal;
    // Id of the only server that may execute the request.
    std::string expectedServerId;
    // "running,waiting,slots" of the server: requests that are executed, requests in the queue, and capacity. May be
    // followed by the processing time on the server's machine at this moment in percent of the usual one, and by
    // further figures.
    std::string serverLoad;
    // Set by a server that did not execute the request.
    std::string notExecuted;
    // Name of the workspace for which a request is executed. Set by the instance; the value of a caller is dropped.
    std::string workspace;
    // "1" in the responses of a server that is leaving.
    std::string serverLeaving;
};

Tcp::endpoint toTcpEndpoint(const Endpoint& endpoint);

// Returns the value of a header, empty if the header is missing.
std::string headerValue(const http::fields& fields, const std::string& name);

// Returns the value of a cookie, empty if the cookie is missing.
std::string cookieValue(const http::fields& fields, const std::string& name);

// Removes the headers that apply to a single connection only, including those listed in the Connection header.
void removeHopByHopHeaders(http::fields& fields);

// Creates a response that this instance produces itself. A negative `retryAfterSeconds` omits Retry-After.
HttpResponse makeResponse(http::status status, std::string body, double retryAfterSeconds = -1);

// Returns whether the peer has closed an idle connection or sent data on it, or whether the connection has failed.
bool isStale(Tcp::socket& socket);

// Returns whether the peer has closed its side of the connection, and the connection has not failed since. A read
// reports the end of the stream also after a failure if another operation on the socket has received the error.
bool isClosedByPeer(Tcp::socket& socket);

// Sets TCP_NODELAY and the options that detect an unresponsive peer: the connection fails when data or keep-alive
// probes stay unacknowledged for about `userTimeoutMs`.
void setTcpOptions(Tcp::socket& socket, int userTimeoutMs);

// Bounds the bytes that a socket holds and has not sent yet, for large responses to slow callers. The default is
// several megabytes.
void limitUnsentBytes(Tcp::socket& socket);

}
