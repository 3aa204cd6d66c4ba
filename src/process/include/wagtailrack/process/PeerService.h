#pragma once

#include <wagtailrack/connection/HttpMessage.h>
#include <wagtailrack/process/Membership.h>
#include <wagtailrack/process/PeerHooks.h>
#include <wagtailrack/process/PeerTraffic.h>

#include <functional>
#include <memory>
#include <vector>

namespace wagtailrack::process {

// How far crash news has come; each value says what the receiver still has to do.
enum class CrashRelay {
    // From the instance that saw the crash to its failure domain: the receiver forwards it to its part of the others.
    Origin,
    // Into another failure domain: the receiver forwards it to its peers.
    Entry,
    // From the entry to its peers: nothing more to do.
    Last,
};

// An observation whether a failure domain can be reached, as members of one failure domain tell each other.
struct ReachabilityNews {
    std::string failureDomain;
    bool isReachable = true;
    // Time since the observation; clocks of two instances cannot be compared.
    Milliseconds age { 0 };

    friend bool operator==(const ReachabilityNews&, const ReachabilityNews&) = default;
};

// What PeerService needs of the peer network. Every function is set before the first message.
struct PeerServiceCalls {
    // Probes a member once, on behalf of a peer.
    std::function<bool(const Member& target)> probe;
    std::function<void(const CrashNews&, CrashRelay)> relayCrashes;
    std::function<void(const std::vector<ReachabilityNews>&)> mergeReachability;
    std::function<std::vector<ReachabilityNews>()> takeReachability;
};

// Answers the JSON-RPC methods that peers call. A malformed message gets a JSON-RPC error and changes nothing: every
// method decodes all of its parameters before it acts. Lives for the process; handle() may be called by any thread.
class PeerService {
public:
    // Changes sent along with one probe and its answer. Four of 110 bytes each keep a second of two probes below 2 KB
    // while many members change.
    static constexpr size_t maxUpdates = 4;
    // Bytes of chunks in one answer, above which further chunks are left out.
    static constexpr size_t maxChunkAnswerBytes = 256 << 10;

    PeerService(Membership& membership, PeerTraffic& traffic, PeerHooks hooks, PeerServiceCalls calls);
    ~PeerService();
    PeerService(const PeerService&) = delete;
    PeerService& operator=(const PeerService&) = delete;

    // Answers `POST /rpc`; 404 for everything else.
    connection::HttpResponse handle(const connection::HttpRequest& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
