#pragma once

#include <wagtailrack/base/Endpoint.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

namespace wagtailrack::connection {

// Server that answers the first request on its only connection with given bytes, and closes the connection.
class RawServer {
public:
    explicit RawServer(std::string answer)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , bytes(std::move(answer))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        (void)::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size);
        (void)::listen(this->listener, 1);
        (void)::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->answerOnce(); });
    }
    ~RawServer()
    {
        this->thread.join();
        ::close(this->listener);
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", this->port }; }

private:
    void answerOnce() const
    {
        const int connection = ::accept(this->listener, nullptr, nullptr);
        std::string request;
        std::array<char, 1024> part {};
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t size = ::recv(connection, part.data(), part.size(), 0);
            if (size <= 0)
                break;
            request.append(part.data(), static_cast<size_t>(size));
        }
        size_t sent = 0;
        while (sent < this->bytes.size()) {
            const ssize_t size = ::send(connection, this->bytes.data() + sent, this->bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break;
            sent += static_cast<size_t>(size);
        }
        ::close(connection);
    }

    int listener;
    std::string bytes;
    uint16_t port = 0;
    std::thread thread;
};

}
