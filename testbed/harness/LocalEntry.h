#pragma once

#include "freePort.h"

#include <wagtailrack/connection/HttpServer.h>
#include <wagtailrack/process/OrderGate.h>
#include <wagtailrack/request/RequestPath.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// The request path of one entry instance, served by this process and without store and peers: for tests and
// benchmarks of requests alone. The member view is what setMembers() gave.
class LocalEntry {
public:
    LocalEntry(const std::string& name, const std::string& failureDomain);
    ~LocalEntry();

    // Adopts tables; aborts the program when they are rejected. The shares of the first tables count at once, without
    // SlotShares::growthDelay.
    void adopt(const std::string& routes, const std::string& pools);
    // The members that this entry knows besides itself.
    void setMembers(std::vector<process::Member> others);

    const process::Member& member() const noexcept { return this->self; }
    const Endpoint& endpoint() const noexcept { return this->self.callerAddress; }
    process::OrderLedger& orders() noexcept { return this->orderLedger; }
    process::ServerStates& servers() noexcept { return this->path->servers(); }
    process::CrashGuard& crashes() noexcept { return this->crashGuard; }
    // Ends the listener; requests in flight finish.
    void stop();

private:
    class NoStore;
    // Behind real time until the first tables are adopted, so that shares of slots have grown when it catches up.
    class StartClock final : public Clock {
    public:
        SteadyTime now() const noexcept override;
        WallTime wallNow() const noexcept override { return std::chrono::system_clock::now(); }
        void catchUp() noexcept { this->isBehind = false; }

    private:
        std::atomic<bool> isBehind { true };
    };

    StartClock clock;
    process::Member self;
    process::MemberViewPointer view;
    mutable std::mutex mutex;
    process::Timeline timeline;
    process::Metrics metrics;
    process::ConfigurationFollower configuration;
    process::OrderLedger orderLedger;
    std::unique_ptr<process::ConfigurationStore> store;
    process::StoreClaims claims;
    process::OrderGate orderGate;
    process::CrashGuard crashGuard;
    std::unique_ptr<request::RequestPath> path;
    connection::HttpServer server;
    version::Head head;
};

// A request of a test and its answer. `status` is 0 when the connection ended without one.
struct CallerAnswer {
    int status = 0;
    std::string outcome;
    std::string reason;
    connection::HttpResponse response;
};

CallerAnswer call(const Endpoint& entry, const std::string& method, const std::string& target,
    const connection::HeaderMap& headers = {}, const std::string& body = {});

}
