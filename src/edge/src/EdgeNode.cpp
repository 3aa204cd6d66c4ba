#include <wagtailrack/edge/EdgeNode.h>

#include <wagtailrack/edge/superviseTask.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <json/writer.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <thread>

#include <unistd.h>

namespace wagtailrack::edge {

namespace {

using boost::system::error_code;

// Idle time after which a connection to a backend server is closed. The platform's servers close it after 10 s.
constexpr Milliseconds serverIdleTimeout(9300);
constexpr Milliseconds peerIdleTimeout(3000);
// A connection is closed when data that was sent on it has not been acknowledged for this long.
constexpr int serverTcpUserTimeoutMs = 1000;
constexpr int peerTcpUserTimeoutMs = 1000;
// Interval of membership datagrams. A heartbeat takes several rounds to reach all instances, and has to do so within
// the failure timeout of the membership.
constexpr int64_t heartbeatIntervalMs = 250;
constexpr int64_t maintenanceIntervalMs = 200;
// Interval of checks for messages of the load exchange that are due.
constexpr int64_t loadExchangeCheckIntervalMs = 50;
// Interval at which the settings are read again, to find changes for which no signal was sent.
constexpr int64_t settingsReloadIntervalMs = 5000;
// Validity of a lookup response. Short, so that callers stop using an instance soon after it has begun to drain.
constexpr int64_t lookupValidityMs = 2000;
constexpr size_t maximumLookupAddresses = 64;
// While draining: the shortest time that callers are given to switch to other instances, and how long before the end of
// the grace period the process exits at the latest.
constexpr int64_t minimumDrainMs = 2500;
constexpr int64_t forcedStopMarginMs = 250;
// Fraction of the grace period in which requests are still accepted, from callers that have not switched to another
// instance yet.
constexpr double acceptingFraction = 0.4;
// Longest wait for an address that is in use at the start, and time between two tries. A process that ends, or an
// outgoing connection that was given the port, releases it within seconds.
constexpr Milliseconds maximumAddressWait(10'000);
constexpr Milliseconds addressRetryInterval(50);

uint8_t domainIndex(const EdgeSettings& settings)
{
    const auto found = settings.regionOfDomain.find(settings.failureDomain);
    return static_cast<uint8_t>(std::distance(settings.regionOfDomain.begin(), found));
}

InstanceHeartbeat makeOwnHeartbeat(const EdgeSettings& settings, const Clock& clock)
{
    InstanceHeartbeat heartbeat;
    heartbeat.address = parseIPv4(settings.address).value();
    heartbeat.domainIndex = domainIndex(settings);
    heartbeat.linkCapacity10Mbps = static_cast<uint8_t>(std::clamp(settings.linkMegabitsPerSecond / 10, 0.0, 255.0));
    heartbeat.incarnation = static_cast<uint64_t>(toUnixMilliseconds(clock.wallNow()));
    return heartbeat;
}

std::string queryValue(const std::string& query, const std::string& name)
{
    std::string_view remaining = query;
    while (!remaining.empty()) {
        const size_t end = std::min(remaining.find('&'), remaining.size());
        const std::string_view parameter = remaining.substr(0, end);
        remaining.remove_prefix(std::min(end + 1, remaining.size()));
        if (parameter.size() > name.size() && parameter.substr(0, name.size()) == name && parameter[name.size()] == '=')
            return std::string(parameter.substr(name.size() + 1));
    }
    return {};
}

std::string encodeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

int64_t millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

uint64_t parseUnsigned(const std::string& text)
{
    uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<uint64_t> optionalUnsigned(const std::string& text)
{
    return text.empty() ? std::nullopt : std::optional(parseUnsigned(text));
}

// A revision of the store in a query of a peer; earlier releases name no era.
StoreRevision storeRevision(const std::string& query, const std::string& era, const std::string& number)
{
    return { static_cast<int64_t>(parseUnsigned(queryValue(query, era))),
        static_cast<int64_t>(parseUnsigned(queryValue(query, number))) };
}

}

// Answers readiness checks of the platform, lookups of callers, and requests of peers for state and metrics.
class EdgeNode::LocalHandler final : public RequestHandler {
public:
    LocalHandler(EdgeNode& node, bool isInternal)
        : node(node)
        , isInternal(isInternal)
    {
    }

    asio::awaitable<void> handle(ExchangePointer exchange) override
    {
        exchange->response = this->node.handleLocalRequest(exchange->request, this->isInternal);
        co_return;
    }

    bool canHandleConcurrently(const HttpRequest&) const override { return true; }
    CallerLimits limits() const override { return {}; }
    bool shouldCloseConnections() const override { return false; }

private:
    EdgeNode& node;
    const bool isInternal;
};

EdgeNode::EdgeNode(asio::io_context& context, EdgeSettings settings, SettingsReader readSettings,
    EdgeHeaderNames headers, EdgePaths paths, MetadataStore& store, const ClusterCodec& codec)
    : context(context)
    , settings(std::move(settings))
    , readSettings(std::move(readSettings))
    , headers(std::move(headers))
    , paths(std::move(paths))
    , clock(SuspensionAwareClock::shared())
    , log(this->clock, this->settings.name, STDOUT_FILENO)
    , membership(this->clock, makeOwnHeartbeat(this->settings, this->clock))
    , fleet(this->clock, this->settings.regionOfDomain)
    , crashDetector(this->clock)
    , crashQuarantine(this->clock)
    , shiftLimiter(this->clock)
    , regionShares(this->clock, this->settings.region)
    , loadExchange(this->clock, this->settings, this->fleet, this->shiftLimiter, this->membership, &this->regionShares)
    , usageTopology(this->settings, this->membership, this->loadExchange)
    , usageLimiter(this->clock)
    , usageExchange(this->clock, this->usageLimiter, this->usageTopology, this->settings.bounds)
    , requestBudget(transferLimitsFor(this->settings.memoryBytes, this->settings.linkMegabitsPerSecond * 1e6))
    , peerBudget(internalTransferLimitsFor(this->settings.memoryBytes))
    , serverConnections(context, serverIdleTimeout, serverTcpUserTimeoutMs, this->requestBudget)
    , peerConnections(context, peerIdleTimeout, peerTcpUserTimeoutMs, this->peerBudget)
    , quarantineExchange(this->clock, this->crashQuarantine, this->membership, store, codec, this->metrics, this->log)
    , clusterState(context, this->clock, this->settings, store, codec, this->fleet, this->membership,
          this->peerConnections, this->metrics, this->log)
    , forwarder({ context, this->clock, this->settings, this->headers, this->clusterState, this->fleet,
          this->shiftLimiter, this->regionShares, this->membership, this->serverConnections, this->crashDetector,
          this->crashQuarantine, this->usageLimiter, this->metrics, this->log })
    , localHandler(std::make_unique<LocalHandler>(*this, false))
    , internalHandler(std::make_unique<LocalHandler>(*this, true))
    , callerListener(context, this->forwarder, this->requestBudget)
    , lookupListener(context, *this->localHandler, this->localRequestBudget)
    , readinessListener(context, *this->localHandler, this->localRequestBudget)
    , peerListener(context, *this->internalHandler, this->localRequestBudget)
    , datagramSocket(context)
    , signalSet(context)
{
}

EdgeNode::~EdgeNode() = default;

void EdgeNode::installCrashHooks()
{
    this->crashDetector.setCrashHook(
        [this](const ServerCrash& crash, const BackendServer& server, CrashEvidence evidence) {
            this->crashQuarantine.recordCrash(crash);
            this->metrics.count("wagtailrack_server_crashes_total", "service=\"" + server.record.service + "\"");
            this->log.write(LogCategory::ProcessState, "server-crashed",
                { { "server", server.record.id }, { "service", server.record.service },
                    { "request", toString(crash.request) }, { "evidence", toString(evidence) },
                    { "ran_ms", std::chrono::duration_cast<Milliseconds>(crash.endedAt - crash.sentAt).count() } });
        });
    this->crashQuarantine.setChangeHook([this](const CrashQuarantine::Entry& entry, QuarantineSource source,
                                            bool isCleared) {
        this->metrics.count("wagtailrack_quarantine_changes_total",
            std::string("change=\"") + (isCleared ? "cleared" : "began") + "\",source=\"" + toString(source) + "\"");
        this->log.write(LogCategory::ProcessState, isCleared ? "quarantine-cleared" : "quarantine-began",
            { { "request", toString(entry.request) }, { "crashes", static_cast<uint64_t>(entry.crashes) },
                { "source", toString(source) } });
    });
    this->regionShares.setChangeHook([this](const RegionShares::Change& change) {
        this->log.write(LogCategory::ProcessState, "region-shares",
            { { "service", change.service }, { "own_percent", std::lround(100 * change.ownShare) },
                { "needed_slots", std::lround(change.demand) }, { "own_slots", std::lround(change.ownSlots) } });
    });
}

Status EdgeNode::openDatagramSocket()
{
    if (this->datagramSocket.is_open())
        return success();
    const auto endpoint = asio::ip::udp::endpoint(
        asio::ip::make_address(this->settings.membershipAddress.host), this->settings.membershipAddress.port);
    error_code failure;
    this->datagramSocket.open(endpoint.protocol(), failure);
    if (!failure)
        this->datagramSocket.bind(endpoint, failure);
    if (!failure)
        return success();
    error_code ignored;
    this->datagramSocket.close(ignored);
    return makeError(ErrorCode::ConnectFailed, this->settings.membershipAddress.toString(), failure.message());
}

Status EdgeNode::openAddresses()
{
    if (Status status = this->openDatagramSocket(); !status)
        return status;
    // Callers come last: until all addresses are open, nobody accepts their connections.
    const std::array<std::pair<CallerListener*, Endpoint>, 4> listeners { {
        { &this->peerListener, this->settings.stateAddress },
        { &this->lookupListener, this->settings.lookupAddress },
        { &this->readinessListener, this->settings.readyAddress },
        { &this->callerListener, this->settings.callerAddress },
    } };
    for (const auto& [listener, address] : listeners) {
        if (listener->isOpen())
            continue;
        if (Status status = listener->open(address); !status)
            return status;
    }
    return success();
}

Status EdgeNode::start()
{
    this->fleet.setLeavingHook([this](const BackendServer& server, const char* reason) {
        this->serverConnections.closeIdleConnections(server.record.address);
        // A server that drains, or said that it leaves, runs on.
        if (server.record.state == version::ServerState::Active
            && std::string_view(reason) != BackendFleet::saidLeavingReason)
            this->crashDetector.recordRemoval(server);
        this->log.write(LogCategory::ProcessState, "server-leaving",
            { { "server", server.record.id }, { "service", server.record.service }, { "reason", reason },
                { "servers_age_ms", this->clusterState.serverRecordsAgeMs() } });
    });
    this->installCrashHooks();
    this->usageLimiter.setDemandHook([this] { this->sendUsageDatagrams(); });
    const SteadyTime giveUpAt = this->clock.now() + maximumAddressWait;
    Status opened = this->openAddresses();
    if (!opened)
        this->log.write(LogCategory::ProcessState, "address-in-use", { { "reason", describe(opened.error()) } });
    this->log.flush();
    while (!opened && this->clock.now() < giveUpAt) {
        std::this_thread::sleep_for(addressRetryInterval);
        opened = this->openAddresses();
    }
    if (!opened)
        return opened;
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        this->signalSet.add(number);
    this->clusterState.start();
    const auto run = [this](const char* name, asio::awaitable<void> (EdgeNode::*task)()) {
        asio::co_spawn(
            this->context,
            [this, name, task] {
                return superviseTask(
                    name, [this, task] { return (this->*task)(); },
                    [this](const char* failedTask, const char* reason) {
                        this->log.write(
                            LogCategory::ProcessState, "task-failed", { { "task", failedTask }, { "reason", reason } });
                    });
            },
            asio::detached);
    };
    run("heartbeat", &EdgeNode::runHeartbeatLoop);
    run("datagrams", &EdgeNode::receiveDatagrams);
    run("load-exchange", &EdgeNode::runLoadExchangeLoop);
    run("maintenance", &EdgeNode::runMaintenanceLoop);
    run("quarantine", &EdgeNode::runQuarantineLoop);
    run("signals", &EdgeNode::handleSignals);
    this->log.write(LogCategory::ProcessState, "start",
        { { "address", this->settings.callerAddress.toString() }, { "failure_domain", this->settings.failureDomain },
            { "region", this->settings.region }, { "store", this->settings.storeAddress.toString() } });
    this->log.flush();
    return success();
}

HttpResponse EdgeNode::handleLookup(const std::string& query)
{
    this->membership.setReady(this->clusterState.isReady());
    const std::vector<InstanceHeartbeat> alive = this->membership.aliveInstances();
    // After a pause, no heartbeat is recent. A response that names this instance alone would send all callers to it.
    if (alive.size() == 1 && !this->membership.isSettled() && this->membership.sharingInstances().size() > 1)
        return makeResponse(http::status::service_unavailable, "the other instances are not known yet\n");
    const std::string region = queryValue(query, this->paths.regionParameter);
    std::vector<std::string> inCallerRegion;
    std::vector<std::string> inOtherRegions;
    for (const InstanceHeartbeat& heartbeat : alive) {
        if (!heartbeat.isReady || heartbeat.isLeaving || heartbeat.domainIndex >= this->settings.regionOfDomain.size())
            continue;
        const Endpoint endpoint { asio::ip::address_v4(heartbeat.address).to_string(),
            this->settings.callerAddress.port };
        (this->settings.regionOfDomainIndex(heartbeat.domainIndex) == region ? inCallerRegion : inOtherRegions)
            .push_back(endpoint.toString());
    }
    std::vector<std::string>& addresses = inCallerRegion.empty() ? inOtherRegions : inCallerRegion;
    if (addresses.empty())
        return makeResponse(http::status::service_unavailable, "no instance is ready\n");
    if (addresses.size() > maximumLookupAddresses)
        addresses.resize(maximumLookupAddresses);
    Json::Value answer;
    for (const std::string& address : addresses)
        answer[this->paths.addressesField].append(address);
    const int64_t validityMs = std::min(lookupValidityMs, this->settings.bounds.maximumLookupValidityMs);
    answer[this->paths.validityField] = static_cast<double>(validityMs) / 1000;
    HttpResponse response = makeResponse(http::status::ok, encodeJson(answer));
    response.set(http::field::content_type, "application/json");
    return response;
}

std::string EdgeNode::renderMetrics()
{
    this->metrics.setGauge(
        "wagtailrack_servers_age_seconds", "", static_cast<double>(this->clusterState.serverRecordsAgeMs()) / 1000);
    const RoutingTablePointer table = this->clusterState.routingTable();
    this->metrics.setGauge("wagtailrack_configuration_version", "", table ? static_cast<double>(table->version()) : 0);
    this->metrics.setGauge(
        "wagtailrack_configuration_routes", "", table ? static_cast<double>(table->routeCount()) : 0);
    if (table)
        this->metrics.setGauge("wagtailrack_configuration_age_seconds", "",
            static_cast<double>(this->clusterState.configurationAgeMs()) / 1000);
    this->metrics.setGauge(
        "wagtailrack_instances_alive", "", static_cast<double>(this->membership.aliveInstances().size()));
    this->metrics.setGauge(
        "wagtailrack_callers_connected", "", static_cast<double>(this->callerListener.sessionCount()));
    this->metrics.setGauge("wagtailrack_server_connections_opened", "",
        static_cast<double>(this->serverConnections.openedConnectionCount()));
    this->metrics.setGauge(
        "wagtailrack_large_message_bytes", "", static_cast<double>(this->requestBudget.reservedBytes()));
    this->metrics.setGauge("wagtailrack_message_bytes_held", "",
        static_cast<double>(this->requestBudget.heldBytes() + this->peerBudget.heldBytes()));
    this->metrics.setGauge(
        "wagtailrack_messages_refused_for_size", "", static_cast<double>(this->requestBudget.refusedMessageCount()));
    this->metrics.setGauge("wagtailrack_log_lines_dropped", "", static_cast<double>(this->log.droppedLineCount()));
    this->metrics.setGauge("wagtailrack_store_era", "", static_cast<double>(this->clusterState.storeEra()));
    this->metrics.setGauge("wagtailrack_store_recovering", "", this->clusterState.isStoreRecovering() ? 1 : 0);
    this->metrics.setGauge("wagtailrack_servers_held", "", static_cast<double>(this->fleet.heldServerCount()));
    this->metrics.setGauge(
        "wagtailrack_usage_datagram_bytes", "", static_cast<double>(this->usageExchange.sentBytes()));
    this->metrics.setGauge(
        "wagtailrack_quarantined_requests", "", static_cast<double>(this->crashQuarantine.quarantinedCount()));
    this->regionShares.forEachShare([this](const std::string& service, const RegionShare& share) {
        this->metrics.setGauge("wagtailrack_region_share_ratio",
            "service=\"" + service + "\",region=\"" + share.region + "\"", share.share);
    });
    return this->metrics.render();
}

HttpResponse EdgeNode::listQuarantine() const
{
    const SteadyTime now = this->clock.now();
    Json::Value list(Json::arrayValue);
    for (const CrashQuarantine::Entry& entry : this->crashQuarantine.entries()) {
        Json::Value item;
        item["request"] = toString(entry.request);
        item["crashes"] = static_cast<Json::UInt64>(entry.crashes);
        item["quarantined"] = entry.isQuarantined();
        if (entry.isQuarantined()) {
            item["sinceMs"] = static_cast<Json::Int64>(millisecondsBetween(entry.beganAt, now));
            item["endsInMs"] = static_cast<Json::Int64>(millisecondsBetween(now, entry.endsAt()));
        }
        list.append(item);
    }
    HttpResponse response = makeResponse(http::status::ok, encodeJson(list));
    response.set(http::field::content_type, "application/json");
    return response;
}

HttpResponse EdgeNode::clearQuarantine(const std::string& query)
{
    const std::string digits = queryValue(query, "request");
    const auto request = parseFingerprint(digits);
    if (!request)
        return makeResponse(http::status::bad_request, "request: expected a fingerprint of hexadecimal digits\n");
    if (!this->crashQuarantine.clear(*request))
        return makeResponse(http::status::not_found, "the request is neither suspected nor in quarantine\n");
    return makeResponse(http::status::ok, "cleared\n");
}

HttpResponse EdgeNode::handleLocalRequest(const HttpRequest& request, bool isInternal)
{
    const std::string target(request.target());
    const size_t queryMark = std::min(target.find('?'), target.size());
    const std::string path = target.substr(0, queryMark);
    const std::string query = target.substr(std::min(queryMark + 1, target.size()));
    if (path == "/quarantine/clear" && request.method() == http::verb::post)
        return this->clearQuarantine(query);
    if (request.method() != http::verb::get)
        return makeResponse(http::status::method_not_allowed, "only GET\n");
    if (path == this->paths.ready) {
        const bool isReady = this->clusterState.isReady() && !this->isDraining;
        return makeResponse(
            isReady ? http::status::ok : http::status::service_unavailable, isReady ? "ready\n" : "not ready\n");
    }
    if (path == this->paths.lookup)
        return this->handleLookup(query);
    if (path == "/state") {
        // A peer without a copy sends -1, which is parsed as 0, so that the peer is sent all records.
        const std::string operatorRevision = queryValue(query, "operatorRevision");
        const std::string serversHash = queryValue(query, "serversHash");
        const ClusterStateCache::PeerCopy copy { parseUnsigned(queryValue(query, "operator")),
            operatorRevision.empty() ? StoreRevision::none() : storeRevision(query, "operatorEra", "operatorRevision"),
            { storeRevision(query, "serversEra", "servers"),
                serversHash.empty() ? std::nullopt : std::optional(parseUnsigned(serversHash)) },
            optionalUnsigned(queryValue(query, "configuration")),
            static_cast<int64_t>(parseUnsigned(queryValue(query, "recovery"))), queryValue(query, "from") };
        this->clusterState.notePeerCopy(copy);
        HttpResponse response = makeResponse(http::status::ok, this->clusterState.encodeStateForPeer(copy));
        response.set(peerCallHeader, headerValue(request.base(), peerCallHeader));
        return response;
    }
    if (path == "/operator-items") {
        ClusterStateCache::PeerCopy copy;
        copy.operatorItemsRevision = storeRevision(query, "sinceEra", "since");
        copy.configurationVersion = optionalUnsigned(queryValue(query, "configuration"));
        std::string items = this->clusterState.encodeOperatorItemsForPeer(copy);
        const http::status status = items.empty() ? http::status::service_unavailable : http::status::ok;
        HttpResponse response = makeResponse(status, std::move(items));
        response.set(http::field::content_encoding, "deflate");
        response.set(operatorItemsRevisionHeader, std::to_string(this->clusterState.configurationRevision().number()));
        response.set(operatorItemsEraHeader, std::to_string(this->clusterState.configurationRevision().era()));
        response.set(operatorItemsAgeHeader, std::to_string(this->clusterState.configurationAgeMs()));
        response.set(peerCallHeader, headerValue(request.base(), peerCallHeader));
        return response;
    }
    if (path == "/metrics")
        return makeResponse(http::status::ok, this->renderMetrics());
    if (isInternal && path == "/explain")
        return explainRequest(this->forwarder.explanationSources(), query);
    if (isInternal && path == "/servers")
        return listServers(this->forwarder.explanationSources());
    if (path == "/quarantine")
        return this->listQuarantine();
    return makeResponse(http::status::not_found, "unknown path\n");
}

void EdgeNode::sendHeartbeats()
{
    this->membership.setReady(this->clusterState.isReady());
    for (const InstanceMembership::Datagram& datagram : this->membership.nextGossipRound())
        this->sendDatagram(datagram.target, datagram.bytes);
}

void EdgeNode::sendDatagram(uint32_t target, const std::string& bytes)
{
    // A failure to send is ignored: the protocols tolerate lost datagrams, and the next one follows soon.
    error_code ignored;
    const asio::ip::udp::endpoint endpoint(asio::ip::address_v4(target), this->settings.membershipAddress.port);
    this->datagramSocket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
}

void EdgeNode::updateUsageLimits()
{
    const RoutingTablePointer table = this->clusterState.routingTable();
    if (!table || (table == this->usageLimitsTable && this->usageLimitsBounds == this->settings.bounds))
        return;
    this->usageLimitsTable = table;
    this->usageLimitsBounds = this->settings.bounds;
    this->usageExchange.setWorkspaces(table->workspaceDirectory().all());
}

void EdgeNode::sendUsageDatagrams()
{
    for (const UsageExchange::Datagram& datagram : this->usageExchange.collectDueDatagrams())
        this->sendDatagram(datagram.target, datagram.bytes);
}

asio::awaitable<void> EdgeNode::runLoadExchangeLoop()
{
    Timer timer(this->context);
    while (true) {
        for (const LoadExchange::Datagram& datagram : this->loadExchange.collectDueDatagrams())
            this->sendDatagram(datagram.target, datagram.bytes);
        for (const QuarantineExchange::Datagram& datagram : this->quarantineExchange.collectDueDatagrams())
            this->sendDatagram(datagram.target, datagram.bytes);
        this->updateUsageLimits();
        this->sendUsageDatagrams();
        timer.expires_after(Milliseconds(loadExchangeCheckIntervalMs));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> EdgeNode::runHeartbeatLoop()
{
    Timer timer(this->context);
    while (true) {
        this->sendHeartbeats();
        const bool isNew = this->clock.now() - this->membership.runningSince() < InstanceMembership::domainSettlingTime;
        timer.expires_after(isNew ? InstanceMembership::initialRoundInterval : Milliseconds(heartbeatIntervalMs));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> EdgeNode::receiveDatagrams()
{
    std::array<char, 4096> buffer {};
    while (this->datagramSocket.is_open()) {
        asio::ip::udp::endpoint sender;
        error_code failure;
        const size_t size = co_await this->datagramSocket.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            continue;
        const std::string_view bytes(buffer.data(), size);
        const uint32_t senderAddress = sender.address().to_v4().to_uint();
        if (this->usageExchange.receive(senderAddress, bytes)) {
            // Requests that wait for an answer should not wait for the next round as well.
            this->sendUsageDatagrams();
        } else if (!this->membership.receive(bytes) && !this->loadExchange.receive(senderAddress, bytes)
            && !this->quarantineExchange.receive(bytes))
            this->log.write(LogCategory::Request, "datagram-refused", { { "sender", sender.address().to_string() } });
    }
}

void EdgeNode::logMembershipChange()
{
    const size_t aliveCount = this->membership.aliveInstances().size();
    if (aliveCount == this->lastLoggedAliveCount)
        return;
    this->log.write(LogCategory::ProcessState, "instances",
        { { "alive", static_cast<uint64_t>(aliveCount) },
            { "before", static_cast<uint64_t>(this->lastLoggedAliveCount) } });
    this->lastLoggedAliveCount = aliveCount;
}

asio::awaitable<void> EdgeNode::runQuarantineLoop()
{
    Timer timer(this->context);
    while (true) {
        const bool isReader = this->clusterState.isRegionStoreReader();
        co_await this->quarantineExchange.exchangeWithStore(isReader);
        timer.expires_after(Milliseconds(maintenanceIntervalMs));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> EdgeNode::runMaintenanceLoop()
{
    Timer timer(this->context);
    SteadyTime nextSettingsCheck = this->clock.now() + Milliseconds(settingsReloadIntervalMs);
    while (true) {
        const SteadyTime now = this->clock.now();
        this->serverConnections.maintain(now);
        this->peerConnections.maintain(now);
        this->membership.removeExpired();
        this->logMembershipChange();
        if (now >= nextSettingsCheck) {
            this->reloadSettings("check");
            nextSettingsCheck = now + Milliseconds(settingsReloadIntervalMs);
        }
        this->log.flush();
        timer.expires_after(Milliseconds(maintenanceIntervalMs));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void EdgeNode::reloadSettings(const char* cause)
{
    Result<EdgeSettings> newSettings = this->readSettings();
    if (!newSettings) {
        this->log.write(LogCategory::ProcessState, "settings-refused",
            { { "cause", cause }, { "reason", describe(newSettings.error()) } });
        return;
    }
    const bool isChanged = !(newSettings.value().bounds == this->settings.bounds);
    // Only the bounds are reloaded. The sockets are bound to the addresses, so a change of address needs a restart.
    this->settings.bounds = newSettings.value().bounds;
    if (isChanged || std::string_view(cause) == "signal")
        this->log.write(
            LogCategory::ProcessState, "settings-reloaded", { { "cause", cause }, { "changed", isChanged ? 1 : 0 } });
}

asio::awaitable<void> EdgeNode::handleSignals()
{
    while (true) {
        error_code failure;
        const int received = co_await this->signalSet.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        if (received == SIGHUP) {
            this->reloadSettings("signal");
            continue;
        }
        if (this->isDraining)
            continue;
        this->isDraining = true;
        asio::co_spawn(
            this->context, [this] { return this->drainAndStop(); }, asio::detached);
    }
}

asio::awaitable<void> EdgeNode::drainAndStop()
{
    const SteadyTime startedAt = this->clock.now();
    const SteadyTime earliestStopAt = startedAt + Milliseconds(minimumDrainMs);
    const SteadyTime latestStopAt = startedAt + Milliseconds(this->settings.bounds.gracePeriodMs - forcedStopMarginMs);
    this->membership.setLeaving();
    this->forwarder.startDraining(startedAt
        + Milliseconds(
            static_cast<int64_t>(acceptingFraction * static_cast<double>(this->settings.bounds.gracePeriodMs))));
    // Tells all peers now, so that they no longer include this instance in lookup responses.
    for (const InstanceMembership::Datagram& datagram : this->membership.announcement())
        this->sendDatagram(datagram.target, datagram.bytes);
    asio::co_spawn(
        this->context, [this] { return this->clusterState.unregister(); }, asio::detached);
    this->log.write(LogCategory::ProcessState, "stopping", { { "in_flight", this->forwarder.inFlightRequestCount() } });
    this->log.flush();
    Timer timer(this->context);
    while (true) {
        timer.expires_after(Milliseconds(50));
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        const SteadyTime now = this->clock.now();
        const bool isIdle = this->forwarder.inFlightRequestCount() == 0
            && this->serverConnections.unfinishedRequestCount() == 0 && this->callerListener.busySessionCount() == 0;
        if (now >= latestStopAt || (now >= earliestStopAt && isIdle && this->callerListener.sessionCount() == 0))
            break;
    }
    this->callerListener.close();
    this->log.write(LogCategory::ProcessState, "stop", { { "in_flight", this->forwarder.inFlightRequestCount() } });
    this->log.flush();
    this->context.stop();
}

}
