#pragma once

#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/LoadHub.h>
#include <wagtailrack/edge/LoadMessages.h>
#include <wagtailrack/edge/ShiftLimiter.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Shares what the instances know of the backend servers. An instance sends few requests to each of many servers, so
// that its own view of their load is blind: what all instances have in flight together is what tells a queue.
//
// Each instance reports to one instance of its failure domain, the hub. Hubs tell each other what their domains have
// in flight and tell the instances of their own domain the totals. An instance that gets no totals from its hub turns
// to the next one; any instance that is reported to acts as a hub. Nothing here is needed to serve: without totals an
// instance goes by what it sees itself. Lives for the process; used by one thread; does no input or output.
class LoadExchange {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    LoadExchange(const Clock& clock, const EdgeSettings& settings, BackendFleet& fleet, ShiftLimiter& shifts,
        const InstanceMembership& instances);

    // The datagrams that are due. To be called often; does nothing most of the time.
    std::vector<Datagram> collectDueDatagrams();
    // Takes a datagram; false when it is malformed.
    bool receive(uint32_t sender, std::string_view bytes);

    // Instances of a failure domain in the order in which they serve as its hub.
    std::vector<uint32_t> hubCandidates(uint8_t domain) const;

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
    LoadHub hub;
    SteadyTime nextReportAt;
    SteadyTime nextSummaryAt;
    // The hub that is reported to, since when, and its last answer.
    uint32_t currentHub = 0;
    SteadyTime hubAnsweredAt;
    // Hubs that did not answer, until when they are passed over.
    std::map<uint32_t, SteadyTime> unresponsiveHubs;
    // When this instance was last reported to by each other one, and when other hubs sent digests.
    std::map<uint32_t, SteadyTime> reportingInstances;
    std::map<uint32_t, SteadyTime> otherHubs;
};

}
