#pragma once

#include <wagtailrack/process/InstanceList.h>
#include <wagtailrack/process/Membership.h>
#include <wagtailrack/process/PeerHooks.h>
#include <wagtailrack/process/PeerService.h>
#include <wagtailrack/process/PeerTraffic.h>

#include <memory>
#include <vector>

namespace wagtailrack::process {

// All that this instance sends to its peers: one thread for each peer of the own failure domain, one for exchanges
// with other failure domains, one for urgent messages to them and one for the membership's deadlines. Lives for the
// process; every function may be called by any thread.
//
//     PeerNetwork network(clock, membership, traffic, hooks);
//     peerServer.handler = [&](const HttpRequest& request) { return network.service().handle(request); };
//     network.start(list, settings.seeds);
//     ...
//     network.leave();
//     network.stop();
class PeerNetwork {
public:
    // Peers that an announcement is sent to; each of them announces in its turn.
    static constexpr size_t announcedPeers = 3;

    PeerNetwork(const Clock& clock, Membership& membership, PeerTraffic& traffic, PeerHooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Usable before start().
    PeerService& service() noexcept;

    void start(InstanceList& list, std::vector<Endpoint> seeds);
    void stop();

    // Tells up to three peers of the failure domain and one of another that this instance has adopted a version.
    void announce(const version::VersionId& id);
    // Tells all instances about requests that crash servers; reaches those that can be reached within a second.
    void tellCrashes(const CrashNews& news);
    // Marks this instance as leaving and tells all peers. Returns when the peers of the failure domain know, or after a
    // second.
    void leave();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
