#include <wagtailrack/edge/InstanceMembership.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <tuple>

namespace wagtailrack::edge {

namespace {

// Datagram: magic, then for each beat address (4), domain (1), capacity (1), flags (1), age (1), incarnation (8),
// counter (4), big endian. The first beat is the sender's.
constexpr std::string_view magic = "WRB3";
constexpr size_t beatBytes = 20;
// Unit of the age, so that a byte holds more than the silence until an instance is gone.
constexpr int64_t ageUnitMs = 20;
constexpr int64_t oldestAge = 255;
constexpr uint8_t readyFlag = 1;
constexpr uint8_t leavingFlag = 2;

void append(std::string& text, uint64_t value, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(value >> shift & 0xff);
}

uint64_t take(std::string_view& text, int bytes)
{
    uint64_t value = 0;
    for (int index = 0; index < bytes; ++index)
        value = value << 8 | static_cast<uint8_t>(text[static_cast<size_t>(index)]);
    text.remove_prefix(static_cast<size_t>(bytes));
    return value;
}

void append(std::string& text, const InstanceHeartbeat& beat, Milliseconds age)
{
    append(text, beat.address, 4);
    append(text, beat.domainIndex, 1);
    append(text, beat.linkCapacity10Mbps, 1);
    append(text, (beat.isReady ? readyFlag : 0U) | (beat.isLeaving ? leavingFlag : 0U), 1);
    // Rounded up, so that passing a beat on never makes it younger.
    append(text, static_cast<uint64_t>(std::min((age.count() + ageUnitMs - 1) / ageUnitMs, oldestAge)), 1);
    append(text, beat.incarnation, 8);
    append(text, beat.counter, 4);
}

// Instances of the own failure domain that get all beats in a round, and senders of a domain to each other one.
constexpr size_t nearbyTargets = 3;
constexpr size_t unknownTargets = 8;
constexpr uint64_t domainSenders = 2;
// One datagram in so many goes to any instance of a domain, silent ones included.
constexpr uint64_t silentTargetsOneIn = 4;

// `count` of them by chance. Chance, not turns: instances that started together would all send to the same ones at the
// same time.
std::vector<uint32_t> chooseSome(std::vector<uint32_t> addresses, size_t count)
{
    const size_t chosen = std::min(count, addresses.size());
    for (size_t index = 0; index < chosen; ++index)
        std::swap(addresses[index], addresses[index + randomBelow(addresses.size() - index)]);
    addresses.resize(chosen);
    return addresses;
}

std::string ownDatagram(const InstanceHeartbeat& beat)
{
    std::string text(magic);
    append(text, beat, Milliseconds(0));
    return text;
}

struct AgedBeat {
    InstanceHeartbeat beat;
    Milliseconds age {};
};

AgedBeat takeBeat(std::string_view& text)
{
    AgedBeat aged;
    InstanceHeartbeat& beat = aged.beat;
    beat.address = static_cast<uint32_t>(take(text, 4));
    beat.domainIndex = static_cast<uint8_t>(take(text, 1));
    beat.linkCapacity10Mbps = static_cast<uint8_t>(take(text, 1));
    const uint64_t flags = take(text, 1);
    beat.isReady = (flags & readyFlag) != 0;
    beat.isLeaving = (flags & leavingFlag) != 0;
    aged.age = Milliseconds(static_cast<int64_t>(take(text, 1)) * ageUnitMs);
    beat.incarnation = take(text, 8);
    beat.counter = static_cast<uint32_t>(take(text, 4));
    return aged;
}

}

InstanceMembership::InstanceMembership(const Clock& clock, InstanceHeartbeat self)
    : clock(clock)
    , self(self)
{
}

void InstanceMembership::addAddress(uint32_t address)
{
    if (address == this->self.address || this->otherInstances.contains(address))
        return;
    InstanceState known;
    known.heartbeat.address = address;
    known.roseAt = this->clock.now();
    this->otherInstances.emplace(address, known);
}

bool InstanceMembership::isAlive(const InstanceState& known) const
{
    return known.hasHeartbeat && this->clock.now() - known.roseAt < failureTimeout;
}

Milliseconds InstanceMembership::heartbeatAge(const InstanceState& known) const
{
    return std::chrono::duration_cast<Milliseconds>(this->clock.now() - known.roseAt);
}

std::string InstanceMembership::domainDatagram() const
{
    std::string text = ownDatagram(this->self);
    size_t beats = 1;
    for (const auto& [address, known] : this->otherInstances) {
        if (known.heartbeat.domainIndex != this->self.domainIndex || !this->isAlive(known)
            || beats >= maximumHeartbeatsPerDatagram)
            continue;
        append(text, known.heartbeat, this->heartbeatAge(known));
        ++beats;
    }
    return text;
}

std::string InstanceMembership::nextDatagram()
{
    ++this->self.counter;
    std::string text = ownDatagram(this->self);
    if (this->otherInstances.empty())
        return text;
    auto entry = this->otherInstances.begin();
    std::advance(entry, this->rotationOffset % this->otherInstances.size());
    size_t beats = 1;
    for (size_t index = 0; index < this->otherInstances.size() && beats < maximumHeartbeatsPerDatagram; ++index) {
        if (this->isAlive(entry->second)) {
            append(text, entry->second.heartbeat, this->heartbeatAge(entry->second));
            ++beats;
        }
        ++this->rotationOffset;
        if (++entry == this->otherInstances.end())
            entry = this->otherInstances.begin();
    }
    return text;
}

bool InstanceMembership::receive(std::string_view datagram)
{
    if (!datagram.starts_with(magic))
        return false;
    datagram.remove_prefix(magic.size());
    if (datagram.empty() || datagram.size() % beatBytes != 0)
        return false;
    for (bool isSender = true; !datagram.empty(); isSender = false) {
        const AgedBeat aged = takeBeat(datagram);
        this->mergeHeartbeat(aged.beat, this->clock.now() - aged.age, isSender);
    }
    return true;
}

void InstanceMembership::mergeHeartbeat(const InstanceHeartbeat& beat, SteadyTime roseAt, bool isSender)
{
    if (beat.address == this->self.address)
        return;
    InstanceState& known = this->otherInstances[beat.address];
    const bool isNewer
        = std::tie(beat.incarnation, beat.counter) > std::tie(known.heartbeat.incarnation, known.heartbeat.counter);
    // A restart after the clock was set back has a lower incarnation; the sender itself is believed.
    const bool isRestart = isSender && beat.incarnation != known.heartbeat.incarnation && !this->isAlive(known);
    if (known.hasHeartbeat && !isNewer && !isRestart)
        return;
    if (isSender && (!known.hasHeartbeat || isRestart))
        this->newInstances.insert(beat.address);
    known.heartbeat = beat;
    known.hasHeartbeat = true;
    known.roseAt = roseAt;
}

std::vector<InstanceHeartbeat> InstanceMembership::aliveInstances() const
{
    std::vector<InstanceHeartbeat> beats { this->self };
    for (const auto& [address, known] : this->otherInstances) {
        if (this->isAlive(known))
            beats.push_back(known.heartbeat);
    }
    return beats;
}

std::vector<InstanceMembership::Datagram> InstanceMembership::nextGossipRound()
{
    std::vector<uint32_t> nearby;
    std::vector<uint32_t> unknown;
    std::map<uint8_t, std::vector<uint32_t>> elsewhere;
    std::map<uint8_t, std::vector<uint32_t>> aliveElsewhere;
    size_t aliveNearby = 1;
    for (const auto& [address, known] : this->otherInstances) {
        if (!known.hasHeartbeat) {
            unknown.push_back(address);
        } else if (known.heartbeat.domainIndex == this->self.domainIndex) {
            nearby.push_back(address);
            aliveNearby += this->isAlive(known) ? 1 : 0;
        } else {
            elsewhere[known.heartbeat.domainIndex].push_back(address);
            if (this->isAlive(known))
                aliveElsewhere[known.heartbeat.domainIndex].push_back(address);
        }
    }
    std::vector<Datagram> round;
    const std::string all = this->nextDatagram();
    for (const uint32_t target : chooseSome(nearby, nearbyTargets))
        round.push_back({ target, all });
    // Addresses of which nothing was heard may be long gone.
    for (const uint32_t target : chooseSome(unknown, unknownTargets))
        round.push_back({ target, ownDatagram(this->self) });
    for (const uint32_t target : this->newInstances)
        round.push_back({ target, all });
    this->newInstances.clear();
    const std::string own = this->domainDatagram();
    for (const auto& [domain, addresses] : elsewhere) {
        if (randomBelow(aliveNearby) >= domainSenders)
            continue;
        // Silent ones at times: they may have been cut off and come back.
        const bool triesSilent = randomBelow(silentTargetsOneIn) == 0 || !aliveElsewhere.contains(domain);
        const std::vector<uint32_t>& targets = triesSilent ? addresses : aliveElsewhere[domain];
        round.push_back({ targets[randomBelow(targets.size())], own });
    }
    return round;
}

std::vector<InstanceMembership::Datagram> InstanceMembership::announcement()
{
    ++this->self.counter;
    const std::string text = ownDatagram(this->self);
    std::vector<Datagram> datagrams;
    datagrams.reserve(this->otherInstances.size());
    for (const auto& [address, known] : this->otherInstances)
        datagrams.push_back({ address, text });
    return datagrams;
}

void InstanceMembership::removeExpired()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(
        this->otherInstances, [now](const auto& entry) { return now - entry.second.roseAt > removalTimeout; });
}

}
