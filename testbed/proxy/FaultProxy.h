#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace wagtailrack::testbed {

enum class Direction {
    ToServer,
    ToClient,
};

// What one direction of all connections suffers.
struct DirectionFaults {
    // One-way latency.
    int64_t delayMs = 0;
    // Shared by all connections of the proxy; 0 means unlimited.
    int64_t bytesPerSecond = 0;
    // Holds the data back; it flows on when the fault ends, as TCP retransmits after a partition.
    bool isCut = false;
    // Closes each connection after this many bytes; negative means never.
    int64_t truncateAfterBytes = -1;

    friend bool operator==(const DirectionFaults&, const DirectionFaults&) = default;
};

struct ProxyFaults {
    DirectionFaults toServer = {};
    DirectionFaults toClient = {};
    // Refuses new connections and resets the open ones.
    bool isCut = false;
    // New connections are accepted and stay silent.
    bool isBlackHole = false;

    friend bool operator==(const ProxyFaults&, const ProxyFaults&) = default;
};

// A TCP proxy in front of one process that injects faults; they can change at any time. Two threads for each
// connection. The connection to the process is opened from the client's own address, so that the process sees that.
// Lives as long as the test or the `proxy` subcommand that owns it; may be called by any thread.
//
//     FaultProxy proxy(freeEndpoint(), server);
//     proxy.setFaults({ .toServer = { .delayMs = 55 }, .toClient = { .delayMs = 55 } });
class FaultProxy {
public:
    // Aborts the program when `listen` cannot be bound.
    FaultProxy(Endpoint listen, Endpoint target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFaults(const ProxyFaults& faults);
    ProxyFaults faults() const;
    // Faults for connections from one address, in place of the general ones. A cut resets them; it cannot refuse them.
    void setFaultsFrom(const std::string& clientHost, const ProxyFaults& faults);
    // Ends all faults, the general ones and those of single addresses.
    void heal();

    // Resets all open connections once.
    void resetConnections();
    // Makes all open connections silent for ever; new ones work.
    void silenceConnections();
    // Delivers the request but drops the answer, and resets the connection, for the next `count` answers.
    void loseReplies(int64_t count);

    const Endpoint& endpoint() const noexcept { return this->listenEndpoint; }

private:
    struct Connection;

    void openListener();
    void closeListener();
    void acceptLoop();
    const ProxyFaults& faultsFor(const Connection& connection) const;
    ProxyFaults copyOfFaultsFor(const Connection& connection) const;
    void pump(Connection& connection, Direction direction);
    void collectEnded();
    // When bytes read now are delivered, given the latency and what the direction's bandwidth has in transit.
    SteadyTime deliveryTime(const Connection& connection, Direction direction, size_t bytes);
    bool takeLostReply();

    const Endpoint listenEndpoint;
    const Endpoint target;
    mutable std::mutex mutex;
    ProxyFaults current;
    std::map<std::string, ProxyFaults> faultsByClient;
    SteadyTime linkFreeAt[2];
    int64_t repliesToLose = 0;
    std::list<std::shared_ptr<Connection>> connections;
    int listener = -1;
    std::atomic<bool> isStopping { false };
    std::thread acceptThread;
};

}
