#pragma once

#include "PeerContext.h"

#include <wagtailrack/process/PeerClient.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace wagtailrack::process {

// The thread that talks to one peer of the own failure domain: probes it in turn and sends it messages. Owned by
// PeerNetwork; post() may be called by any thread.
class PeerTask {
public:
    PeerTask(PeerContext& context, std::string peerName);
    // Ends the thread.
    ~PeerTask();
    PeerTask(const PeerTask&) = delete;
    PeerTask& operator=(const PeerTask&) = delete;

    // Sends a message soon and does not wait for it. A message that the peer does not take is lost.
    void post(std::string method, Json::Value parameters);
    // Whether no message is queued or being sent.
    bool isIdle();
    // The thread ends soon; queued messages are dropped.
    void requestStop() noexcept;

private:
    struct Posted {
        std::string method;
        Json::Value parameters;
    };

    void run();
    void send(const Posted& message);
    void probe();
    Result<Json::Value> probeDirectly(const Member& target);
    bool probeIndirectly(const Member& target);
    bool acceptAnswer(const Json::Value& answer, const Member& target);
    Milliseconds probePeriod() const;
    // Replaces the client when the peer has moved to another address.
    PeerClient& clientFor(const Endpoint& endpoint);

    PeerContext& context;
    const std::string peerName;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<Posted> queue;
    bool isStopping = false;
    bool isSending = false;
    std::shared_ptr<PeerClient> client;
    bool isUnknownToPeer = true;
    std::thread thread;
};

}
