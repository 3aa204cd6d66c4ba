#pragma once

#include <wagtailrack/request/CancelToken.h>

#include <cstdint>
#include <map>
#include <thread>

namespace wagtailrack::request {

class CallerWatch;

// Watches one caller's socket as long as it lives. Must end before the socket is closed.
class CallerWatching {
public:
    CallerWatching(CallerWatch& watch, int socket, std::shared_ptr<CancelToken> token);
    ~CallerWatching();
    CallerWatching(const CallerWatching&) = delete;
    CallerWatching& operator=(const CallerWatching&) = delete;

private:
    CallerWatch& watch;
    int socket;
    uint64_t id = 0;
};

// Cancels requests whose callers close their connection; one thread for all. Lives for the process; may be called by
// any thread.
class CallerWatch {
public:
    CallerWatch();
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

private:
    friend class CallerWatching;

    uint64_t add(int socket, std::shared_ptr<CancelToken> token);
    void remove(int socket, uint64_t id);
    void run();

    int poller;
    int stopEvent;
    std::mutex mutex;
    uint64_t nextId = 1;
    std::map<uint64_t, std::shared_ptr<CancelToken>> tokens;
    std::thread thread;
};

}
