#include <wagtailrack/edge/Http.h>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <vector>

namespace wagtailrack::edge {

namespace {

// TCP keep-alive probes start after one second without traffic and are repeated every second.
constexpr int keepAliveIntervalSeconds = 1;
constexpr int maximumLostKeepAliveProbes = 2;
// Two pieces of a streamed response: one is sent while the next one has its turn.
constexpr int maximumUnsentBytes = 16'384;

}

Tcp::endpoint toTcpEndpoint(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.host), endpoint.port };
}

std::string headerValue(const http::fields& fields, const std::string& name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : std::string(found->value());
}

std::string cookieValue(const http::fields& fields, const std::string& name)
{
    const auto range = fields.equal_range(http::field::cookie);
    for (auto field = range.first; field != range.second; ++field) {
        std::string_view text(field->value().data(), field->value().size());
        while (!text.empty()) {
            const size_t end = std::min(text.find(';'), text.size());
            std::string_view cookie = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            cookie.remove_prefix(std::min(cookie.find_first_not_of(' '), cookie.size()));
            if (cookie.size() > name.size() && cookie.substr(0, name.size()) == name && cookie[name.size()] == '=')
                return std::string(cookie.substr(name.size() + 1));
        }
    }
    return {};
}

void removeHopByHopHeaders(http::fields& fields)
{
    std::vector<std::string> names;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        names.emplace_back(token);
    for (const std::string& name : names)
        fields.erase(name);
    for (const http::field field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection,
             http::field::te, http::field::trailer, http::field::transfer_encoding, http::field::upgrade })
        fields.erase(field);
}

HttpResponse makeResponse(http::status status, std::string body, double retryAfterSeconds)
{
    HttpResponse response(status, 11);
    if (retryAfterSeconds >= 0) {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", retryAfterSeconds);
        response.set(http::field::retry_after, text);
    }
    response.body() = std::move(body);
    return response;
}

bool isStale(Tcp::socket& socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool isClosedByPeer(Tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    const bool isKnown = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // After a reset or a time-out, the state is TCP_CLOSE.
    return isKnown && info.tcpi_state == TCP_CLOSE_WAIT;
}

void setTcpOptions(Tcp::socket& socket, int userTimeoutMs)
{
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int option, int value) {
        // An option that the system does not support is skipped; request deadlines still bound the connection.
        (void)::setsockopt(handle, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, maximumLostKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

void limitUnsentBytes(Tcp::socket& socket)
{
    // Where the system does not support it, the buffer of the socket is larger.
    (void)::setsockopt(
        socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maximumUnsentBytes, sizeof maximumUnsentBytes);
}

}
