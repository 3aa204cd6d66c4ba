#include <wagtailrack/edge/InstanceMembership.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <tuple>

namespace wagtailrack::edge {

namespace {

// Datagram: magic, then for each heartbeat address (4 bytes), domain index (1), link capacity (1), flags (1), age (1),
// incarnation (8), counter (4), all big endian. The first heartbeat is the sender's.
constexpr std::string_view magic = "WRB3";
constexpr size_t heartbeatBytes = 20;
// Unit of the age field, chosen so that one byte covers more than `failureTimeout`.
constexpr int64_t ageUnitMs = 20;
constexpr int64_t maximumAgeUnits = 255;
constexpr uint8_t readyFlag = 1;
constexpr uint8_t leavingFlag = 2;

void append(std::string& buffer, uint64_t value, int byteCount)
{
    for (int shift = (byteCount - 1) * 8; shift >= 0; shift -= 8)
        buffer += static_cast<char>(value >> shift & 0xff);
}

uint64_t readBigEndian(std::string_view& buffer, int byteCount)
{
    uint64_t value = 0;
    for (int index = 0; index < byteCount; ++index)
        value = value << 8 | static_cast<uint8_t>(buffer[static_cast<size_t>(index)]);
    buffer.remove_prefix(static_cast<size_t>(byteCount));
    return value;
}

void append(std::string& buffer, const InstanceHeartbeat& heartbeat, Milliseconds age)
{
    append(buffer, heartbeat.address, 4);
    append(buffer, heartbeat.domainIndex, 1);
    append(buffer, heartbeat.linkCapacity10Mbps, 1);
    append(buffer, (heartbeat.isReady ? readyFlag : 0U) | (heartbeat.isLeaving ? leavingFlag : 0U), 1);
    // Rounded up, so that relaying a heartbeat never lowers its age.
    append(buffer, static_cast<uint64_t>(std::min((age.count() + ageUnitMs - 1) / ageUnitMs, maximumAgeUnits)), 1);
    append(buffer, heartbeat.incarnation, 8);
    append(buffer, heartbeat.counter, 4);
}

// Per gossip round: instances of the own failure domain that are sent all heartbeats, addresses without a heartbeat
// that are sent this instance's heartbeat, and the average number of senders from one domain to each other domain.
constexpr size_t ownDomainTargets = 3;
constexpr size_t unconfirmedTargets = 8;
constexpr uint64_t sendersPerOtherDomain = 2;
// One in this many datagrams to another domain goes to any of its instances, including those that are not alive.
constexpr uint64_t deadTargetsOneIn = 4;
// Time between two gossip rounds that shows that the process did not run in between. Four times the usual interval,
// so that a busy processor does not count as a pause.
constexpr Milliseconds pauseThreshold(1000);

// Chooses up to `count` addresses randomly. With a fixed rotation, instances that started together would all send to
// the same targets at the same time.
std::vector<uint32_t> chooseRandomly(std::vector<uint32_t> addresses, size_t count)
{
    const size_t chosen = std::min(count, addresses.size());
    for (size_t index = 0; index < chosen; ++index)
        std::swap(addresses[index], addresses[index + randomBelow(addresses.size() - index)]);
    addresses.resize(chosen);
    return addresses;
}

std::string singleHeartbeatDatagram(const InstanceHeartbeat& heartbeat)
{
    std::string buffer(magic);
    append(buffer, heartbeat, Milliseconds(0));
    return buffer;
}

struct AgedHeartbeat {
    InstanceHeartbeat heartbeat;
    Milliseconds age {};
};

AgedHeartbeat readHeartbeat(std::string_view& buffer)
{
    AgedHeartbeat agedHeartbeat;
    InstanceHeartbeat& heartbeat = agedHeartbeat.heartbeat;
    heartbeat.address = static_cast<uint32_t>(readBigEndian(buffer, 4));
    heartbeat.domainIndex = static_cast<uint8_t>(readBigEndian(buffer, 1));
    heartbeat.linkCapacity10Mbps = static_cast<uint8_t>(readBigEndian(buffer, 1));
    const uint64_t flags = readBigEndian(buffer, 1);
    heartbeat.isReady = (flags & readyFlag) != 0;
    heartbeat.isLeaving = (flags & leavingFlag) != 0;
    agedHeartbeat.age = Milliseconds(static_cast<int64_t>(readBigEndian(buffer, 1)) * ageUnitMs);
    heartbeat.incarnation = readBigEndian(buffer, 8);
    heartbeat.counter = static_cast<uint32_t>(readBigEndian(buffer, 4));
    return agedHeartbeat;
}

}

InstanceMembership::InstanceMembership(const Clock& clock, InstanceHeartbeat self)
    : clock(clock)
    , self(self)
    , lastRoundAt(clock.now())
    , resumedAt(clock.now())
{
}

void InstanceMembership::addAddress(uint32_t address)
{
    if (address == this->self.address || this->otherInstances.contains(address))
        return;
    InstanceState state;
    state.heartbeat.address = address;
    state.counterRoseAt = this->clock.now();
    this->otherInstances.emplace(address, state);
}

bool InstanceMembership::isHeardOfWithin(const InstanceState& state, Milliseconds limit) const
{
    return state.hasHeartbeat && this->clock.now() - state.counterRoseAt < limit;
}

bool InstanceMembership::isAlive(const InstanceState& state) const
{
    return this->isHeardOfWithin(state, failureTimeout);
}

SteadyTime InstanceMembership::runningSince() const
{
    const SteadyTime now = this->clock.now();
    return now - this->lastRoundAt >= pauseThreshold ? now : this->resumedAt;
}

bool InstanceMembership::isSettled() const { return this->clock.now() - this->runningSince() >= settlingTime; }

bool InstanceMembership::isDomainSettled() const
{
    const SteadyTime now = this->clock.now();
    return this->registryListedAt != SteadyTime() && now - this->registryListedAt >= registrySettlingTime
        && now - this->runningSince() >= domainSettlingTime;
}

void InstanceMembership::recordRegistryListing()
{
    if (this->registryListedAt == SteadyTime())
        this->registryListedAt = this->clock.now();
}

Milliseconds InstanceMembership::heartbeatAge(const InstanceState& state) const
{
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - state.counterRoseAt);
}

std::string InstanceMembership::domainDatagram() const
{
    std::string buffer = singleHeartbeatDatagram(this->self);
    size_t heartbeatCount = 1;
    for (const auto& [address, state] : this->otherInstances) {
        if (state.heartbeat.domainIndex != this->self.domainIndex || !this->isAlive(state)
            || heartbeatCount >= maximumHeartbeatsPerDatagram)
            continue;
        append(buffer, state.heartbeat, this->heartbeatAge(state));
        ++heartbeatCount;
    }
    return buffer;
}

std::string InstanceMembership::nextDatagram()
{
    ++this->self.counter;
    std::string buffer = singleHeartbeatDatagram(this->self);
    if (this->otherInstances.empty())
        return buffer;
    auto entry = this->otherInstances.begin();
    std::advance(entry, this->rotationOffset % this->otherInstances.size());
    size_t heartbeatCount = 1;
    for (size_t index = 0; index < this->otherInstances.size() && heartbeatCount < maximumHeartbeatsPerDatagram;
         ++index) {
        if (this->isAlive(entry->second)) {
            append(buffer, entry->second.heartbeat, this->heartbeatAge(entry->second));
            ++heartbeatCount;
        }
        ++this->rotationOffset;
        if (++entry == this->otherInstances.end())
            entry = this->otherInstances.begin();
    }
    return buffer;
}

bool InstanceMembership::receive(std::string_view datagram)
{
    if (!datagram.starts_with(magic))
        return false;
    datagram.remove_prefix(magic.size());
    if (datagram.empty() || datagram.size() % heartbeatBytes != 0)
        return false;
    for (bool isSender = true; !datagram.empty(); isSender = false) {
        const AgedHeartbeat agedHeartbeat = readHeartbeat(datagram);
        this->mergeHeartbeat(agedHeartbeat.heartbeat, this->clock.now() - agedHeartbeat.age, isSender);
    }
    return true;
}

void InstanceMembership::mergeHeartbeat(const InstanceHeartbeat& heartbeat, SteadyTime counterRoseAt, bool isSender)
{
    if (heartbeat.address == this->self.address)
        return;
    InstanceState& state = this->otherInstances[heartbeat.address];
    const bool isNewer = std::tie(heartbeat.incarnation, heartbeat.counter)
        > std::tie(state.heartbeat.incarnation, state.heartbeat.counter);
    // After a restart with the clock set back, the incarnation is lower. This is accepted only in the sender's own
    // heartbeat, and only when the previous process is no longer alive.
    const bool isRestart = isSender && heartbeat.incarnation != state.heartbeat.incarnation && !this->isAlive(state);
    if (state.hasHeartbeat && !isNewer && !isRestart)
        return;
    if (isSender && (!state.hasHeartbeat || isRestart))
        this->newInstances.insert(heartbeat.address);
    state.heartbeat = heartbeat;
    state.hasHeartbeat = true;
    state.counterRoseAt = counterRoseAt;
}

std::vector<InstanceHeartbeat> InstanceMembership::instancesHeardOfWithin(Milliseconds limit) const
{
    std::vector<InstanceHeartbeat> heartbeats { this->self };
    for (const auto& [address, state] : this->otherInstances) {
        if (this->isHeardOfWithin(state, limit))
            heartbeats.push_back(state.heartbeat);
    }
    return heartbeats;
}

std::vector<InstanceHeartbeat> InstanceMembership::aliveInstances() const
{
    return this->instancesHeardOfWithin(failureTimeout);
}

std::vector<InstanceHeartbeat> InstanceMembership::sharingInstances() const
{
    return this->instancesHeardOfWithin(shareValidity);
}

std::vector<InstanceMembership::Datagram> InstanceMembership::nextGossipRound()
{
    this->resumedAt = this->runningSince();
    this->lastRoundAt = this->clock.now();
    std::vector<uint32_t> ownDomainAddresses;
    std::vector<uint32_t> unconfirmedAddresses;
    std::map<uint8_t, std::vector<uint32_t>> addressesByDomain;
    std::map<uint8_t, std::vector<uint32_t>> aliveAddressesByDomain;
    size_t aliveInOwnDomain = 1;
    for (const auto& [address, state] : this->otherInstances) {
        if (!state.hasHeartbeat) {
            unconfirmedAddresses.push_back(address);
        } else if (state.heartbeat.domainIndex == this->self.domainIndex) {
            ownDomainAddresses.push_back(address);
            aliveInOwnDomain += this->isAlive(state) ? 1 : 0;
        } else {
            addressesByDomain[state.heartbeat.domainIndex].push_back(address);
            if (this->isAlive(state))
                aliveAddressesByDomain[state.heartbeat.domainIndex].push_back(address);
        }
    }
    std::vector<Datagram> round;
    const std::string fullDatagram = this->nextDatagram();
    for (const uint32_t target : chooseRandomly(ownDomainAddresses, ownDomainTargets))
        round.push_back({ target, fullDatagram });
    // Addresses without any heartbeat may no longer be in use, so that they are sent only a short datagram.
    for (const uint32_t target : chooseRandomly(unconfirmedAddresses, unconfirmedTargets))
        round.push_back({ target, singleHeartbeatDatagram(this->self) });
    for (const uint32_t target : this->newInstances)
        round.push_back({ target, fullDatagram });
    this->newInstances.clear();
    const std::string ownDomainDatagram = this->domainDatagram();
    for (const auto& [domain, addresses] : addressesByDomain) {
        if (randomBelow(aliveInOwnDomain) >= sendersPerOtherDomain)
            continue;
        // Sometimes includes instances that are not alive: they may have been cut off from the network and come back.
        const bool shouldIncludeDead = randomBelow(deadTargetsOneIn) == 0 || !aliveAddressesByDomain.contains(domain);
        const std::vector<uint32_t>& targets = shouldIncludeDead ? addresses : aliveAddressesByDomain[domain];
        round.push_back({ targets[randomBelow(targets.size())], ownDomainDatagram });
    }
    return round;
}

std::vector<InstanceMembership::Datagram> InstanceMembership::announcement()
{
    ++this->self.counter;
    const std::string datagram = singleHeartbeatDatagram(this->self);
    std::vector<Datagram> datagrams;
    datagrams.reserve(this->otherInstances.size());
    for (const auto& [address, state] : this->otherInstances)
        datagrams.push_back({ address, datagram });
    return datagrams;
}

void InstanceMembership::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(
        this->otherInstances, [now](const auto& entry) { return now - entry.second.counterRoseAt > removalTimeout; });
}

}
