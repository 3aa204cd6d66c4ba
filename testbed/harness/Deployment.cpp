#include "Deployment.h"

#include "freePort.h"

#include <wagtailrack/connection/HttpConnection.h>
#include <wagtailrack/process/HttpConfigurationStore.h>
#include <wagtailrack/process/TableStore.h>
#include <wagtailrack/version/Tables.h>

#include <json/writer.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace wagtailrack::testbed {

namespace {

constexpr Milliseconds pollInterval { 20 };
constexpr std::chrono::seconds commandTime { 10 };

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "wagtailrack-XXXXXX").string();
    if (!mkdtemp(pattern.data())) {
        std::perror("mkdtemp");
        std::abort();
    }
    return pattern;
}

void replaceQuoted(std::string& text, const std::string& from, const std::string& to)
{
    const std::string quoted = "\"" + from + "\"";
    for (size_t place = text.find(quoted); place != std::string::npos; place = text.find(quoted, place + 1))
        text.replace(place, quoted.size(), "\"" + to + "\"");
}

std::unique_ptr<FaultProxy> proxyFor(const Endpoint& target)
{
    return std::make_unique<FaultProxy>(freeEndpoint(), target);
}

connection::ExchangeResult exchangeWith(
    const Endpoint& endpoint, const std::string& method, const std::string& path, const std::string& body)
{
    connection::HttpRequest request;
    request.method = method;
    request.path = request.target = path;
    request.body = body;
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    return connection::exchangeOnce(endpoint, request, { deadline, deadline, deadline });
}

bool answersOk(const Endpoint& endpoint, const std::string& path)
{
    const auto result = exchangeWith(endpoint, "GET", path, "");
    return result.response && result.response.value().status == 200;
}

}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    stream.close();
    if (!stream) {
        std::fprintf(stderr, "cannot write %s\n", path.c_str());
        std::abort();
    }
}

DeploymentOptions DeploymentOptions::of(const DeploymentShape& shape, const std::string& binaryFolder)
{
    DeploymentOptions options;
    options.binaryFolder = binaryFolder;
    options.routesText = shape.routesText();
    options.poolsText = shape.poolsText();
    options.instances = shape.instanceDescriptions();
    for (const ServiceShape& service : shape.services)
        options.backendArguments[service.name] = { "--service-ms", std::to_string(service.serviceMs) };
    return options;
}

Deployment::Deployment(DeploymentOptions deploymentOptions)
    : storeAddress(freeEndpoint())
    , instanceListAddress(freeEndpoint())
    , routesText(deploymentOptions.routesText)
    , poolsText(deploymentOptions.poolsText)
    , folder(makeFolder())
    , options(std::move(deploymentOptions))
{
    this->prepareBackends();
    this->prepareInstances();
}

Deployment::~Deployment() = default;

std::string Deployment::testbedProgram() const { return this->options.binaryFolder + "/wagtailrack-testbed"; }

std::string Deployment::logPath(const std::string& name) const { return this->folder + "/" + name + ".log"; }

void Deployment::prepareBackends()
{
    const auto tables = version::parseTables(this->routesText, this->poolsText);
    if (!tables) {
        std::fprintf(stderr, "%s\n", describe(tables.error()).c_str());
        std::abort();
    }
    for (const version::Pool& pool : tables.value().pools) {
        for (const version::BackendServer& server : pool.servers) {
            RunningBackend& backend = this->backends.emplace_back();
            backend.pool = pool.name;
            backend.failureDomain = server.failureDomain;
            backend.directAddress = backend.address = freeEndpoint();
            if (this->options.proxyUse == ProxyUse::Everywhere) {
                backend.proxy = proxyFor(backend.directAddress);
                backend.address = backend.proxy->endpoint();
            }
            replaceQuoted(this->poolsText, server.address.toString(), backend.address.toString());
        }
    }
}

void Deployment::prepareInstances()
{
    for (const InstanceDescription& description : this->options.instances) {
        RunningInstance& instance = this->instances.emplace_back();
        instance.description = description;
        instance.host = "127.20.0." + std::to_string(this->instances.size());
        instance.callerAddress = { instance.host, freeEndpoint().port };
        instance.peerAddress = { instance.host, freeEndpoint().port };
        instance.settingsPath = this->folder + "/" + description.name + ".toml";
        if (this->options.proxyUse == ProxyUse::Everywhere) {
            instance.callerProxy = proxyFor(instance.callerAddress);
            instance.peerProxy = proxyFor(instance.peerAddress);
            instance.storeProxy = proxyFor(this->storeAddress);
        }
    }
    // The seeds are all peers, so every address has to be known before the first settings file.
    for (const RunningInstance& instance : this->instances)
        this->writeSettings(instance);
    for (RunningInstance& instance : this->instances) {
        if (!instance.callerProxy)
            continue;
        instance.callerAddress = instance.callerProxy->endpoint();
        instance.peerAddress = instance.peerProxy->endpoint();
    }
}

void Deployment::writeSettings(const RunningInstance& instance) const
{
    const bool hasProxy = instance.callerProxy != nullptr;
    const auto line
        = [](const char* key, const std::string& value) { return std::string(key) + " = \"" + value + "\"\n"; };
    std::string text = line("name", instance.description.name)
        + line("failure_domain", instance.description.failureDomain) + line("local_address", instance.host)
        + line("instance_list_address", this->instanceListAddress.toString())
        + line("store_address", (hasProxy ? instance.storeProxy->endpoint() : this->storeAddress).toString())
        + line("caller_address", (hasProxy ? instance.callerProxy->endpoint() : instance.callerAddress).toString())
        + line("peer_address", (hasProxy ? instance.peerProxy->endpoint() : instance.peerAddress).toString())
        + line("caller_listen_address", instance.callerAddress.toString())
        + line("peer_listen_address", instance.peerAddress.toString())
        + "lookup_validity_ms = " + std::to_string(this->options.lookupValidityMs)
        + "\norder_key_validity_ms = " + std::to_string(this->options.orderKeyValidityMs) + "\nseeds = [";
    for (const RunningInstance& peer : this->instances) {
        if (&peer != &instance)
            text += "\"" + (peer.peerProxy ? peer.peerProxy->endpoint() : peer.peerAddress).toString() + "\", ";
    }
    writeFile(instance.settingsPath, text + "]\n");
}

void Deployment::announceInstances() const
{
    Json::Value list(Json::arrayValue);
    for (const RunningInstance& instance : this->instances) {
        Json::Value entry(Json::objectValue);
        entry["name"] = instance.description.name;
        entry["failure_domain"] = instance.description.failureDomain;
        entry["caller_address"] = instance.callerAddress.toString();
        entry["peer_address"] = instance.peerAddress.toString();
        entry["state"] = "live";
        list.append(std::move(entry));
    }
    exchangeWith(
        this->instanceListAddress, "PUT", "/control/instances", Json::writeString(Json::StreamWriterBuilder(), list));
}

void Deployment::startInstance(RunningInstance& instance)
{
    instance.process.reset();
    instance.process.emplace(std::vector<std::string> { this->options.binaryFolder + "/wagtailrack", "serve",
                                 "--settings", instance.settingsPath },
        this->logPath(instance.description.name));
}

void Deployment::startBackend(RunningBackend& backend)
{
    std::vector<std::string> line = { this->testbedProgram(), "backend", "--listen", backend.directAddress.toString() };
    const auto& extra = this->options.backendArguments[backend.pool];
    line.insert(line.end(), extra.begin(), extra.end());
    backend.process.reset();
    backend.process.emplace(line, this->logPath("backends"));
}

void Deployment::startStore()
{
    this->store.reset();
    this->store.emplace(
        std::vector<std::string> { this->testbedProgram(), "store", "--listen", this->storeAddress.toString() },
        this->logPath("store"));
}

Status Deployment::start(SteadyTime deadline)
{
    this->startStore();
    this->instanceList.emplace(std::vector<std::string> { this->testbedProgram(), "instance-list", "--listen",
                                   this->instanceListAddress.toString() },
        this->logPath("instance-list"));
    for (RunningBackend& backend : this->backends)
        this->startBackend(backend);
    while (
        !answersOk(this->storeAddress, "/control/counters") || !answersOk(this->instanceListAddress, "/v1/instances")) {
        if (std::chrono::steady_clock::now() >= deadline)
            return makeError(ErrorCode::NotReady, this->folder, "store or instance list does not answer");
        std::this_thread::sleep_for(pollInterval);
    }
    this->announceInstances();
    for (RunningInstance& instance : this->instances)
        this->startInstance(instance);
    if (auto status = this->publishTables(); !status)
        return status;
    return this->waitUntilReady(deadline);
}

Status Deployment::publishTables()
{
    if (this->options.firstTables == FirstTables::Applied) {
        const int code = this->applyTables(this->routesText, this->poolsText);
        if (code != 0)
            return makeError(ErrorCode::NotReady, this->logPath("command"), "apply ended with " + std::to_string(code));
        return success();
    }
    process::HttpConfigurationStore client(this->storeAddress);
    process::TableStore tableStore(client, SystemClock::shared());
    const SteadyTime deadline = std::chrono::steady_clock::now() + commandTime;
    const auto published = tableStore.publish({}, "first-tables", this->routesText, this->poolsText, deadline);
    if (!published)
        return published.error();
    return success();
}

Status Deployment::waitUntilReady(SteadyTime deadline)
{
    for (const RunningBackend& backend : this->backends) {
        while (backend.process && !answersOk(backend.directAddress, "/health")) {
            if (std::chrono::steady_clock::now() >= deadline)
                return makeError(ErrorCode::NotReady, backend.directAddress.toString(), "backend server");
            std::this_thread::sleep_for(pollInterval);
        }
    }
    for (RunningInstance& instance : this->instances) {
        while (instance.process && instance.process->isRunning()
            && !answersOk(instance.callerAddress, "/.wagtailrack/ready")) {
            if (std::chrono::steady_clock::now() >= deadline)
                return makeError(ErrorCode::NotReady, this->logPath(instance.description.name), "not ready");
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return success();
}

int Deployment::runCommand(const std::vector<std::string>& arguments, SteadyTime deadline)
{
    std::vector<std::string> line = { this->options.binaryFolder + "/wagtailrack" };
    line.insert(line.end(), arguments.begin(), arguments.end());
    ChildProcess process(line, this->logPath("command"));
    return process.waitForExit(deadline).value_or(-1);
}

int Deployment::applyTables(const std::string& routes, const std::string& pools)
{
    // One working copy, so that each edit is sent against the version that the one before produced.
    const std::string copy = this->folder + "/tables";
    std::filesystem::create_directories(copy);
    this->runCommand({ "get", "--store", this->storeAddress.toString(), "--folder", copy },
        std::chrono::steady_clock::now() + commandTime);
    writeFile(copy + "/routes.toml", routes);
    writeFile(copy + "/pools.toml", pools);
    return this->runCommand({ "apply", "--store", this->storeAddress.toString(), "--folder", copy },
        std::chrono::steady_clock::now() + commandTime);
}

bool Deployment::stop(SteadyTime deadline)
{
    bool isClean = true;
    for (RunningInstance& instance : this->instances) {
        if (instance.process)
            instance.process->terminate();
    }
    for (RunningInstance& instance : this->instances) {
        if (instance.process && instance.process->waitForExit(deadline) != 0)
            isClean = false;
    }
    for (RunningBackend& backend : this->backends) {
        if (backend.process)
            backend.process->terminate();
    }
    for (RunningBackend& backend : this->backends) {
        if (backend.process)
            backend.process->waitForExit(deadline);
    }
    this->store.reset();
    this->instanceList.reset();
    if (isClean)
        std::filesystem::remove_all(this->folder);
    return isClean;
}

template <typename FaultsBetween> void Deployment::setAllFaults(const FaultsBetween& faultsBetween)
{
    const std::string storeDomain = this->instances.front().description.failureDomain;
    for (RunningInstance& from : this->instances) {
        const std::string& domain = from.description.failureDomain;
        for (RunningInstance& to : this->instances) {
            const ProxyFaults faults = faultsBetween(domain, to.description.failureDomain);
            to.callerProxy->setFaultsFrom(from.host, faults);
            to.peerProxy->setFaultsFrom(from.host, faults);
        }
        for (RunningBackend& backend : this->backends)
            backend.proxy->setFaultsFrom(from.host, faultsBetween(domain, backend.failureDomain));
        from.storeProxy->setFaultsFrom(from.host, faultsBetween(domain, storeDomain));
    }
}

void Deployment::separate(const std::set<std::string>& side)
{
    this->setAllFaults([&](const std::string& from, const std::string& to) {
        ProxyFaults faults;
        faults.isCut = side.contains(from) != side.contains(to);
        return faults;
    });
}

void Deployment::setLatencies(const DeploymentShape& shape)
{
    const DirectionFaults client { .delayMs = shape.clientLatencyMs };
    for (RunningInstance& instance : this->instances)
        instance.callerProxy->setFaults({ .toServer = client, .toClient = client });
    this->setAllFaults([&](const std::string& from, const std::string& to) {
        const DirectionFaults path { .delayMs = shape.latencyMs(from, to) };
        return ProxyFaults { .toServer = path, .toClient = path };
    });
}

void Deployment::heal()
{
    for (RunningInstance& instance : this->instances) {
        for (FaultProxy* proxy : { instance.callerProxy.get(), instance.peerProxy.get(), instance.storeProxy.get() })
            proxy->heal();
    }
    for (RunningBackend& backend : this->backends)
        backend.proxy->heal();
}

}
