#include <wagtailrack/edge/LoadExchange.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

namespace {

// A table is as old as one report and one table interval at most: about as long as a fast run.
constexpr Milliseconds reportInterval(150);
// Digests that are older than this make all instances send to the same region that seems to be free.
constexpr Milliseconds digestInterval(200);
// A hub that sent no table for this long is passed over for a while.
constexpr Milliseconds hubSilence(700);
constexpr Milliseconds passOverTime(4000);
// Reports and digests that came within this time make an instance answer them.
constexpr Milliseconds senderValidity(1000);
constexpr Milliseconds otherHubValidity(2500);

}

LoadExchange::LoadExchange(const Clock& clock, const EdgeSettings& settings, BackendFleet& fleet, ShiftLimiter& shifts,
    const InstanceMembership& instances)
    : clock(clock)
    , settings(settings)
    , fleet(fleet)
    , shiftLimiter(shifts)
    , membership(instances)
    , hub(clock)
{
}

std::vector<uint32_t> LoadExchange::hubCandidates(uint8_t domain) const
{
    // Instances with a fast link first, then by chance, the same for all.
    std::vector<std::pair<std::pair<int, uint64_t>, uint32_t>> ranked;
    for (const InstanceHeartbeat& beat : this->membership.aliveInstances()) {
        if (beat.domainIndex == domain && !beat.isLeaving)
            ranked.push_back({ { beat.linkCapacity10Mbps, hash64(std::to_string(beat.address)) }, beat.address });
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<uint32_t> addresses;
    addresses.reserve(ranked.size());
    for (const auto& [rank, address] : ranked)
        addresses.push_back(address);
    return addresses;
}

uint32_t LoadExchange::chooseHub()
{
    const SteadyTime now = this->clock.now();
    const uint32_t self = this->membership.ownHeartbeat().address;
    if (this->currentHub != 0 && this->currentHub != self && now - this->hubAnsweredAt > hubSilence)
        this->unresponsiveHubs[this->currentHub] = now + passOverTime;
    std::erase_if(this->unresponsiveHubs, [now](const auto& entry) { return entry.second <= now; });
    uint32_t chosen = self;
    for (const uint32_t address : this->hubCandidates(this->membership.ownHeartbeat().domainIndex)) {
        if (this->unresponsiveHubs.contains(address))
            continue;
        chosen = address;
        break;
    }
    if (chosen != this->currentHub)
        this->hubAnsweredAt = now;
    this->currentHub = chosen;
    return chosen;
}

void LoadExchange::queueReport(std::vector<Datagram>& due)
{
    InstanceLoadReport report = this->fleet.collectReport();
    const ShiftLimiter::SendCounts sends = this->shiftLimiter.collectSendCounts();
    report.inRegionRequests = sends.inRegionRequests;
    report.crossRegionRequests = sends.crossRegionRequests;
    const uint32_t target = this->chooseHub();
    const uint32_t self = this->membership.ownHeartbeat().address;
    if (target == self) {
        this->hub.acceptReport(self, report);
        this->reportingInstances[self] = this->clock.now();
    } else {
        due.push_back({ target, encodeLoadMessage(report) });
    }
}

void LoadExchange::queueStatusTables(std::vector<Datagram>& due)
{
    for (const ServerStatusTable& table : this->hub.statusTables()) {
        const std::string bytes = encodeLoadMessage(table);
        for (const auto& [address, heardAt] : this->reportingInstances) {
            if (address == this->membership.ownHeartbeat().address)
                this->applyStatusTable(table);
            else
                due.push_back({ address, bytes });
        }
    }
}

void LoadExchange::queueDomainSummaries(std::vector<Datagram>& due)
{
    const uint32_t self = this->membership.ownHeartbeat().address;
    // The hubs as this instance sees them, and those that act as hubs.
    std::vector<std::pair<uint32_t, bool>> targets;
    for (size_t domain = 0; domain < this->settings.regionOfDomain.size(); ++domain) {
        const bool isNearby = this->settings.regionOfDomainIndex(domain) == this->settings.region;
        const std::vector<uint32_t> hubs = this->hubCandidates(static_cast<uint8_t>(domain));
        for (size_t index = 0; index < hubs.size(); ++index) {
            // Also one of the own domain, where some instances may have passed over the first.
            if (hubs[index] != self && (index == 0 || this->otherHubs.contains(hubs[index])))
                targets.emplace_back(hubs[index], isNearby);
        }
    }
    for (const bool isNearby : { true, false }) {
        for (const DomainLoadSummary& digest : this->hub.domainSummaries(isNearby)) {
            const std::string bytes = encodeLoadMessage(digest);
            for (const auto& [address, isTargetNearby] : targets) {
                if (isTargetNearby == isNearby)
                    due.push_back({ address, bytes });
            }
        }
    }
}

std::vector<LoadExchange::Datagram> LoadExchange::collectDueDatagrams()
{
    std::vector<Datagram> due;
    const SteadyTime now = this->clock.now();
    std::erase_if(this->reportingInstances, [now](const auto& entry) { return now - entry.second > senderValidity; });
    std::erase_if(this->otherHubs, [now](const auto& entry) { return now - entry.second > otherHubValidity; });
    if (now < this->nextReportAt)
        return due;
    this->nextReportAt = now + reportInterval;
    this->queueReport(due);
    if (this->reportingInstances.empty())
        return due;
    this->queueStatusTables(due);
    if (now >= this->nextSummaryAt) {
        this->nextSummaryAt = now + digestInterval;
        this->queueDomainSummaries(due);
    }
    return due;
}

void LoadExchange::applyStatusTable(const ServerStatusTable& table)
{
    this->fleet.applyStatusTable(table);
    this->shiftLimiter.setCrossRegionRatios({ table.recentCrossRegionPermille / 1000.0,
        table.baselineCrossRegionPermille / 1000.0, table.isRegionStarting });
    this->hubAnsweredAt = this->clock.now();
}

bool LoadExchange::isInOwnRegion(uint32_t sender) const
{
    for (const InstanceHeartbeat& beat : this->membership.aliveInstances()) {
        if (beat.address == sender)
            return this->settings.regionOfDomainIndex(beat.domainIndex) == this->settings.region;
    }
    return false;
}

bool LoadExchange::receive(uint32_t sender, std::string_view bytes)
{
    const SteadyTime now = this->clock.now();
    if (const auto report = decodeLoadMessage<InstanceLoadReport>(bytes)) {
        this->hub.acceptReport(sender, *report);
        this->reportingInstances[sender] = now;
        return true;
    }
    if (const auto table = decodeLoadMessage<ServerStatusTable>(bytes)) {
        // A table of a former hub would mix two views.
        if (sender == this->currentHub)
            this->applyStatusTable(*table);
        return true;
    }
    if (const auto digest = decodeLoadMessage<DomainLoadSummary>(bytes)) {
        this->hub.acceptDomainSummary(sender, *digest, this->isInOwnRegion(sender));
        this->otherHubs[sender] = now;
        return true;
    }
    return false;
}

}
