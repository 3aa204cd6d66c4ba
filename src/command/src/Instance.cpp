#include "Instance.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>
#include <wagtailrack/connection/HttpConnection.h>

#include <glog/logging.h>

namespace wagtailrack::command {

namespace {

constexpr size_t processIdBytes = 8;
// Above the longest time between two probes of one peer, so that peers keep their connections.
constexpr int64_t peerIdleMs = 120'000;

std::string queryText(const connection::HttpRequest& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

}

Instance::Instance(const Clock& source, process::Settings instanceSettings)
    : clock(source)
    , settings(std::move(instanceSettings))
    , timeline(clock, static_cast<size_t>(this->settings.timelineEvents))
    , memberEvents(this->timeline)
    , self(this->ownMember())
    , membership(clock, this->self,
          [this](process::MemberViewPointer view) {
              this->memberEvents.observe(std::move(view));
              this->updateRequestPath();
          })
    , store(this->settings.storeAddress)
    , instanceList(this->settings.instanceListAddress)
    , peers(clock, this->membership, this->peerTraffic, this->peerHooks())
    , orders(clock, this->settings.name, this->self.processId, this->settings.orderKeyValidityMs)
    , claims(clock, this->store, this->settings.name, this->self.processId)
    , orderGate(clock, this->orders, this->claims, this->self.processId)
    , crashGuard(clock)
    , lookups(
          clock, [this] { return this->configuration.active(); }, [this] { return this->membership.view(); },
          Milliseconds(this->settings.lookupValidityMs))
    , requestPath({ clock, this->configuration, this->timeline, this->metrics, this->orderGate, this->crashGuard,
          this->self, [this] { return this->membership.view(); },
          [this](const process::ServerDeath& death) {
              this->peers.tellCrashes({ { death }, {} });
          } })
    , admin({ clock, this->settings, this->self, this->configuration, this->timeline, this->metrics, this->orders,
          [this] { return this->membership.view(); }, [this] { return this->state(); },
          [this](const connection::HttpRequest& request) { return this->answerLookup(request); } })
    , callerServer({ .maxConnections = this->settings.maxConnections },
          [this](const connection::HttpRequest& request) { return this->handleCaller(request); })
    , peerServer({ .idleMs = peerIdleMs },
          [this](const connection::HttpRequest& request) { return this->peers.service().handle(request); })
{
}

process::Member Instance::ownMember() const
{
    process::Member member;
    member.name = this->settings.name;
    member.processId = randomHex(processIdBytes);
    member.failureDomain = this->settings.failureDomain;
    member.callerAddress = this->settings.callerAddress;
    member.peerAddress = this->settings.peerAddress;
    // A restarted process is newer than its predecessor. If the clock has gone back, it learns of the higher
    // incarnation from its peers and raises its own.
    member.incarnation = static_cast<uint64_t>(toUnixMilliseconds(this->clock.wallNow()));
    return member;
}

process::PeerHooks Instance::peerHooks()
{
    process::PeerHooks hooks;
    hooks.activeVersion = [this] { return this->configuration.activeId(); };
    hooks.active = [this] { return this->configuration.active(); };
    hooks.onVersionSeen
        = [this](const version::VersionId& id, const Endpoint& peer) { this->configuration.seen(id, peer); };
    hooks.onCrashNews = [this](const process::CrashNews& news) { this->recordCrashNews(news); };
    hooks.knownCrashes = [this] { return process::CrashNews { {}, this->crashGuard.refusals() }; };
    return hooks;
}

void Instance::recordCrashNews(const process::CrashNews& news)
{
    for (const process::ServerDeath& death : news.deaths) {
        if (this->crashGuard.recordDeath(death))
            this->timeline.record(process::EventKind::CrashGuard, std::to_string(death.fingerprint),
                "server=" + death.server + " source=peer");
    }
    for (const process::RefusedFingerprint& refused : news.refused)
        this->crashGuard.adopt(refused);
}

void Instance::updateRequestPath()
{
    if (!this->configuration.active())
        return;
    this->requestPath.update(*this->membership.view());
    SteadyTime notYet = SteadyTime::max();
    this->slotsGrownAt.compare_exchange_strong(notYet, this->clock.now() + process::SlotShares::growthDelay);
}

ServingState Instance::state() const
{
    if (this->isLeaving)
        return ServingState::Leaving;
    if (!this->configuration.active())
        return ServingState::WaitingForTables;
    return this->clock.now() < this->slotsGrownAt.load() ? ServingState::WaitingForSlots : ServingState::Serving;
}

Status Instance::start()
{
    connection::setLocalAddress(this->settings.localAddress);
    if (auto status = this->peerServer.start(this->settings.peerListenAddress); !status)
        return status;
    if (auto status = this->callerServer.start(this->settings.callerListenAddress); !status)
        return status;
    this->configuration.start({ this->clock, this->timeline, this->membership, this->store, this->peerTraffic,
        [this](const version::VersionId& id) { this->peers.announce(id); },
        [this](const version::TableVersionPointer&) { this->updateRequestPath(); } });
    this->peers.start(this->instanceList, this->settings.seeds);
    this->timeline.record(process::EventKind::Process, this->settings.name, "started");
    LOG(INFO) << "event=started name=" << this->settings.name << " failure_domain=" << this->settings.failureDomain
              << " caller_address=" << this->settings.callerAddress.toString()
              << " peer_address=" << this->settings.peerAddress.toString();
    return success();
}

SteadyTime Instance::leave()
{
    this->isLeaving = true;
    this->timeline.record(process::EventKind::Process, this->settings.name, "leaving");
    this->peers.leave();
    // Other instances may name this one until they have learned of its leaving.
    const SteadyTime lookupsEnd
        = this->clock.now() + Milliseconds(this->settings.leaveNoticeMs + this->settings.lookupValidityMs);
    return std::max(lookupsEnd, this->orders.lastKeyExpiry());
}

void Instance::stop()
{
    this->configuration.requestStop();
    this->callerServer.stop();
    this->configuration.stop();
    this->peers.stop();
    this->peerServer.stop();
    LOG(INFO) << "event=stopped name=" << this->settings.name;
}

connection::HttpResponse Instance::handleCaller(const connection::HttpRequest& request)
{
    if (AdminService::owns(request.path))
        return this->admin.handle(request);
    return this->requestPath.handle(request);
}

connection::HttpResponse Instance::answerLookup(const connection::HttpRequest& request)
{
    std::string block = queryText(request, "block");
    // A caller that does not say where it is asks for itself.
    if (block.empty())
        block = request.remoteHost;
    auto answer = this->lookups.answer(queryText(request, "service"), block);
    if (answer)
        return connection::HttpResponse::json(200, std::move(answer).value());
    return AdminService::refuse(answer.error());
}

}
