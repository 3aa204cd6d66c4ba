#pragma once

#include <wagtailrack/connection/HttpConnection.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace wagtailrack::request {

// Ends a request early: its waiting and its connections. Shared by the request and by what may cancel it; may be
// called by any thread.
class CancelToken {
public:
    void cancel();
    bool isCancelled() const noexcept { return this->cancelled; }

    // Has cancel() end exchanges of `connection` until remove(). A cancelled token cancels it at once.
    void add(const std::shared_ptr<connection::HttpConnection>& connection);
    void remove(const std::shared_ptr<connection::HttpConnection>& connection);

private:
    std::atomic<bool> cancelled { false };
    std::mutex mutex;
    std::vector<std::shared_ptr<connection::HttpConnection>> connections;
};

}
