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

// Keep-alive probes start after one second of silence and are repeated each second.
constexpr int probeSeconds = 1;
constexpr int lostProbes = 2;

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
            std::string_view part = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
            if (part.size() > name.size() && part.substr(0, name.size()) == name && part[name.size()] == '=')
                return std::string(part.substr(name.size() + 1));
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
    HttpResponse answer(status, 11);
    if (retryAfterSeconds >= 0) {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", retryAfterSeconds);
        answer.set(http::field::retry_after, text);
    }
    answer.body() = std::move(body);
    return answer;
}

bool isStale(Tcp::socket& socket)
{
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void setTcpOptions(Tcp::socket& socket, int silenceMs)
{
    const int handle = socket.native_handle();
    const auto set = [handle](int level, int option, int value) {
        // Options that the system does not know leave the connection as it is; deadlines still end it.
        (void)::setsockopt(handle, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, lostProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, silenceMs);
}

}
