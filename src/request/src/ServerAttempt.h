#pragma once

#include "RequestContext.h"

#include <thread>

namespace wagtailrack::request {

// One attempt of a request at a backend server and, when it is slow and may be repeated, one hedge at another server.
// Used by the session's thread.
class ServerAttempt {
public:
    // `use` is for the first exchange; hedges and repeated attempts open new connections.
    ServerAttempt(RequestServices& services, const RequestContext& context, connection::ConnectionUse use);
    ~ServerAttempt();
    ServerAttempt(const ServerAttempt&) = delete;
    ServerAttempt& operator=(const ServerAttempt&) = delete;

    // Runs it on the permit's server; blocks until there is an answer or the limits are reached.
    Ending run(process::ServerPermit permit);

    // Whether a server died while it ran the request.
    bool hasSeenDeath() const noexcept { return this->sawDeath; }

private:
    struct Side {
        connection::BackendConnections::Pointer connection;
        Ending ending;
    };
    // Which exchange got its answer first; the other one is cancelled.
    enum class Winner {
        None,
        First,
        Hedge,
    };

    Ending exchange(Side& side, Winner winner, process::ServerPermit& permit, const connection::ExchangeLimits& limits);
    bool win(Winner side);
    process::AttemptEnd attemptEndOf(const Ending& ending, Winner which, SteadyTime start) const;
    void startHedge(const Endpoint& firstServer);
    Ending combine();
    void noteAnswer(const Endpoint& server, const connection::HttpResponse& response);
    void noteDeath(const Endpoint& server, SteadyTime sentAt);
    bool isDeath(const connection::ExchangeResult& result, const Endpoint& server, bool wasReused) const;
    void recordEvent(const Endpoint& server, const Ending& ending, Winner side);

    RequestServices& services;
    const RequestContext& context;
    connection::ConnectionUse use;
    Side first;
    Side hedge;
    std::atomic<Winner> winner { Winner::None };
    std::atomic<bool> sawDeath { false };
    std::thread hedgeThread;
};

}
