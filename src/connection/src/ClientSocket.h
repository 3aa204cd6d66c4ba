#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <atomic>
#include <mutex>
#include <string>

namespace wagtailrack::connection {

// The socket that an exchange uses now, so that another thread can shut it down. The thread of the exchange begins
// and ends its use; a socket is never closed while it is registered here.
class CancellableSocket {
public:
    // False when the exchange was cancelled before.
    bool begin(int descriptor);
    void end() noexcept;
    void cancel() noexcept;
    bool isCancelled() const noexcept;

private:
    std::mutex mutex;
    int descriptor = -1;
    std::atomic<bool> cancelled { false };
};

// Connects to `endpoint` by `deadline`, from `localAddress` unless that is empty. Returns a non-blocking socket, or -1.
// Cancelling ends the wait.
int connectSocket(
    const Endpoint& endpoint, const std::string& localAddress, SteadyTime deadline, CancellableSocket& cancellable);

}
