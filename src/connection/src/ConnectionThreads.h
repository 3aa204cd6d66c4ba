#pragma once

#include <httplib.h>

#include <condition_variable>
#include <mutex>

namespace wagtailrack::connection {

// Gives each accepted connection a thread with a small stack.
class ConnectionThreads final : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override;
    // Returns when the last connection's thread has ended.
    void shutdown() override;

    // Whether the calling thread serves a connection because none could be created for it; it is the listener's, so
    // the connection must be refused at once.
    static bool isWithoutThread() noexcept;

private:
    static void* run(void* argument);

    std::mutex mutex;
    std::condition_variable ended;
    size_t running = 0;
};

}
