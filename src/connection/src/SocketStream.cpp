#include "SocketStream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/select.h>
#include <sys/socket.h>

#include <utility>

namespace wagtailrack::connection {

SocketStream::SocketStream(int socketDescriptor)
    : descriptor(socketDescriptor)
{
}

void SocketStream::setDeadline(SteadyTime time) noexcept { this->deadline = time; }

void SocketStream::setFirstByteDeadline(SteadyTime time) noexcept { this->firstByteDeadline = time; }

void SocketStream::setReadLimit(int64_t bytes) noexcept { this->readLimit = bytes; }

void SocketStream::setLineLimits(int64_t firstLineBytes, int64_t otherLineBytes) noexcept
{
    this->firstLineLimit = firstLineBytes;
    this->otherLineLimit = otherLineBytes;
}

void SocketStream::setSlowAction(SteadyTime time, std::function<void()> action)
{
    this->slowAt = time;
    this->slowAction = std::move(action);
}

int64_t SocketStream::bytesRead() const noexcept { return this->readCount; }

int64_t SocketStream::bytesWritten() const noexcept { return this->writtenCount; }

bool SocketStream::waitFor(short events, SteadyTime until) const
{
    while (true) {
        const auto left = std::chrono::ceil<Milliseconds>(until - std::chrono::steady_clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { this->descriptor, events, 0 };
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min<long long>(left, 60'000)));
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
    }
}

bool SocketStream::waitForInput()
{
    const SteadyTime end = this->readCount == 0 ? std::min(this->deadline, this->firstByteDeadline) : this->deadline;
    if (this->readCount == 0 && this->slowAction && this->slowAt < end) {
        if (this->waitFor(POLLIN, this->slowAt))
            return true;
        std::exchange(this->slowAction, nullptr)();
    }
    return this->waitFor(POLLIN, end);
}

ssize_t SocketStream::countRead(const char* data, ssize_t size) noexcept
{
    this->readCount += std::max<ssize_t>(size, 0);
    if (size == 1 && *data == '\n') {
        constexpr int64_t emptyLineBytes = 1; // The carriage return.
        this->isFirstLine = this->lineBytes <= emptyLineBytes;
        this->lineBytes = 0;
    } else if (size == 1) {
        ++this->lineBytes;
    } else {
        this->lineBytes = 0;
    }
    return size;
}

bool SocketStream::isLineTooLong() const noexcept
{
    return this->lineBytes >= (this->isFirstLine ? this->firstLineLimit : this->otherLineLimit);
}

bool SocketStream::is_readable() const { return this->waitFor(POLLIN, this->deadline); }

bool SocketStream::is_writable() const { return this->waitFor(POLLOUT, this->deadline); }

ssize_t SocketStream::read(char* data, size_t size)
{
    // A peer that sends a byte at a time would otherwise never reach the deadline.
    if (std::chrono::steady_clock::now() >= this->deadline || this->readCount >= this->readLimit
        || this->isLineTooLong())
        return -1;
    // Most messages are in the socket's buffer already, so that the poll is saved.
    const ssize_t ready = ::recv(this->descriptor, data, size, MSG_DONTWAIT);
    if (ready >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
        return this->countRead(data, ready);
    if (!this->waitForInput())
        return -1;
    return this->countRead(data, ::recv(this->descriptor, data, size, MSG_DONTWAIT));
}

ssize_t SocketStream::write(const char* data, size_t size)
{
    ssize_t sent = ::send(this->descriptor, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        if (!this->waitFor(POLLOUT, this->deadline))
            return -1;
        sent = ::send(this->descriptor, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    this->writtenCount += std::max<ssize_t>(sent, 0);
    return sent;
}

static void describeAddress(const sockaddr_in& address, std::string& ip, int& port)
{
    char text[INET_ADDRSTRLEN] {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    ip = text;
    port = ntohs(address.sin_port);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    if (getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    if (getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        describeAddress(address, ip, port);
}

socket_t SocketStream::socket() const { return this->descriptor < FD_SETSIZE ? this->descriptor : 0; }

int SocketStream::descriptorNumber() const noexcept { return this->descriptor; }

}
