#include "FaultProxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>

namespace wagtailrack::testbed {

namespace {

// Longest time until a changed fault is noticed by an idle connection.
constexpr int pollMs = 20;
constexpr size_t chunkBytes = 16'384;
// Data in transit for each direction of a connection; the sender is held back beyond it.
constexpr size_t maxTransitBytes = 1 << 20;

sockaddr_in addressOf(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

// Makes the next close() send a reset.
void setResetOnClose(int socket)
{
    const linger abortive { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}

struct FaultProxy::Connection {
    // Indexed by Direction: the socket that the direction reads from.
    int sockets[2] = { -1, -1 };
    std::string clientHost;
    SteadyTime opened;
    std::atomic<bool> isSilent { false };
    std::atomic<bool> isReset { false };
    std::atomic<int> runningPumps { 2 };
    std::thread pumps[2];
};

namespace {

struct Transit {
    SteadyTime due;
    // Empty for the end of the stream.
    std::string data;
};

}

FaultProxy::FaultProxy(Endpoint listen, Endpoint server)
    : listenEndpoint(std::move(listen))
    , target(std::move(server))
{
    this->openListener();
    this->acceptThread = std::thread([this] { this->acceptLoop(); });
}

FaultProxy::~FaultProxy()
{
    this->isStopping = true;
    this->acceptThread.join();
    this->resetConnections();
    while (!this->connections.empty()) {
        this->collectEnded();
        std::this_thread::sleep_for(Milliseconds(1));
    }
    this->closeListener();
}

void FaultProxy::openListener()
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(this->listenEndpoint);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(this->listener, 256) != 0) {
        std::fprintf(stderr, "proxy: cannot listen on %s\n", this->listenEndpoint.toString().c_str());
        std::abort();
    }
}

void FaultProxy::closeListener()
{
    // The accept thread may be polling the socket, which keeps it open; shutdown() ends listening at once.
    if (this->listener >= 0) {
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
    }
    this->listener = -1;
}

void FaultProxy::setFaults(const ProxyFaults& faults)
{
    const std::lock_guard lock(this->mutex);
    this->current = faults;
    if (faults.isCut) {
        // Closed here and not by the accept thread, so that a connection attempt after this call is refused.
        this->closeListener();
        for (const auto& connection : this->connections)
            connection->isReset = true;
    } else if (this->listener < 0) {
        this->openListener();
    }
}

void FaultProxy::setFaultsFrom(const std::string& clientHost, const ProxyFaults& faults)
{
    const std::lock_guard lock(this->mutex);
    this->faultsByClient[clientHost] = faults;
    for (const auto& connection : this->connections) {
        if (faults.isCut && connection->clientHost == clientHost)
            connection->isReset = true;
    }
}

void FaultProxy::heal()
{
    {
        const std::lock_guard lock(this->mutex);
        this->faultsByClient.clear();
    }
    this->setFaults({});
}

const ProxyFaults& FaultProxy::faultsFor(const Connection& connection) const
{
    const auto found = this->faultsByClient.find(connection.clientHost);
    return found == this->faultsByClient.end() ? this->current : found->second;
}

ProxyFaults FaultProxy::copyOfFaultsFor(const Connection& connection) const
{
    const std::lock_guard lock(this->mutex);
    return this->faultsFor(connection);
}

ProxyFaults FaultProxy::faults() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void FaultProxy::resetConnections()
{
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->isReset = true;
}

void FaultProxy::silenceConnections()
{
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections)
        connection->isSilent = true;
}

void FaultProxy::loseReplies(int64_t count)
{
    const std::lock_guard lock(this->mutex);
    this->repliesToLose = count;
}

bool FaultProxy::takeLostReply()
{
    const std::lock_guard lock(this->mutex);
    return this->repliesToLose > 0 && this->repliesToLose-- > 0;
}

void FaultProxy::acceptLoop()
{
    while (!this->isStopping) {
        this->collectEnded();
        int accepted = -1;
        auto connection = std::make_shared<Connection>();
        sockaddr_in client {};
        socklen_t clientLength = sizeof client;
        bool isRefused = false;
        pollfd waiting { -1, POLLIN, 0 };
        {
            const std::lock_guard lock(this->mutex);
            waiting.fd = this->listener;
        }
        ::poll(&waiting, 1, pollMs);
        {
            // The listener does not block and may have been closed meanwhile.
            const std::lock_guard lock(this->mutex);
            if (this->listener >= 0)
                accepted = ::accept4(this->listener, reinterpret_cast<sockaddr*>(&client), &clientLength, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            connection->opened = std::chrono::steady_clock::now();
            char text[INET_ADDRSTRLEN] = {};
            inet_ntop(AF_INET, &client.sin_addr, text, sizeof text);
            connection->clientHost = text;
            connection->isSilent = this->faultsFor(*connection).isBlackHole;
            isRefused = this->faultsFor(*connection).isCut;
        }
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        client.sin_port = 0;
        const int on = 1;
        setsockopt(server, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        const sockaddr_in address = addressOf(this->target);
        if (isRefused || ::bind(server, reinterpret_cast<const sockaddr*>(&client), sizeof client) != 0
            || ::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            setResetOnClose(accepted);
            ::close(accepted);
            ::close(server);
            continue;
        }
        setNoDelay(accepted);
        setNoDelay(server);
        connection->sockets[0] = accepted;
        connection->sockets[1] = server;
        for (const Direction direction : { Direction::ToServer, Direction::ToClient }) {
            connection->pumps[static_cast<int>(direction)] = std::thread([this, connection, direction] {
                this->pump(*connection, direction);
                connection->runningPumps -= 1;
            });
        }
        const std::lock_guard lock(this->mutex);
        this->connections.push_back(std::move(connection));
    }
}

void FaultProxy::collectEnded()
{
    std::list<std::shared_ptr<Connection>> ended;
    {
        const std::lock_guard lock(this->mutex);
        for (auto position = this->connections.begin(); position != this->connections.end();) {
            const auto next = std::next(position);
            if ((*position)->runningPumps == 0)
                ended.splice(ended.end(), this->connections, position);
            position = next;
        }
    }
    for (const auto& connection : ended) {
        for (std::thread& pump : connection->pumps)
            pump.join();
        for (const int socket : connection->sockets) {
            if (connection->isReset)
                setResetOnClose(socket);
            ::close(socket);
        }
    }
}

SteadyTime FaultProxy::deliveryTime(const Connection& connection, Direction direction, size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    const bool isToServer = direction == Direction::ToServer;
    const ProxyFaults& all = this->faultsFor(connection);
    const DirectionFaults& faults = isToServer ? all.toServer : all.toClient;
    SteadyTime departure = std::chrono::steady_clock::now();
    // The kernel completes the handshake with the proxy at once; over the real path it takes a round trip.
    if (isToServer) {
        const Milliseconds roundTrip(all.toServer.delayMs + all.toClient.delayMs);
        departure = std::max(departure, connection.opened + roundTrip);
    }
    if (faults.bytesPerSecond > 0) {
        SteadyTime& freeAt = this->linkFreeAt[static_cast<int>(direction)];
        constexpr int64_t microsecondsPerSecond = 1'000'000;
        freeAt = std::max(freeAt, departure)
            + std::chrono::microseconds(static_cast<int64_t>(bytes) * microsecondsPerSecond / faults.bytesPerSecond);
        departure = freeAt;
    }
    return departure + Milliseconds(faults.delayMs);
}

void FaultProxy::pump(Connection& connection, Direction direction)
{
    const int source = connection.sockets[static_cast<int>(direction)];
    const int sink = connection.sockets[1 - static_cast<int>(direction)];
    std::deque<Transit> transit;
    size_t transitBytes = 0;
    int64_t delivered = 0;
    bool hasEnded = false;
    std::string buffer(chunkBytes, '\0');
    while (!connection.isReset) {
        const ProxyFaults faults = this->copyOfFaultsFor(connection);
        const DirectionFaults& own = direction == Direction::ToServer ? faults.toServer : faults.toClient;
        const bool isHeld = connection.isSilent || own.isCut;
        const SteadyTime now = std::chrono::steady_clock::now();
        if (!isHeld && !transit.empty() && transit.front().due <= now) {
            std::string data = std::move(transit.front().data);
            transit.pop_front();
            transitBytes -= data.size();
            const bool isTruncated
                = own.truncateAfterBytes >= 0 && delivered + static_cast<int64_t>(data.size()) > own.truncateAfterBytes;
            if (isTruncated)
                data.resize(static_cast<size_t>(std::max<int64_t>(0, own.truncateAfterBytes - delivered)));
            for (size_t sent = 0; sent < data.size() && !connection.isReset;) {
                const ssize_t written = ::send(sink, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
                if (written <= 0) {
                    connection.isReset = true;
                    break;
                }
                sent += static_cast<size_t>(written);
            }
            delivered += static_cast<int64_t>(data.size());
            if (isTruncated) {
                // An orderly end after part of the stream, as from a server that stops in the middle of an answer.
                ::shutdown(sink, SHUT_RDWR);
                ::shutdown(source, SHUT_RDWR);
                return;
            }
            if (data.empty()) {
                ::shutdown(sink, SHUT_WR);
                return;
            }
            continue;
        }
        int timeoutMs = pollMs;
        if (!isHeld && !transit.empty()) {
            const auto untilDue = std::chrono::duration_cast<Milliseconds>(transit.front().due - now).count() + 1;
            timeoutMs = static_cast<int>(std::min<int64_t>(pollMs, untilDue));
        }
        const bool canRead = !hasEnded && !isHeld && transitBytes < maxTransitBytes;
        pollfd waiting { source, static_cast<short>(canRead ? POLLIN : 0), 0 };
        const int ready = ::poll(&waiting, canRead ? 1 : 0, timeoutMs);
        if (ready != 1 || connection.isReset)
            continue;
        const ssize_t received = ::recv(source, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received > 0) {
            if (direction == Direction::ToClient && this->takeLostReply()) {
                connection.isReset = true;
                return;
            }
            const auto size = static_cast<size_t>(received);
            transit.push_back({ this->deliveryTime(connection, direction, size), buffer.substr(0, size) });
            transitBytes += size;
        } else if (received == 0) {
            hasEnded = true;
            transit.push_back({ this->deliveryTime(connection, direction, 0), {} });
        } else if (errno != EAGAIN) {
            connection.isReset = true;
        }
    }
}

}
