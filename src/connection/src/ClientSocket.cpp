#include "ClientSocket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace wagtailrack::connection {

namespace {

// Data that stays unacknowledged for this long means that the peer or the path is gone.
constexpr unsigned tcpUserTimeoutMs = 5'000;
constexpr int keepAliveIdleSeconds = 5;

void setOptions(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
}

// True as well without an address.
bool bindTo(int socket, const std::string& localAddress)
{
    if (localAddress.empty())
        return true;
    // The port is chosen by connect(), so that one port can serve several destinations.
    const int on = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    return inet_pton(AF_INET, localAddress.c_str(), &address.sin_addr) == 1
        && ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

bool waitConnected(int socket, SteadyTime deadline)
{
    while (true) {
        const auto left = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { socket, POLLOUT, 0 };
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min<long long>(left, 60'000)));
        if (ready < 0 && errno == EINTR)
            continue;
        if (ready == 0)
            continue;
        int fault = 0;
        socklen_t size = sizeof fault;
        return ready > 0 && getsockopt(socket, SOL_SOCKET, SO_ERROR, &fault, &size) == 0 && fault == 0;
    }
}

}

bool CancellableSocket::begin(int socket)
{
    const std::lock_guard lock(this->mutex);
    if (this->cancelled)
        return false;
    this->descriptor = socket;
    return true;
}

void CancellableSocket::end() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->descriptor = -1;
}

void CancellableSocket::cancel() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    if (this->descriptor >= 0)
        ::shutdown(this->descriptor, SHUT_RDWR);
}

bool CancellableSocket::isCancelled() const noexcept { return this->cancelled; }

int connectSocket(
    const Endpoint& endpoint, const std::string& localAddress, SteadyTime deadline, CancellableSocket& cancellable)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1)
        return -1;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    setOptions(socket);
    bool isConnected = false;
    if (bindTo(socket, localAddress) && cancellable.begin(socket)) {
        isConnected = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0
            || (errno == EINPROGRESS && waitConnected(socket, deadline));
        cancellable.end();
    }
    if (isConnected && !cancellable.isCancelled())
        return socket;
    ::close(socket);
    return -1;
}

}
