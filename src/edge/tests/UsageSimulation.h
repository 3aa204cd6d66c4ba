#pragma once

#include "FakeClock.h"

#include <wagtailrack/edge/UsageExchange.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

// Instances that exchange usage messages over simulated links, and callers of one workspace.
namespace wagtailrack::edge::simulation {

class UsageFleet {
public:
    static constexpr int64_t stepMs = 10;

    struct Instance final : UsageTopology {
        Instance(UsageFleet& owner, size_t position)
            : fleet(owner)
            , index(position)
            , startedAt(owner.clock.now())
            , exchange(owner.clock, this->limiter, *this, owner.bounds)
        {
            this->exchange.setWorkspaces({ owner.workspace });
        }

        uint32_t ownAddress() const override { return static_cast<uint32_t>(this->index + 1); }
        size_t ownDomainIndex() const override { return this->index % this->fleet.domainTotal; }
        size_t domainCount() const override { return this->fleet.domainTotal; }
        bool isInOwnRegion(size_t domainIndex) const override
        {
            return this->fleet.regionOf(domainIndex) == this->fleet.regionOf(this->index);
        }
        bool isSettled() const override
        {
            return this->fleet.clock.now() - this->startedAt >= InstanceMembership::domainSettlingTime;
        }
        std::vector<uint32_t> hubCandidates(size_t domainIndex) const override
        {
            std::vector<uint32_t> addresses;
            for (size_t other = domainIndex; other < this->fleet.instances.size(); other += this->fleet.domainTotal) {
                if (this->fleet.isSeen(this->index, other))
                    addresses.push_back(static_cast<uint32_t>(other + 1));
            }
            return addresses;
        }

        UsageFleet& fleet;
        size_t index;
        SteadyTime startedAt;
        SteadyTime pausedUntil;
        UsageLimiter limiter { this->fleet.clock };
        UsageExchange exchange;
        std::deque<SteadyTime> waitsUntil;
    };

    UsageFleet(size_t instanceCount, size_t domains, size_t regions, Workspace limitedWorkspace, uint32_t seed)
        : domainTotal(domains)
        , regionTotal(regions)
        , workspace(std::move(limitedWorkspace))
        , groups(instanceCount, 0)
        , changedAt(instanceCount)
        , deadAt(instanceCount)
        , random(seed)
    {
        for (size_t index = 0; index < instanceCount; ++index)
            this->instances.push_back(std::make_unique<Instance>(*this, index));
    }

    size_t regionOf(size_t index) const { return index % this->domainTotal % this->regionTotal; }

    // The membership notices a death or a partition after 3 s.
    bool isSeen(size_t viewer, size_t other) const
    {
        const SteadyTime now = this->clock.now();
        const bool isDead = !this->instances[other] && now - this->deadAt[other] > Milliseconds(3000);
        const bool isCutOff = this->groups[viewer] != this->groups[other]
            && now - std::max(this->changedAt[viewer], this->changedAt[other]) > Milliseconds(3000);
        return !isDead && !isCutOff;
    }

    void setGroup(size_t index, int group)
    {
        this->groups[index] = group;
        this->changedAt[index] = this->clock.now();
    }

    void kill(size_t index)
    {
        this->instances[index].reset();
        this->deadAt[index] = this->clock.now();
    }
    void start(size_t index) { this->instances[index] = std::make_unique<Instance>(*this, index); }
    void pause(size_t index, int64_t ms)
    {
        if (this->instances[index])
            this->instances[index]->pausedUntil = this->clock.now() + Milliseconds(ms);
    }

    void setWorkspace(const Workspace& changed)
    {
        this->workspace = changed;
        for (const auto& instance : this->instances) {
            if (instance)
                instance->exchange.setWorkspaces({ changed });
        }
    }

    // Runs for `ms`; `weights` are the instances' parts of `perSecond` requests.
    void run(int64_t ms, double perSecond, const std::vector<double>& weights)
    {
        std::discrete_distribution<size_t> chooseInstance(weights.begin(), weights.end());
        std::poisson_distribution<int> arrivalCount(perSecond * stepMs / 1000);
        for (int64_t passed = 0; passed < ms; passed += stepMs) {
            this->clock.advance(Milliseconds(stepMs));
            this->deliver();
            const int arrivals = perSecond > 0 ? arrivalCount(this->random) : 0;
            for (int count = 0; count < arrivals; ++count)
                this->arrive(chooseInstance(this->random));
            for (size_t index = 0; index < this->instances.size(); ++index)
                this->advance(index);
        }
    }

    // Lets the requests that wait be decided, without new ones.
    void finishWaiting() { this->run(UsageLimiter::maximumWait.count(), 0, { 1 }); }

    double bound() const
    {
        return (this->workspace.requestsPerSecond * static_cast<double>(this->bounds.usageWindowMs) / 1000
                   + this->workspace.burst)
            * (1 + this->bounds.usageOverage)
            + this->bounds.usageSlack;
    }

    void resetCounts()
    {
        this->countedSince = this->clock.now();
        this->asked = 0;
        this->served = 0;
        this->mostInWindow = 0;
    }

    // What was served of the requests that the workspace may send in the time since resetCounts(). Random arrivals
    // exceed a rate at times, so that not all of what is asked for at the limit is within it.
    double servedShareOfLimit() const
    {
        const double elapsed = std::chrono::duration<double>(this->clock.now() - this->countedSince).count();
        const double allowed = std::min(static_cast<double>(this->asked), this->workspace.requestsPerSecond * elapsed);
        return static_cast<double>(this->served) / allowed;
    }

    FakeClock clock;
    FleetBounds bounds;
    size_t domainTotal;
    size_t regionTotal;
    Workspace workspace;
    std::vector<std::unique_ptr<Instance>> instances;
    double lossProbability = 0;
    // Added to the latency of each datagram, up to this much.
    int64_t extraDelayMs = 0;
    int64_t asked = 0;
    int64_t served = 0;
    size_t mostInWindow = 0;

private:
    struct Delivery {
        size_t sender = 0;
        size_t target = 0;
        std::string bytes;
    };

    bool isRunning(size_t index) const
    {
        return this->instances[index] && this->clock.now() >= this->instances[index]->pausedUntil;
    }

    void sendDue(size_t index)
    {
        for (UsageExchange::Datagram& datagram : this->instances[index]->exchange.collectDueDatagrams()) {
            const size_t target = datagram.target - 1;
            if (std::bernoulli_distribution(this->lossProbability)(this->random))
                continue;
            int64_t delayMs = this->regionOf(index) == this->regionOf(target) ? 2 : 55;
            if (this->extraDelayMs > 0)
                delayMs += std::uniform_int_distribution<int64_t>(0, this->extraDelayMs)(this->random);
            this->deliveries.emplace(
                this->clock.now() + Milliseconds(delayMs), Delivery { index, target, std::move(datagram.bytes) });
        }
    }

    void deliver()
    {
        std::vector<Delivery> delayed;
        while (!this->deliveries.empty() && this->deliveries.begin()->first <= this->clock.now()) {
            Delivery delivery = std::move(this->deliveries.begin()->second);
            this->deliveries.erase(this->deliveries.begin());
            if (!this->instances[delivery.target] || this->groups[delivery.sender] != this->groups[delivery.target])
                continue;
            // The socket of a paused process keeps what arrives.
            if (!this->isRunning(delivery.target)) {
                delayed.push_back(std::move(delivery));
                continue;
            }
            this->instances[delivery.target]->exchange.receive(
                static_cast<uint32_t>(delivery.sender + 1), delivery.bytes);
            this->sendDue(delivery.target);
        }
        for (Delivery& delivery : delayed)
            this->deliveries.emplace(this->clock.now() + Milliseconds(stepMs), std::move(delivery));
    }

    void arrive(size_t index)
    {
        ++this->asked;
        if (!this->isRunning(index))
            return;
        const UsageDecision decision = this->instances[index]->limiter.admit(this->workspace);
        if (decision.isAllowed)
            this->recordServed(this->clock.now());
        if (!decision.isPending)
            return;
        this->instances[index]->waitsUntil.push_back(decision.waitsUntil);
        // A request that waits makes the instance send what is due.
        this->sendDue(index);
    }

    void advance(size_t index)
    {
        if (!this->isRunning(index))
            return;
        Instance& instance = *this->instances[index];
        std::erase_if(instance.waitsUntil, [this, &instance](SteadyTime until) {
            const UsageDecision decision = instance.limiter.continueWaiting(this->workspace, until);
            if (decision.isAllowed)
                this->recordServed(until - UsageLimiter::maximumWait);
            return !decision.isPending;
        });
        // Instances check every 50 ms for datagrams that are due, at different times.
        if ((this->clock.now().time_since_epoch() / Milliseconds(stepMs) + static_cast<int64_t>(index)) % 5 == 0)
            this->sendDue(index);
    }

    void recordServed(SteadyTime arrivedAt)
    {
        const SteadyTime now = this->clock.now();
        if (arrivedAt >= this->countedSince)
            ++this->served;
        this->recentlyServed.push_back(now);
        while (now - this->recentlyServed.front() >= Milliseconds(this->bounds.usageWindowMs))
            this->recentlyServed.pop_front();
        this->mostInWindow = std::max(this->mostInWindow, this->recentlyServed.size());
    }

    std::vector<int> groups;
    std::vector<SteadyTime> changedAt;
    std::vector<SteadyTime> deadAt;
    std::mt19937 random;
    std::multimap<SteadyTime, Delivery> deliveries;
    std::deque<SteadyTime> recentlyServed;
    SteadyTime countedSince;
};

}
