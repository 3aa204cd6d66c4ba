#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/LoadHub.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/edge/RegionShares.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Exchanges load information about backend servers between instances. An instance sends few requests to each of many
// servers, so that its own requests do not show the load of a server: only the number of requests that all instances
// together have in flight reveals a queue.
//
// Each instance reports to one instance of its failure domain, the hub. Hubs send each other the in-flight counts of
// their domains, and send the totals to the instances of their own domain. An instance that receives no totals from its
// hub switches to the next candidate; any instance that receives reports acts as a hub. Serving requests does not
// depend on the exchange: without totals, an instance uses only its own observations. Lives as long as the process;
// must be used from one thread only; does no input or output.
class LoadExchange {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    LoadExchange(const Clock& clock, const EdgeSettings& settings, BackendFleet& fleet, ShiftLimiter& shiftLimiter,
        const InstanceMembership& membership, RegionShares* regionShares = nullptr);

    void setKneeHook(ServerCapacityTracker::KneeHook hook) { this->hub.capacities().setKneeHook(std::move(hook)); }

    // Returns the datagrams that are due. Must be called often; most calls return none.
    std::vector<Datagram> collectDueDatagrams();
    // Processes a datagram; returns false if it is malformed.
    bool receive(uint32_t sender, std::string_view bytes);

    // Instances of a failure domain, in order of preference as its hub.
    std::vector<uint32_t> hubCandidates(uint8_t domainIndex) const;

private:
    uint32_t chooseHub();
    void queueReport(std::vector<Datagram>& due);
    void queueStatusTables(std::vector<Datagram>& due);
    void queueDomainSummaries(std::vector<Datagram>& due);
    void applyStatusTable(const ServerStatusTable& table);
    bool isInOwnRegion(uint32_t sender) const;

    const Clock& clock;
    const EdgeSettings& settings;
    BackendFleet& fleet;
    ShiftLimiter& shiftLimiter;
    const InstanceMembership& membership;
    // Null: the demand of the region is not used.
    RegionShares* regionShares;
    LoadHub hub;
    SteadyTime nextReportAt;
    SteadyTime nextSummaryAt;
    // The hub that this instance reports to, and when it last sent a status table or, before its first one, was chosen.
    uint32_t currentHub = 0;
    SteadyTime hubAnsweredAt;
    // Hubs that sent no status table, with the time until which they are not chosen.
    std::map<uint32_t, SteadyTime> unresponsiveHubs;
    // When each instance last reported to this one, and when each other hub last sent a summary.
    std::map<uint32_t, SteadyTime> reportingInstances;
    std::map<uint32_t, SteadyTime> otherHubs;
};

}
