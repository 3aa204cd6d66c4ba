#pragma once

#include <wagtailrack/base/Clock.h>

#include <httplib.h>

namespace wagtailrack::connection {

// The byte stream of one socket, for httplib. Reads and writes end at stored deadlines. Used by one thread.
class SocketStream final : public httplib::Stream {
public:
    explicit SocketStream(int descriptor);

    // Reads and writes fail after this time.
    void setDeadline(SteadyTime time) noexcept;
    // Reads fail after this time as long as no byte has been read.
    void setFirstByteDeadline(SteadyTime time) noexcept;
    // Reads fail once this many bytes have been read in all.
    void setReadLimit(int64_t bytes) noexcept;
    // Reads fail in a line that is longer than these limits. httplib reads lines a byte at a time and has no limit of
    // its own. The first line of a message follows the beginning or an empty line.
    void setLineLimits(int64_t firstLineBytes, int64_t otherLineBytes) noexcept;
    // Calls `action` once, from read(), when no byte has been read by `time`.
    void setSlowAction(SteadyTime time, std::function<void()> action);

    int64_t bytesRead() const noexcept;
    int64_t bytesWritten() const noexcept;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    // httplib refuses descriptors that select() cannot take, although it never selects on this one; those get 0.
    socket_t socket() const override;
    int descriptorNumber() const noexcept;

private:
    bool waitFor(short events, SteadyTime until) const;
    bool waitForInput();
    ssize_t countRead(const char* data, ssize_t size) noexcept;
    bool isLineTooLong() const noexcept;

    int descriptor;
    SteadyTime deadline = SteadyTime::max();
    SteadyTime firstByteDeadline = SteadyTime::max();
    SteadyTime slowAt = SteadyTime::max();
    std::function<void()> slowAction;
    int64_t readLimit = INT64_MAX;
    int64_t readCount = 0;
    int64_t firstLineLimit = INT64_MAX;
    int64_t otherLineLimit = INT64_MAX;
    // Bytes of the current line, and whether it is the first one of a message.
    int64_t lineBytes = 0;
    bool isFirstLine = true;
    int64_t writtenCount = 0;
};

}
