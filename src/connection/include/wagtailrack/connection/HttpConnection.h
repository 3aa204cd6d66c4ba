#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <functional>
#include <memory>
#include <string>

namespace wagtailrack::connection {

// Bounds of one exchange.
struct ExchangeLimits {
    SteadyTime connectDeadline;
    SteadyTime firstByteDeadline;
    SteadyTime deadline;
    int64_t maxBodyBytes = 1 << 20;
    // Called once, by the thread of the exchange, when no byte of the answer has come by `slowAt`.
    SteadyTime slowAt = SteadyTime::max();
    std::function<void()> slowAction = nullptr;
};

// How far the request got when an exchange failed; decides whether it may be sent again.
enum class SendProgress {
    NothingSent,
    MaybeSent,
};

// Whether any byte of an answer came; a peer that closes without one may have died.
enum class ReceiveProgress {
    NothingReceived,
    SomeReceived,
};

struct ExchangeResult {
    Result<HttpResponse> response;
    SendProgress progress = SendProgress::MaybeSent;
    ReceiveProgress received = ReceiveProgress::NothingReceived;
};

// One client connection, opened with its first exchange and kept open between exchanges. Used by one thread at a
// time; only cancel() may be called by another thread. Answers are whole or an error: a body that ends early or
// grows beyond the limit is never returned.
class HttpConnection {
public:
    // `localAddress` is where the connection is opened from; empty stands for the address of setLocalAddress().
    explicit HttpConnection(Endpoint endpoint, const std::string& localAddress = {});
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    ExchangeResult exchange(const HttpRequest& request, const ExchangeLimits& limits);

    // Ends a running exchange, even one that still connects, with Cancelled; later ones fail in the same way.
    void cancel() noexcept;

    // Whether the connection is open and the peer has not closed it.
    bool isOpen() const noexcept;

    const Endpoint& endpoint() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

// IPv4 address that connections of this process are opened from; empty lets the system choose. Set once, before the
// first connection.
void setLocalAddress(const std::string& address);

// Whether something listens at `endpoint`.
bool canConnect(const Endpoint& endpoint, SteadyTime deadline);

// One exchange on a connection of its own.
ExchangeResult exchangeOnce(const Endpoint& endpoint, const HttpRequest& request, const ExchangeLimits& limits);

}
