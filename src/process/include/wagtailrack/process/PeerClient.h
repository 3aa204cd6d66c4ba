#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>
#include <wagtailrack/process/PeerTraffic.h>

#include <json/value.h>

#include <memory>

namespace wagtailrack::process {

// Calls the JSON-RPC methods of one peer over one connection, which is opened with the first call and reopened after
// a failure. Used by one thread at a time; only cancel() may be called by another thread.
//
//     PeerClient client(peer.peerAddress, traffic);
//     auto answer = client.call("members", parameters, clock.now() + Milliseconds(500));
class PeerClient {
public:
    PeerClient(Endpoint endpoint, PeerTraffic& traffic);
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Fails with PeerUnavailable, TimedOut, ConnectFailed, ConnectionLost or Cancelled when there was no answer; with
    // AnswerInvalid when the peer answered with an error or with something that is no JSON-RPC object.
    Result<Json::Value> call(const std::string& method, const Json::Value& parameters, SteadyTime deadline);

    // Ends a running call and all later ones with Cancelled.
    void cancel() noexcept;

    const Endpoint& endpoint() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
