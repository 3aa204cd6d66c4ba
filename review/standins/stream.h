// HTTP messages over TCP connections.
#pragma once

#include "record.h"

namespace scene {

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(lowerCase(name));
        return found == this->headers.end() ? std::string() : found->second;
    }
    int status() const
    {
        return this->startLine.size() > 12 && this->startLine.starts_with("HTTP/1.") ? std::atoi(&this->startLine[9])
                                                                                     : 0;
    }
};

inline sockaddr_in socketAddress(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// A connection with a read buffer. Not shared between threads.
class Stream {
public:
    explicit Stream(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { this->close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static std::unique_ptr<Stream> connect(const std::string& host, int port, int64_t timeoutMs = 1000)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (descriptor < 0)
            return nullptr;
        const sockaddr_in address = socketAddress(host, port);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            pollfd state { descriptor, POLLOUT, 0 };
            int failure = 0;
            socklen_t size = sizeof failure;
            if (errno != EINPROGRESS || ::poll(&state, 1, static_cast<int>(timeoutMs)) <= 0
                || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
                ::close(descriptor);
                return nullptr;
            }
        }
        ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<Stream>(descriptor);
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    // Reads the head of a message and leaves its body unread. Empty when the connection ended or the deadline (scene
    // time) passed before its end; `timedOut()` then tells which.
    std::optional<Message> readHead(int64_t deadlineMs)
    {
        this->hasTimedOut = false;
        size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadlineMs))
                return std::nullopt;
        }
        Message message;
        const std::string head = this->buffer.substr(0, end);
        size_t position = head.find("\r\n");
        message.startLine = head.substr(0, position);
        while (position != std::string::npos) {
            const size_t next = head.find("\r\n", position + 2);
            const std::string field = head.substr(position + 2, next == std::string::npos ? next : next - position - 2);
            const size_t colon = field.find(':');
            if (colon != std::string::npos) {
                const size_t value = field.find_first_not_of(' ', colon + 1);
                message.headers[lowerCase(field.substr(0, colon))]
                    = value == std::string::npos ? std::string() : field.substr(value);
            }
            position = next;
        }
        this->buffer.erase(0, end + 4);
        return message;
    }

    // Reads a whole message. Empty as readHead() is.
    std::optional<Message> read(int64_t deadlineMs)
    {
        auto message = this->readHead(deadlineMs);
        if (!message)
            return std::nullopt;
        const size_t length = static_cast<size_t>(std::atoll(message->header("content-length").c_str()));
        while (this->buffer.size() < length) {
            if (!this->fill(deadlineMs))
                return std::nullopt;
        }
        message->body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return message;
    }

    // Reads `bytes`, or less if the connection ends or the deadline passes before.
    std::string readUpTo(size_t bytes, int64_t deadlineMs)
    {
        while (this->buffer.size() < bytes && this->fill(deadlineMs)) { }
        const std::string read = this->buffer.substr(0, bytes);
        this->buffer.erase(0, read.size());
        return read;
    }

    // Reads `bytes` and drops them.
    void discard(size_t bytes, int64_t deadlineMs)
    {
        while (bytes > this->buffer.size()) {
            bytes -= this->buffer.size();
            this->buffer.clear();
            if (!this->fill(deadlineMs))
                return;
        }
        this->buffer.erase(0, bytes);
    }

    bool timedOut() const { return this->hasTimedOut; }
    // Whether the peer has closed or reset the connection; waits up to `ms` for it.
    bool isClosedWithin(int64_t ms) const
    {
        pollfd state { this->descriptor, POLLRDHUP, 0 };
        return ::poll(&state, 1, static_cast<int>(ms)) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    // close() then resets the connection, whether bytes are unread or not.
    void resetOnClose()
    {
        const linger immediate { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    }
    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }
    int handle() const { return this->descriptor; }

private:
    bool fill(int64_t deadlineMs)
    {
        while (true) {
            const int64_t left = deadlineMs - nowMs();
            pollfd state { this->descriptor, POLLIN, 0 };
            if (left <= 0 || ::poll(&state, 1, static_cast<int>(std::min<int64_t>(left, 100000))) == 0) {
                this->hasTimedOut = true;
                return false;
            }
            char bytes[16384];
            const ssize_t size = ::recv(this->descriptor, bytes, sizeof bytes, 0);
            if (size < 0 && errno == EINTR)
                continue;
            if (size <= 0)
                return false;
            this->buffer.append(bytes, static_cast<size_t>(size));
            return true;
        }
    }

    int descriptor;
    std::string buffer;
    bool hasTimedOut = false;
};

// Accepts connections at one address and gives each to a thread of its own. Made by makeLasting(), as its users are.
class Listener {
public:
    using Handler = std::function<void(Stream&)>;

    Listener(const std::string& host, int port, Handler handler)
        : handler(std::move(handler))
    {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        // The platform's links have small windows, so that a peer that does not read blocks the writer.
        const int receiveBytes = 262144;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in address = socketAddress(host, port);
        socklen_t size = sizeof address;
        if (::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0
            || ::listen(this->descriptor, 1024) != 0)
            throw CannotRun { "cannot listen at " + host + ":" + std::to_string(port) };
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        this->boundPort = ntohs(address.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }
    int port() const { return this->boundPort; }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([handler = this->handler, accepted] {
                Stream stream(accepted);
                handler(stream);
            }).detach();
        }
    }

    Handler handler;
    int descriptor = -1;
    int boundPort = 0;
};

}
