#pragma once

#include <wagtailrack/base/Clock.h>

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// State of an instance, which it publishes in membership datagrams.
struct InstanceHeartbeat {
    // IPv4 address in host byte order; identifies the instance.
    uint32_t address = 0;
    // Index into the sorted names of the failure domains.
    uint8_t domainIndex = 0;
    // Bandwidth of the instance's link in units of 10 Mbit/s; at most 255.
    uint8_t linkCapacity10Mbps = 0;
    bool isReady = false;
    bool isLeaving = false;
    // Start time of the process in Unix milliseconds.
    uint64_t incarnation = 0;
    // Incremented for each gossip round and each announcement of the instance.
    uint32_t counter = 0;

    friend bool operator==(const InstanceHeartbeat&, const InstanceHeartbeat&) = default;
};

// The instances of the system, as observed by this one through gossip. An instance counts as alive as long as its
// heartbeat counter increases, whether its heartbeats arrive directly or are relayed by other instances, so that the
// result does not depend on the store. Within a failure domain, where bandwidth is cheap, instances send each other all
// heartbeats that they have. Between failure domains, instances send only the heartbeats of their own domain, on
// average from two randomly chosen senders per round, so that the exchange does not depend on any single instance.
// Lives as long as the process; must be used from one thread only.
class InstanceMembership {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    // An instance whose counter has not increased for this long is no longer returned to callers. The platform allows
    // 6 s.
    static constexpr Milliseconds failureTimeout { 3000 };
    // Instances whose counter has not increased for this long are removed.
    static constexpr Milliseconds removalTimeout { 60000 };
    // How long an instance that is no longer heard of still counts for limits that the instances divide among
    // themselves: it may run on, cut off from this one, and use its share.
    static constexpr Milliseconds shareValidity { 15000 };
    // Time after the start or a pause of this process in which the list of instances may be incomplete. Heartbeats of
    // all instances arrive within about six gossip rounds.
    static constexpr Milliseconds settlingTime { 1500 };
    // Time after the start or a pause of this process in which gossip rounds follow each other at the shorter interval,
    // and after which the instances of the own failure domain are known, if the registry has been listed.
    static constexpr Milliseconds domainSettlingTime { 700 };
    static constexpr Milliseconds initialRoundInterval { 60 };
    // Time after the first listing of the registry in which the instances that it names answer: a round trip between
    // regions and several rounds at the shorter interval.
    static constexpr Milliseconds registrySettlingTime { 400 };
    // Keeps a datagram below the usual packet size.
    static constexpr size_t maximumHeartbeatsPerDatagram = 70;

    InstanceMembership(const Clock& clock, InstanceHeartbeat self);

    void setReady(bool ready) { this->self.isReady = ready; }
    void setLeaving() { this->self.isLeaving = true; }
    const InstanceHeartbeat& ownHeartbeat() const noexcept { return this->self; }

    // Adds an address from the registry as a target of datagrams. Its instance is not alive before its first heartbeat.
    void addAddress(uint32_t address);

    // The registry has been listed, and its addresses have been added.
    void recordRegistryListing();

    // Returns the datagrams of the next gossip round.
    std::vector<Datagram> nextGossipRound();
    // Returns datagrams with this instance's heartbeat to all other instances, for a change of state that must not wait
    // for the next round.
    std::vector<Datagram> announcement();
    // Returns a datagram with this instance's heartbeat and those of other alive instances, in rotation if not all fit.
    std::string nextDatagram();
    // Processes a datagram; returns false if it is malformed.
    bool receive(std::string_view datagram);

    // Alive instances, including this one.
    std::vector<InstanceHeartbeat> aliveInstances() const;
    // The instances that may use a share of a limit which the instances divide among themselves, including this one:
    // those that are alive or were until recently.
    std::vector<InstanceHeartbeat> sharingInstances() const;
    // Returns whether the list of instances is complete enough to compute a share: false for a while after the start
    // of the process and after a pause of it, such as SIGSTOP or a suspension of the machine.
    bool isSettled() const;
    // As isSettled(), sooner, for the instances of the own failure domain alone. False while the registry has not been
    // listed, because the process then knows of no other instance.
    bool isDomainSettled() const;
    // Start of the process, or end of its latest pause of a second or more.
    SteadyTime runningSince() const;
    void removeExpired();

private:
    struct InstanceState {
        InstanceHeartbeat heartbeat;
        bool hasHeartbeat = false;
        SteadyTime counterRoseAt;
    };

    // A datagram with this instance's heartbeat and those of the other alive instances of its failure domain.
    std::string domainDatagram() const;
    Milliseconds heartbeatAge(const InstanceState& state) const;
    void mergeHeartbeat(const InstanceHeartbeat& heartbeat, SteadyTime counterRoseAt, bool isSender);
    bool isAlive(const InstanceState& state) const;
    bool isHeardOfWithin(const InstanceState& state, Milliseconds limit) const;
    std::vector<InstanceHeartbeat> instancesHeardOfWithin(Milliseconds limit) const;

    const Clock& clock;
    InstanceHeartbeat self;
    std::map<uint32_t, InstanceState> otherInstances;
    // Instances whose first heartbeat, or first one after a restart, came from themselves; each is sent all heartbeats
    // once.
    std::set<uint32_t> newInstances;
    uint32_t rotationOffset = 0;
    SteadyTime lastRoundAt;
    // When the registry was first listed; the epoch: never.
    SteadyTime registryListedAt;
    // As runningSince(), for pauses that ended before the latest gossip round.
    SteadyTime resumedAt;
};

}
