#pragma once

#include "AdminService.h"

#include <wagtailrack/connection/HttpServer.h>
#include <wagtailrack/process/ConfigurationFollower.h>
#include <wagtailrack/process/CrashGuard.h>
#include <wagtailrack/process/HttpConfigurationStore.h>
#include <wagtailrack/process/HttpInstanceList.h>
#include <wagtailrack/process/LookupService.h>
#include <wagtailrack/process/MemberEvents.h>
#include <wagtailrack/process/OrderGate.h>
#include <wagtailrack/process/PeerNetwork.h>
#include <wagtailrack/process/Settings.h>
#include <wagtailrack/process/Timeline.h>
#include <wagtailrack/request/RequestPath.h>

#include <atomic>

namespace wagtailrack::command {

// The wiring of one entry instance: creates the objects of the process, connects them, starts and stops them in
// order. Lives from `serve`'s start to its end.
//
//     Instance instance(SystemClock::shared(), settings);
//     if (auto status = instance.start(); !status)
//         return status.error();
//     const SteadyTime serveUntil = instance.leave();
//     // wait until then
//     instance.stop();
class Instance {
public:
    Instance(const Clock& clock, process::Settings settings);

    // Listens for callers and peers. Fails with AddressInvalid.
    Status start();

    // First step of a planned stop: tells the peers, so that look-ups leave this instance out. Returns the time until
    // which callers may hold answers or order keys that lead here; the instance has to serve until then.
    SteadyTime leave();

    // Last step: stops listening and returns when no request is in flight.
    void stop();

private:
    connection::HttpResponse handleCaller(const connection::HttpRequest& request);
    connection::HttpResponse answerLookup(const connection::HttpRequest& request);
    process::Member ownMember() const;
    process::PeerHooks peerHooks();
    void recordCrashNews(const process::CrashNews& news);
    // Passes new tables or a new member view on to the request path.
    void updateRequestPath();
    ServingState state() const;

    const Clock& clock;
    const process::Settings settings;
    process::Timeline timeline;
    process::Metrics metrics;
    process::ConfigurationFollower configuration;
    process::MemberEvents memberEvents;
    const process::Member self;
    process::Membership membership;
    process::HttpConfigurationStore store;
    process::HttpInstanceList instanceList;
    process::PeerTraffic peerTraffic;
    process::PeerNetwork peers;
    process::OrderLedger orders;
    process::StoreClaims claims;
    process::OrderGate orderGate;
    process::CrashGuard crashGuard;
    process::LookupService lookups;
    request::RequestPath requestPath;
    AdminService admin;
    std::atomic<bool> isLeaving { false };
    // When the first shares of slots have grown; SteadyTime::max() before there are tables.
    std::atomic<SteadyTime> slotsGrownAt { SteadyTime::max() };
    connection::HttpServer callerServer;
    connection::HttpServer peerServer;
};

}
