#pragma once

#include <wagtailrack/process/ServerProbes.h>
#include <wagtailrack/process/SlotShares.h>
#include <wagtailrack/request/RequestServices.h>

namespace wagtailrack::request {

// What the request path needs from the rest of the process; all of it outlives the path.
struct RequestPathSources {
    const Clock& clock;
    process::ConfigurationFollower& configuration;
    process::Timeline& timeline;
    process::Metrics& metrics;
    process::OrderGate& orders;
    process::CrashGuard& crashGuard;
    process::Member self;
    std::function<process::MemberViewPointer()> memberView;
    std::function<void(const process::ServerDeath&)> announceDeath = nullptr;
};

// All that one instance needs to run requests, with the state that outlives them. Lives for the process; handle() may
// be called by any thread.
//
//     RequestPath path(sources);
//     path.update(*view); // after each change of the tables or the view
//     HttpServer server({}, [&path](const HttpRequest& request) { return path.handle(request); });
class RequestPath {
public:
    explicit RequestPath(RequestPathSources sources);

    connection::HttpResponse handle(const connection::HttpRequest& request);

    // Takes the active tables and the view of the members: shares of slots, rank in the shift gate, server states and
    // probes. Does nothing before there are tables.
    void update(const process::MemberView& view);

    process::ServerStates& servers() noexcept { return this->serverStates; }

private:
    std::mutex updateMutex;
    process::ConfigurationFollower& configuration;
    const process::Member self;
    process::SlotShares shares;
    process::ShiftGate shiftGate;
    process::ServerStates serverStates;
    process::ServerProbes probes;
    connection::BackendConnections connections;
    AdmissionQueue admission;
    RetryBudgets retryBudgets;
    CallerWatch callerWatch;
    process::LinkBudget linkBudget;
    std::unique_ptr<process::SpillPolicy> spillPolicy;
    RequestServices services;
};

}
