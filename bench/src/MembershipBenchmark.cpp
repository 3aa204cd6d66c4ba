#include "Benchmark.h"
#include "FakeClock.h"

#include <wagtailrack/base/Random.h>
#include <wagtailrack/edge/InstanceMembership.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>
#include <vector>

namespace wagtailrack::bench {

using edge::InstanceHeartbeat;
using edge::InstanceMembership;

// Interval of gossip rounds of EdgeNode, and rounds until the figures have settled: 25 s.
static constexpr Milliseconds roundInterval(250);
static constexpr int rounds = 100;
static constexpr uint32_t firstAddress = 0x0a000000;
static constexpr size_t udpHeaderBytes = 28;

// Pairs of an observer and another running instance, and those of them in which the observer takes it for alive.
struct AlivePairs {
    size_t all = 0;
    size_t alive = 0;

    double ratio() const
    {
        return this->all == 0 ? 1 : static_cast<double>(this->alive) / static_cast<double>(this->all);
    }
};

// Gossip of instances that all run and lose no datagram, over simulated time.
static void runMembershipOf(size_t instances, size_t domains)
{
    seedRandom(1);
    FakeClock clock;
    std::vector<std::unique_ptr<InstanceMembership>> nodes;
    for (size_t index = 0; index < instances; ++index) {
        InstanceHeartbeat self;
        self.address = firstAddress + static_cast<uint32_t>(index);
        self.domainIndex = static_cast<uint8_t>(index % domains);
        nodes.push_back(std::make_unique<InstanceMembership>(clock, self));
    }
    for (const auto& node : nodes) {
        for (size_t index = 0; index < instances; ++index)
            node->addAddress(firstAddress + static_cast<uint32_t>(index));
    }
    size_t sentBytes = 0;
    size_t largestBytes = 0;
    const double seconds = secondsOf([&] {
        for (int round = 0; round < rounds; ++round) {
            for (const auto& node : nodes) {
                for (const InstanceMembership::Datagram& datagram : node->nextGossipRound()) {
                    sentBytes += datagram.bytes.size() + udpHeaderBytes;
                    largestBytes = std::max(largestBytes, datagram.bytes.size());
                    nodes[datagram.target - firstAddress]->receive(datagram.bytes);
                }
            }
            clock.advance(roundInterval);
        }
    });
    AlivePairs ownDomain;
    AlivePairs otherDomains;
    for (size_t observer = 0; observer < instances; ++observer) {
        std::vector<bool> isAlive(instances);
        for (const InstanceHeartbeat& heartbeat : nodes[observer]->aliveInstances())
            isAlive[heartbeat.address - firstAddress] = true;
        for (size_t other = 0; other < instances; ++other) {
            if (other == observer)
                continue;
            AlivePairs& pairs = other % domains == observer % domains ? ownDomain : otherDomains;
            ++pairs.all;
            pairs.alive += isAlive[other] ? 1 : 0;
        }
    }
    constexpr int listings = 2000;
    size_t listed = 0;
    const double listing = secondsOf([&] {
        for (int count = 0; count < listings; ++count)
            listed += nodes.front()->aliveInstances().size();
    });
    const double nodeRounds = static_cast<double>(instances) * rounds;
    std::printf("membership instances=%zu domains=%zu alive_own_domain=%.3f alive_other_domains=%.3f "
                "sent_bytes_per_s=%.0f largest_datagram=%zu round_us=%.1f list_us=%.2f listed=%zu\n",
        instances, domains, ownDomain.ratio(), otherDomains.ratio(),
        static_cast<double>(sentBytes) / nodeRounds * 1000 / static_cast<double>(roundInterval.count()), largestBytes,
        seconds * 1e6 / nodeRounds, listing * 1e6 / listings, listed / listings);
}

void runMembership()
{
    // The largest deployment of today's days, then the target sizes, over few and many failure domains.
    constexpr std::pair<size_t, size_t> sizes[]
        = { { 95, 9 }, { 300, 3 }, { 300, 6 }, { 300, 18 }, { 600, 6 }, { 1300, 18 }, { 1300, 56 } };
    for (const auto& [instances, domains] : sizes)
        runMembershipOf(instances, domains);
}

}
