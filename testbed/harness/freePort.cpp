#include "freePort.h"

#include <wagtailrack/base/Random.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>

namespace wagtailrack::testbed {

namespace {

constexpr uint16_t firstPort = 12'000;
// Ports of one process. The test programs run side by side, and a program of one must not get a port that another has
// chosen but not opened yet.
constexpr uint16_t blockPorts = 2'000;
constexpr uint16_t blockCount = 10;

// Socket of the given type at a port of the loopback interface; -1 if the port is in use.
int bindPort(int type, uint16_t port)
{
    const int bound = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(bound, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return bound;
    ::close(bound);
    return -1;
}

// The first port of a block that no other process has: its datagram socket marks the block until this process ends.
uint16_t claimBlock()
{
    const auto offset = static_cast<uint16_t>(randomBelow(blockCount));
    for (uint16_t index = 0; index < blockCount; ++index) {
        const auto port = static_cast<uint16_t>(firstPort + (offset + index) % blockCount * blockPorts);
        if (bindPort(SOCK_DGRAM, port) >= 0)
            return port;
    }
    return static_cast<uint16_t>(firstPort + offset * blockPorts);
}

}

Endpoint freeEndpoint()
{
    static const uint16_t block = claimBlock();
    static std::set<uint16_t> given;
    if (given.size() == blockPorts - 1U)
        given.clear();
    while (true) {
        const auto port = static_cast<uint16_t>(block + 1 + randomBelow(blockPorts - 1U));
        if (given.contains(port))
            continue;
        const int probe = bindPort(SOCK_STREAM, port);
        if (probe < 0)
            continue;
        ::close(probe);
        given.insert(port);
        return Endpoint { "127.0.0.1", port };
    }
}

}
