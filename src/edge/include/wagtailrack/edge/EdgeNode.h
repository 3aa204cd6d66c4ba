#pragma once

#include <wagtailrack/edge/CallerSession.h>
#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/ClusterStateCache.h>
#include <wagtailrack/edge/EdgeSettings.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/LoadExchange.h>
#include <wagtailrack/edge/MetadataStore.h>
#include <wagtailrack/edge/QuarantineExchange.h>
#include <wagtailrack/edge/RequestForwarder.h>
#include <wagtailrack/edge/UsageExchange.h>
#include <wagtailrack/edge/UsageTopology.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wagtailrack::edge {

// Paths of the requests that the instance answers itself, and names of the parameter and the fields of a lookup.
struct EdgePaths {
    std::string ready;
    std::string lookup;
    // Query parameter with the caller's region, and fields of the response.
    std::string regionParameter;
    std::string addressesField;
    std::string validityField;
};

// Reads the current settings; called for every reload.
using SettingsReader = std::function<Result<EdgeSettings>()>;

// An instance at the edge: answers lookups of instances and forwards callers' requests to backend servers. Lives for
// the process; everything runs on the thread that calls run() on the context.
//
//     EdgeNode node(context, settings, readSettings, headers, paths, store, codec);
//     if (auto status = node.start(); !status) ...
//     context.run();   // until SIGTERM and then the end of the last request or of the grace period
class EdgeNode {
public:
    EdgeNode(asio::io_context& context, EdgeSettings settings, SettingsReader readSettings, EdgeHeaderNames headers,
        EdgePaths paths, MetadataStore& store, const ClusterCodec& codec);
    ~EdgeNode();

    // Opens the listeners and starts the background tasks. Blocks while an address is in use, and fails when it still
    // is after 10 s. Until it returns, signals have the actions that the caller has set.
    Status start();

private:
    class LocalHandler;

    // `isInternal`: the request came to the internal address, which callers cannot reach.
    HttpResponse handleLocalRequest(const HttpRequest& request, bool isInternal);
    HttpResponse handleLookup(const std::string& query);
    // The requests that crash servers, as JSON; and the end of a quarantine by an operator.
    HttpResponse listQuarantine() const;
    HttpResponse clearQuarantine(const std::string& query);
    // Counters and gauges in the text format of Prometheus.
    std::string renderMetrics();
    void installCrashHooks();
    // Opens the addresses that are not open yet.
    Status openAddresses();
    Status openDatagramSocket();
    void sendHeartbeats();
    void sendUsageDatagrams();
    // Tells the usage exchange of the workspaces in force.
    void updateUsageLimits();
    void sendDatagram(uint32_t target, const std::string& bytes);
    asio::awaitable<void> runHeartbeatLoop();
    asio::awaitable<void> receiveDatagrams();
    asio::awaitable<void> runLoadExchangeLoop();
    asio::awaitable<void> runMaintenanceLoop();
    asio::awaitable<void> runQuarantineLoop();
    asio::awaitable<void> handleSignals();
    asio::awaitable<void> drainAndStop();
    void reloadSettings(const char* cause);
    void logMembershipChange();

    asio::io_context& context;
    EdgeSettings settings;
    SettingsReader readSettings;
    EdgeHeaderNames headers;
    EdgePaths paths;
    const Clock& clock;
    EventLog log;
    process::Metrics metrics;
    InstanceMembership membership;
    BackendFleet fleet;
    CrashDetector crashDetector;
    CrashQuarantine crashQuarantine;
    ShiftLimiter shiftLimiter;
    RegionShares regionShares;
    LoadExchange loadExchange;
    MembershipUsageTopology usageTopology;
    UsageLimiter usageLimiter;
    UsageExchange usageExchange;
    // The configuration and bounds that the usage exchange has.
    RoutingTablePointer usageLimitsTable;
    FleetBounds usageLimitsBounds;
    // Messages of callers and servers, and responses of peers: neither can take the memory of the other.
    TransferBudget requestBudget;
    TransferBudget peerBudget;
    // Requests for lookups, readiness, state and metrics have no body.
    TransferBudget localRequestBudget { TransferLimits {} };
    HttpConnectionPool serverConnections;
    HttpConnectionPool peerConnections;
    QuarantineExchange quarantineExchange;
    ClusterStateCache clusterState;
    RequestForwarder forwarder;
    std::unique_ptr<LocalHandler> localHandler;
    std::unique_ptr<LocalHandler> internalHandler;
    CallerListener callerListener;
    CallerListener lookupListener;
    CallerListener readinessListener;
    CallerListener peerListener;
    // Carries heartbeats and messages of the load, quarantine and usage exchanges.
    asio::ip::udp::socket datagramSocket;
    asio::signal_set signalSet;
    bool isDraining = false;
    size_t lastLoggedAliveCount = 0;
};

}
