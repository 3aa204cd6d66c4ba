#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <strings.h>

namespace wagtailrack::connection {

struct CaseInsensitiveLess {
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const noexcept
    {
        const int order = strncasecmp(left.data(), right.data(), std::min(left.size(), right.size()));
        return order != 0 ? order < 0 : left.size() < right.size();
    }
};

// Header fields by name; names compare without case. A repeated field keeps its last value.
using HeaderMap = std::map<std::string, std::string, CaseInsensitiveLess>;

// Value of a header, or an empty string.
inline std::string headerValue(const HeaderMap& headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct HttpRequest {
    std::string method = "GET";
    // Path without the query.
    std::string path = "/";
    // Path and query as received; sent as it is.
    std::string target = "/";
    std::map<std::string, std::string> query;
    HeaderMap headers;
    std::string body;
    // IPv4 address of the peer; empty on requests that this process sends.
    std::string remoteHost;
    // Socket of the caller's connection, so that a watcher can see the caller go away; -1 without one.
    int socket = -1;
};

struct HttpResponse {
    int status = 200;
    HeaderMap headers;
    std::string body;

    static HttpResponse json(int status, std::string text)
    {
        return HttpResponse { status, { { "Content-Type", "application/json" } }, std::move(text) };
    }
};

}
