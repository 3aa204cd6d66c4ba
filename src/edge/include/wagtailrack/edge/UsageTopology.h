#pragma once

#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/LoadExchange.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailrack::edge {

// What UsageExchange knows of the other instances. Lives as long as the process.
class UsageTopology {
public:
    virtual ~UsageTopology() = default;
    virtual uint32_t ownAddress() const = 0;
    virtual size_t ownDomainIndex() const = 0;
    // Failure domains of the system, whether or not they have instances now; the same on all instances.
    virtual size_t domainCount() const = 0;
    virtual bool isInOwnRegion(size_t domainIndex) const = 0;
    // Instances of a failure domain, in order of preference as its hub.
    virtual std::vector<uint32_t> hubCandidates(size_t domainIndex) const = 0;
    // Whether the list of the own domain's instances is complete enough to compute a share.
    virtual bool isSettled() const = 0;
};

// UsageTopology of a running instance: its settings and its view of the membership.
class MembershipUsageTopology final : public UsageTopology {
public:
    MembershipUsageTopology(
        const EdgeSettings& settings, const InstanceMembership& membership, const LoadExchange& loadExchange)
        : settings(settings)
        , membership(membership)
        , loadExchange(loadExchange)
    {
    }

    uint32_t ownAddress() const override { return this->membership.ownHeartbeat().address; }
    size_t ownDomainIndex() const override { return this->membership.ownHeartbeat().domainIndex; }
    size_t domainCount() const override { return this->settings.regionOfDomain.size(); }
    bool isInOwnRegion(size_t domainIndex) const override
    {
        return this->settings.regionOfDomainIndex(domainIndex) == this->settings.region;
    }
    std::vector<uint32_t> hubCandidates(size_t domainIndex) const override
    {
        return this->loadExchange.hubCandidates(static_cast<uint8_t>(domainIndex));
    }
    bool isSettled() const override { return this->membership.isDomainSettled(); }

private:
    const EdgeSettings& settings;
    const InstanceMembership& membership;
    const LoadExchange& loadExchange;
};

}
