#pragma once

#include <wagtailrack/connection/HttpConnection.h>

#include <map>
#include <mutex>
#include <vector>

namespace wagtailrack::connection {

enum class ConnectionUse {
    // An idle connection when there is one.
    ReuseIdle,
    // Always a new one: a request on a connection that its server closes at that moment may or may not run.
    OpenNew,
};

// Connections to backend servers and to other instances, kept between requests. Lives for the process; may be called
// by any thread.
//
//     auto connection = connections.take(server, ConnectionUse::ReuseIdle);
//     auto result = connections.exchange(connection, request, limits);
//     if (result.response)
//         connections.giveBack(connection, idleMs);
class BackendConnections {
public:
    static constexpr size_t maxIdlePerAddress = 64;

    using Pointer = std::shared_ptr<HttpConnection>;

    explicit BackendConnections(const Clock& clock);

    // A connection for one exchange; its holder may cancel it from any thread.
    Pointer take(const Endpoint& endpoint, ConnectionUse use);

    // Runs one exchange. An answer without the id of the request or with another one is AnswerMismatched, and the
    // connection is closed. When the connection stays silent, the idle connections to its address are closed, since
    // they are likely to be stuck in the same way.
    ExchangeResult exchange(const Pointer& connection, const HttpRequest& request, const ExchangeLimits& limits);

    // Keeps a connection for `idleMs` if it is still open. From then on nobody else may cancel it.
    void giveBack(const Pointer& connection, int64_t idleMs);

    void closeIdle(const Endpoint& endpoint);
    size_t idleCount(const Endpoint& endpoint) const;

private:
    struct Idle {
        Pointer connection;
        SteadyTime usableUntil;
    };

    const Clock& clock;
    mutable std::mutex mutex;
    // The most recently used connection is last.
    std::map<Endpoint, std::vector<Idle>> idle;
};

}
