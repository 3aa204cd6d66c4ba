#pragma once

#include <wagtailrack/connection/BackendConnections.h>
#include <wagtailrack/process/ConfigurationFollower.h>
#include <wagtailrack/process/CrashGuard.h>
#include <wagtailrack/process/LinkBudget.h>
#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/process/Metrics.h>
#include <wagtailrack/process/OrderGate.h>
#include <wagtailrack/process/ServerStates.h>
#include <wagtailrack/process/ShiftGate.h>
#include <wagtailrack/process/SpillPolicy.h>
#include <wagtailrack/process/Timeline.h>
#include <wagtailrack/request/AdmissionQueue.h>
#include <wagtailrack/request/CallerWatch.h>
#include <wagtailrack/request/RetryBudget.h>

#include <functional>

namespace wagtailrack::request {

// The objects of the process that requests use. Owned by command::Instance, which outlives all requests.
struct RequestServices {
    const Clock& clock;
    process::ConfigurationFollower& configuration;
    process::Timeline& timeline;
    process::Metrics& metrics;
    process::ServerStates& servers;
    process::ShiftGate& shiftGate;
    process::OrderGate& orders;
    process::CrashGuard& crashGuard;
    connection::BackendConnections& connections;
    AdmissionQueue& admission;
    RetryBudgets& retryBudgets;
    CallerWatch& callerWatch;
    process::LinkBudget& linkBudget;
    process::SpillPolicy& spillPolicy;
    process::Member self;
    std::function<process::MemberViewPointer()> memberView;
    // Tells peers of a server's death; called only for deaths that are new here.
    std::function<void(const process::ServerDeath&)> announceDeath;
};

}
