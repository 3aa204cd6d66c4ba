#pragma once

#include <wagtailrack/process/ServerStates.h>

#include <condition_variable>
#include <memory>
#include <thread>

namespace wagtailrack::process {

// Asks each backend server that this instance uses for its health, once a second, with one task for each server.
// Results are hints for ServerStates. Lives for the process; update() and the destructor are called by one thread.
class ServerProbes {
public:
    static constexpr Milliseconds interval { 1000 };
    static constexpr Milliseconds timeout { 500 };

    ServerProbes(const Clock& clock, ServerStates& states, const SlotShares& shares);
    // Ends all tasks.
    ~ServerProbes();

    // Starts and ends tasks so that all servers of `failureDomain`, and all others with a share, are probed.
    void update(const version::Tables& tables, const std::string& failureDomain);

private:
    struct Task {
        std::thread thread;
        bool isStopping = false;
    };

    void run(const Endpoint& server, const Task& task);
    void probe(const Endpoint& server);
    // False when the task has to end.
    bool sleep(const Task& task, Milliseconds time);
    void stop(const Endpoint& server);

    const Clock& clock;
    ServerStates& states;
    const SlotShares& shares;
    std::mutex mutex;
    std::condition_variable stopped;
    std::map<Endpoint, std::unique_ptr<Task>> tasks;
};

}
