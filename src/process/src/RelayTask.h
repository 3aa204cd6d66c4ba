#pragma once

#include "PeerContext.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace wagtailrack::process {

// The thread that sends messages to one member each of other failure domains: crash news, version announcements and
// the news that this instance leaves. Separate from ExchangeTask, whose calls to unreachable members take seconds.
// Owned by PeerNetwork; send() may be called by any thread.
class RelayTask {
public:
    explicit RelayTask(PeerContext& context);
    ~RelayTask();
    RelayTask(const RelayTask&) = delete;
    RelayTask& operator=(const RelayTask&) = delete;

    // Sends soon and does not wait. A failure domain in which two members do not answer does not get the message.
    void send(std::string method, Json::Value parameters, std::vector<std::string> failureDomains);
    // The thread ends when the queued messages are sent or have failed.
    void requestStop() noexcept;

private:
    struct Message {
        std::string method;
        Json::Value parameters;
        std::vector<std::string> failureDomains;
    };

    void run();
    void deliver(const Message& message);
    bool deliverTo(const std::string& failureDomain, const Message& message);

    PeerContext& context;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<Message> queue;
    bool isStopping = false;
    std::thread thread;
};

}
