#include <wagtailrack/request/RequestPath.h>

#include <wagtailrack/process/Steering.h>
#include <wagtailrack/request/RequestSession.h>

namespace wagtailrack::request {

RequestPath::RequestPath(RequestPathSources sources)
    : configuration(sources.configuration)
    , self(sources.self)
    , shares(sources.clock)
    , shiftGate(sources.clock)
    , serverStates(sources.clock, sources.timeline, this->shares)
    , probes(sources.clock, this->serverStates, this->shares)
    , connections(sources.clock)
    , admission(sources.clock, this->serverStates)
    , retryBudgets(sources.clock)
    , linkBudget(sources.clock)
    , spillPolicy(process::makeSpillPolicy(process::SpillStrategy::AfterFullQueue, sources.clock))
    , services { sources.clock, sources.configuration, sources.timeline, sources.metrics, this->serverStates,
        this->shiftGate, sources.orders, sources.crashGuard, this->connections, this->admission, this->retryBudgets,
        this->callerWatch, this->linkBudget, *this->spillPolicy, sources.self, std::move(sources.memberView),
        std::move(sources.announceDeath) }
{
}

connection::HttpResponse RequestPath::handle(const connection::HttpRequest& request)
{
    return std::make_shared<RequestSession>(this->services, request)->run();
}

void RequestPath::update(const process::MemberView& view)
{
    const version::TableVersionPointer active = this->configuration.active();
    if (!active)
        return;
    const std::lock_guard lock(this->updateMutex);
    this->shares.update(active->tables, view, this->self);
    const process::Steering::Rank rank = process::Steering::rankOf(view, this->self);
    this->shiftGate.setRank(rank.rank, rank.count);
    this->serverStates.update(active->tables);
    this->linkBudget.update(active->tables);
    this->probes.update(active->tables, this->self.failureDomain);
    this->admission.dispatch();
}

}
