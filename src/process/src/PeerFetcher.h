#pragma once

#include "VersionKeeper.h"

#include <wagtailrack/process/ConfigurationFollower.h>
#include <wagtailrack/process/PeerClient.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace wagtailrack::process {

// The thread that fetches newer versions from peers: the head, then the chunks that the active version does not have.
// Owned by ConfigurationFollower; want() may be called by any thread.
class PeerFetcher {
public:
    PeerFetcher(const FollowerParts& parts, VersionKeeper& keeper);
    ~PeerFetcher();
    PeerFetcher(const PeerFetcher&) = delete;
    PeerFetcher& operator=(const PeerFetcher&) = delete;

    // A peer has a version that is newer than the active one.
    void want(const version::VersionId& id, const Endpoint& source);
    void requestStop() noexcept;

private:
    struct Wanted {
        version::VersionId id;
        Endpoint source;
    };
    using Chunks = std::map<std::string, std::string>;

    void run();
    bool waitUntil(SteadyTime deadline);
    Status fetch(const Wanted& wanted);
    Result<version::Head> fetchHead(PeerClient& client);
    Result<Chunks> fetchChunks(PeerClient& client, const version::Head& head);

    const FollowerParts& parts;
    VersionKeeper& keeper;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<Wanted> queue;
    std::shared_ptr<PeerClient> client;
    bool isStopping = false;
    std::thread thread;
};

}
