#include "ServerMessages.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace wagtailrack::connection {

namespace {

constexpr size_t maxPathLength = 2048;
// Time and bytes that are spent on reading what a peer still sends when its connection is closed.
constexpr Milliseconds lingerTime { 300 };
constexpr size_t lingerBytes = 4 << 20;

constexpr std::array<const char*, 5> hiddenHeaders { "Content-Type", "Content-Encoding", "Accept-Encoding", "Range",
    "Expect" };

bool isDecimal(const std::string& text) noexcept
{
    return !text.empty() && text.size() <= 18 && text.find_first_not_of("0123456789") == std::string::npos;
}

bool readsBody(const std::string& method) noexcept
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

}

ServerConnectionState& connectionState() noexcept
{
    thread_local ServerConnectionState state;
    return state;
}

void hideHeaders(httplib::Request& request)
{
    HeaderMap& received = connectionState().headers;
    received.clear();
    for (const auto& header : request.headers)
        received[header.first] = header.second;
    for (const char* name : hiddenHeaders)
        request.headers.erase(name);
    request.ranges.clear();
    // Without a length, httplib reads a body until the connection ends; HTTP/1.1 says that there is none.
    if (!request.has_header("Content-Length") && !request.has_header("Transfer-Encoding"))
        request.set_header("Content-Length", "0");
}

int statusOfInvalidFraming(const httplib::Request& request, int64_t maxBodyBytes)
{
    if (request.path.size() > maxPathLength)
        return 414;
    const size_t lengths = request.get_header_value_count("Content-Length");
    const bool hasEncoding = request.has_header("Transfer-Encoding");
    if (lengths > 1 || (lengths == 1 && hasEncoding))
        return 400;
    if (hasEncoding && strcasecmp(request.get_header_value("Transfer-Encoding").c_str(), "chunked") != 0)
        return 400;
    const std::string length = request.get_header_value("Content-Length");
    if (lengths == 1 && !isDecimal(length))
        return 400;
    if (lengths == 1 && std::strtoll(length.c_str(), nullptr, 10) > maxBodyBytes)
        return 413;
    if (!readsBody(request.method) && (hasEncoding || length.find_first_not_of('0') != std::string::npos))
        return 400;
    return 0;
}

HttpRequest fromHttplib(const httplib::Request& source)
{
    HttpRequest request;
    request.method = source.method;
    request.path = source.path;
    request.target = source.target;
    for (const auto& parameter : source.params)
        request.query[parameter.first] = parameter.second;
    request.headers = std::move(connectionState().headers);
    request.body = source.body;
    request.remoteHost = source.remote_addr;
    request.socket = connectionState().stream->descriptorNumber();
    return request;
}

void toHttplib(const HttpResponse& source, httplib::Response& response)
{
    response.status = source.status;
    for (const auto& header : source.headers) {
        if (strcasecmp(header.first.c_str(), "Content-Length") != 0
            && strcasecmp(header.first.c_str(), "Content-Type") != 0)
            response.set_header(header.first, header.second);
    }
    const std::string type = headerValue(source.headers, "Content-Type");
    response.set_content(source.body, type.empty() ? "application/octet-stream" : type);
}

void closeGracefully(int socket)
{
    ::shutdown(socket, SHUT_WR);
    const SteadyTime deadline = std::chrono::steady_clock::now() + lingerTime;
    std::array<char, 16'384> discarded {};
    size_t total = 0;
    while (total < lingerBytes) {
        const auto left = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        pollfd entry { socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            break;
        const ssize_t size = ::recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (size <= 0)
            break;
        total += static_cast<size_t>(size);
    }
    ::close(socket);
}

}
