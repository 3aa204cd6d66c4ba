#pragma once

#include "PeerContext.h"

#include <wagtailrack/process/InstanceList.h>
#include <wagtailrack/process/PeerClient.h>

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace wagtailrack::process {

// The thread that exchanges member digests: with members of other failure domains, with seeds, and now and then with a
// peer of the own failure domain, which repairs updates that were lost. Reads the platform's list. Owned by
// PeerNetwork.
class ExchangeTask {
public:
    ExchangeTask(PeerContext& context, InstanceList& list, std::vector<Endpoint> seeds);
    ~ExchangeTask();
    ExchangeTask(const ExchangeTask&) = delete;
    ExchangeTask& operator=(const ExchangeTask&) = delete;

    void requestStop() noexcept;

private:
    void run();
    bool waitUntil(SteadyTime deadline);
    bool isStopped();
    void readList();
    // Peer addresses of settings and list that no live member has.
    std::vector<Endpoint> unknownSeeds() const;
    void contactSeed();
    void exchangeWithNextFailureDomain();
    void exchangeWithPeer();
    std::string nextFailureDomain();
    // Compares digests with one member and fetches the lists that differ; false when it does not answer.
    bool exchange(const Endpoint& endpoint);
    Status exchangeWith(PeerClient& client);
    Status fetchMembers(PeerClient& client, const std::string& failureDomain, const Member& source);

    PeerContext& context;
    InstanceList& list;
    const std::vector<Endpoint> seeds;
    std::vector<ListedInstance> listed;
    // Failure domains still to be contacted in this round.
    std::vector<std::string> round;
    size_t nextSeed = 0;
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool isStopping = false;
    std::shared_ptr<PeerClient> client;
    std::thread thread;
};

}
