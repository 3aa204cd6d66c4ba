#include <wagtailrack/edge/LoadExchange.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <utility>

namespace wagtailrack::edge {

namespace {

// The counts in a status table are at most one report interval and one table interval old: about the duration of a fast
// request. Tables are sent at the report interval.
constexpr Milliseconds reportInterval(150);
// With older summaries, all instances would send to the same region, which only appears to have free servers.
constexpr Milliseconds summaryInterval(200);
// A hub that sent no status table for the first time span is not chosen for the second.
constexpr Milliseconds hubTimeout(700);
constexpr Milliseconds hubExclusionTime(4000);
// An instance sends status tables to instances that reported, and summaries to lower-ranked hubs that sent one, within
// these times.
constexpr Milliseconds reportingInstanceValidity(1000);
constexpr Milliseconds otherHubValidity(2500);

}

LoadExchange::LoadExchange(const Clock& clock, const EdgeSettings& settings, BackendFleet& fleet,
    ShiftLimiter& shiftLimiter, const InstanceMembership& membership, RegionShares* regionShares)
    : clock(clock)
    , settings(settings)
    , fleet(fleet)
    , shiftLimiter(shiftLimiter)
    , membership(membership)
    , regionShares(regionShares)
    , hub(clock)
{
}

std::vector<uint32_t> LoadExchange::hubCandidates(uint8_t domainIndex) const
{
    // Instances with a fast link first; those with equal links in a pseudo-random order that is the same on all
    // instances.
    std::vector<std::pair<std::pair<int, uint64_t>, uint32_t>> ranked;
    for (const InstanceHeartbeat& heartbeat : this->membership.aliveInstances()) {
        if (heartbeat.domainIndex == domainIndex && !heartbeat.isLeaving)
            ranked.push_back(
                { { heartbeat.linkCapacity10Mbps, hash64(std::to_string(heartbeat.address)) }, heartbeat.address });
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
    const uint32_t ownAddress = this->membership.ownHeartbeat().address;
    if (this->currentHub != 0 && this->currentHub != ownAddress && now - this->hubAnsweredAt > hubTimeout)
        this->unresponsiveHubs[this->currentHub] = now + hubExclusionTime;
    std::erase_if(this->unresponsiveHubs, [now](const auto& entry) { return entry.second <= now; });
    uint32_t chosen = ownAddress;
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
    const ShiftLimiter::SendCounts sendCounts = this->shiftLimiter.collectSendCounts();
    report.inRegionRequests = sendCounts.inRegionRequests;
    report.crossRegionRequests = sendCounts.crossRegionRequests;
    report.refusedRequests = sendCounts.refusedRequests;
    const uint32_t target = this->chooseHub();
    const uint32_t ownAddress = this->membership.ownHeartbeat().address;
    if (target == ownAddress) {
        this->hub.acceptReport(ownAddress, report);
        this->reportingInstances[ownAddress] = this->clock.now();
    } else {
        due.push_back({ target, encodeLoadMessage(report) });
    }
}

void LoadExchange::queueStatusTables(std::vector<Datagram>& due)
{
    std::vector<ServerStatusTable> tables = this->hub.statusTables();
    tables.front().regionDemand = sumRegionDemand(this->fleet, this->hub.ownRegionInFlight());
    for (const ServerStatusTable& table : tables) {
        const std::string bytes = encodeLoadMessage(table);
        for (const auto& [address, reportedAt] : this->reportingInstances) {
            if (address == this->membership.ownHeartbeat().address)
                this->applyStatusTable(table);
            else
                due.push_back({ address, bytes });
        }
    }
}

void LoadExchange::queueDomainSummaries(std::vector<Datagram>& due)
{
    const uint32_t ownAddress = this->membership.ownHeartbeat().address;
    // The preferred hub of each failure domain, and other instances that act as hubs; true if of the own region.
    std::vector<std::pair<uint32_t, bool>> targets;
    for (size_t domainIndex = 0; domainIndex < this->settings.regionOfDomain.size(); ++domainIndex) {
        const bool isOwnRegion = this->settings.regionOfDomainIndex(domainIndex) == this->settings.region;
        const std::vector<uint32_t> hubs = this->hubCandidates(static_cast<uint8_t>(domainIndex));
        for (size_t index = 0; index < hubs.size(); ++index) {
            // This includes hubs of the own domain, where some instances may have switched from the preferred hub.
            if (hubs[index] != ownAddress && (index == 0 || this->otherHubs.contains(hubs[index])))
                targets.emplace_back(hubs[index], isOwnRegion);
        }
    }
    for (const bool isOwnRegion : { true, false }) {
        for (const DomainLoadSummary& summary : this->hub.domainSummaries(isOwnRegion)) {
            const std::string bytes = encodeLoadMessage(summary);
            for (const auto& [address, isTargetInOwnRegion] : targets) {
                if (isTargetInOwnRegion == isOwnRegion)
                    due.push_back({ address, bytes });
            }
        }
    }
}

std::vector<LoadExchange::Datagram> LoadExchange::collectDueDatagrams()
{
    std::vector<Datagram> due;
    const SteadyTime now = this->clock.now();
    std::erase_if(
        this->reportingInstances, [now](const auto& entry) { return now - entry.second > reportingInstanceValidity; });
    std::erase_if(this->otherHubs, [now](const auto& entry) { return now - entry.second > otherHubValidity; });
    if (now < this->nextReportAt)
        return due;
    this->nextReportAt = now + reportInterval;
    this->queueReport(due);
    if (this->reportingInstances.empty())
        return due;
    this->queueStatusTables(due);
    if (now >= this->nextSummaryAt) {
        this->nextSummaryAt = now + summaryInterval;
        this->queueDomainSummaries(due);
    }
    return due;
}

void LoadExchange::applyStatusTable(const ServerStatusTable& table)
{
    this->fleet.applyStatusTable(table);
    this->shiftLimiter.setCrossRegionRatios({ table.recentCrossRegionPermille / 1000.0,
        table.baselineCrossRegionPermille / 1000.0, table.isRegionStarting });
    if (this->regionShares)
        this->regionShares->setDemand(table.regionDemand, table.refusedPermille / 1000.0);
    this->hubAnsweredAt = this->clock.now();
}

bool LoadExchange::isInOwnRegion(uint32_t sender) const
{
    for (const InstanceHeartbeat& heartbeat : this->membership.aliveInstances()) {
        if (heartbeat.address == sender)
            return this->settings.regionOfDomainIndex(heartbeat.domainIndex) == this->settings.region;
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
        // Tables of a former hub are ignored: mixed with those of the current one they would give inconsistent totals.
        if (sender == this->currentHub)
            this->applyStatusTable(*table);
        return true;
    }
    if (const auto summary = decodeLoadMessage<DomainLoadSummary>(bytes)) {
        this->hub.acceptDomainSummary(sender, *summary, this->isInOwnRegion(sender));
        this->otherHubs[sender] = now;
        return true;
    }
    return false;
}

}
