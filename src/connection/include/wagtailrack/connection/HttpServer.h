#pragma once

#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <functional>
#include <memory>

namespace wagtailrack::connection {

// Limits of a listener. Requests beyond them get a 4xx answer and their connection is closed.
struct HttpServerLimits {
    int64_t maxConnections = 1024;
    int64_t maxBodyBytes = 1 << 20;
    // A connection without a request for this long is closed.
    int64_t idleMs = 30'000;
    // A request that has started must be complete within this time.
    int64_t requestReadMs = 5'000;
};

// An HTTP/1.1 listener with one thread for each connection. Lives for the process. The handler is called by many
// threads; it may block.
//
//     HttpServer server({}, [](const HttpRequest& request) { return HttpResponse::json(200, "{}"); });
//     if (auto started = server.start(endpoint); !started)
//         return started.error();
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    HttpServer(HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Binds and serves on threads of its own. Fails with AddressInvalid when the address cannot be bound.
    Status start(const Endpoint& endpoint);

    // Stops accepting, lets requests in flight finish, and returns when all connections are closed.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
