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

// What an instance tells of itself in membership datagrams.
struct InstanceHeartbeat {
    // IPv4 address in host byte order; identifies the instance.
    uint32_t address = 0;
    // Index into the sorted names of the failure domains.
    uint8_t domainIndex = 0;
    // Bandwidth of the instance's link in units of 10 Mbit/s, 255 at most.
    uint8_t linkCapacity10Mbps = 0;
    bool isReady = false;
    bool isLeaving = false;
    // Start of the process in Unix milliseconds.
    uint64_t incarnation = 0;
    // Rises with each datagram that the instance sends.
    uint32_t counter = 0;

    friend bool operator==(const InstanceHeartbeat&, const InstanceHeartbeat&) = default;
};

// The instances of the system as this one sees them. An instance counts as alive as long as its counter rises, heard
// from itself or through others, so that the answer does not depend on the store. Within a failure domain, where bytes
// are cheap, instances tell each other all beats that they know; between failure domains only those of the sender's own
// domain, from two senders a round on average, chosen by chance, so that nobody's death is missed. Lives for the
// process; used by one thread.
class InstanceMembership {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    // An instance whose counter has not risen for this long is not named to callers. The platform allows 6 s.
    static constexpr Milliseconds failureTimeout { 3000 };
    // Instances silent for this long are forgotten.
    static constexpr Milliseconds removalTimeout { 60000 };
    // Beats in one datagram; keeps it below the usual packet size.
    static constexpr size_t maximumHeartbeatsPerDatagram = 70;

    InstanceMembership(const Clock& clock, InstanceHeartbeat self);

    void setReady(bool ready) { this->self.isReady = ready; }
    void setLeaving() { this->self.isLeaving = true; }
    const InstanceHeartbeat& ownHeartbeat() const noexcept { return this->self; }

    // An address from the registry, to send datagrams to. Nothing is known of its state.
    void addAddress(uint32_t address);

    // The datagrams of the next round.
    std::vector<Datagram> nextGossipRound();
    // This instance's own beat to all others, for news that must not wait.
    std::vector<Datagram> announcement();
    // A datagram with this instance's own beat and those of others, chosen by turns when there are many.
    std::string nextDatagram();
    // Takes a datagram; false when it is malformed.
    bool receive(std::string_view datagram);

    // Alive instances, this one included.
    std::vector<InstanceHeartbeat> aliveInstances() const;
    void removeExpired();

private:
    struct InstanceState {
        InstanceHeartbeat heartbeat;
        bool hasHeartbeat = false;
        SteadyTime roseAt;
    };

    // `roseAt` is when the sender's counter rose to this one, as far as it is known.
    // This instance's own beat and those of its failure domain.
    std::string domainDatagram() const;
    Milliseconds heartbeatAge(const InstanceState& known) const;
    void mergeHeartbeat(const InstanceHeartbeat& beat, SteadyTime roseAt, bool isSender);
    bool isAlive(const InstanceState& known) const;

    const Clock& clock;
    InstanceHeartbeat self;
    std::map<uint32_t, InstanceState> otherInstances;
    // Instances that were heard of first by a datagram of their own; they are told all beats once.
    std::set<uint32_t> newInstances;
    uint32_t rotationOffset = 0;
};

}
