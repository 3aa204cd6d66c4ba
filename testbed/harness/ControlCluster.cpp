#include "ControlCluster.h"

#include "freePort.h"

#include <wagtailrack/connection/HttpConnection.h>
#include <wagtailrack/process/HttpConfigurationStore.h>
#include <wagtailrack/process/PeerClient.h>
#include <wagtailrack/version/TableChunks.h>

#include <json/writer.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

namespace wagtailrack::testbed {

namespace {

constexpr Milliseconds callTimeout { 2000 };
constexpr Milliseconds pollInterval { 100 };
// Far above the time that any awaited condition takes on a busy machine.
constexpr std::chrono::seconds waitLimit { 120 };

SteadyTime after(std::chrono::milliseconds time) { return std::chrono::steady_clock::now() + time; }

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "wagtailrack-XXXXXX";
    return mkdtemp(pattern.data());
}

std::string routesText(int clientBlocks)
{
    std::string text = "[[route]]\nname = \"prices\"\npath_prefix = \"/prices\"\npool = \"prices\"\n";
    for (int block = 0; block < clientBlocks; ++block) {
        text += "\n[[client_block]]\nprefix = \"10." + std::to_string(block / 256) + '.' + std::to_string(block % 256)
            + ".0/24\"\nfailure_domain = \"fd-a\"\n";
    }
    return text;
}

// Each edit changes one number of the pool.
std::string poolsText(uint64_t generation)
{
    return "[[failure_domain]]\nname = \"fd-a\"\nregion = \"north\"\n\n[[failure_domain]]\nname = \"fd-b\"\n"
           "region = \"north\"\n\n[[pool]]\nname = \"prices\"\nslots = 3\nqueue_length = "
        + std::to_string(10 + generation)
        + "\n\n[[pool.server]]\naddress = \"127.0.0.1:9\"\nfailure_domain = \"fd-a\"\n";
}

}

ControlCluster::ControlCluster(const std::string& programFolder)
    : storeAddress(freeEndpoint())
    , listAddress(freeEndpoint())
    , binaryFolder(programFolder)
    , folder(makeFolder())
{
    const std::string program = this->binaryFolder + "/wagtailrack-testbed";
    this->store.emplace(
        std::vector { program, std::string("store"), std::string("--listen"), this->storeAddress.toString() },
        this->folder + "/store.log");
    this->list.emplace(
        std::vector { program, std::string("instance-list"), std::string("--listen"), this->listAddress.toString() },
        this->folder + "/list.log");
    waitUntil([this] { return !this->storeCounters().empty(); });
    waitUntil([this] { return !this->send(this->listAddress, "GET", "/v1/instances", "").empty(); });
}

ControlCluster::~ControlCluster()
{
    // A frozen process would not end otherwise.
    for (ControlInstance& instance : this->instances)
        instance.process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

ControlInstance& ControlCluster::add(const std::string& name, const std::string& failureDomain)
{
    ControlInstance& instance = this->instances.emplace_back();
    instance.name = name;
    instance.failureDomain = failureDomain;
    instance.callerAddress = freeEndpoint();
    instance.peerAddress = freeEndpoint();
    instance.storeAddress = this->storeAddress;
    instance.listAddress = this->listAddress;
    instance.settingsPath = this->folder + "/" + name + ".toml";
    instance.logPath = this->folder + "/" + name + ".log";
    return instance;
}

void ControlCluster::start(ControlInstance& instance)
{
    std::ofstream settings(instance.settingsPath);
    settings << "name = \"" << instance.name << "\"\nfailure_domain = \"" << instance.failureDomain
             << "\"\ncaller_address = \"" << instance.callerAddress.toString() << "\"\npeer_address = \""
             << instance.peerAddress.toString() << "\"\nstore_address = \"" << instance.storeAddress.toString()
             << "\"\ninstance_list_address = \"" << instance.listAddress.toString()
             << "\"\nlookup_validity_ms = 500\norder_key_validity_ms = 500\nleave_notice_ms = 500\n";
    settings.close();
    instance.process.reset();
    instance.process.emplace(std::vector { this->binaryFolder + "/wagtailrack", std::string("serve"),
                                 std::string("--settings"), instance.settingsPath },
        instance.logPath);
}

void ControlCluster::publishList(const std::vector<const ControlInstance*>& listed)
{
    Json::Value entries(Json::arrayValue);
    for (const ControlInstance* instance : listed) {
        Json::Value entry;
        entry["name"] = instance->name;
        entry["failure_domain"] = instance->failureDomain;
        entry["caller_address"] = instance->callerAddress.toString();
        entry["peer_address"] = instance->peerAddress.toString();
        entry["state"] = "live";
        entries.append(entry);
    }
    this->send(this->listAddress, "PUT", "/control/instances", Json::writeString(Json::StreamWriterBuilder(), entries));
}

void ControlCluster::publishAll()
{
    std::vector<const ControlInstance*> all;
    for (const ControlInstance& instance : this->instances)
        all.push_back(&instance);
    this->publishList(all);
}

void ControlCluster::controlStore(const std::string& command)
{
    this->send(this->storeAddress, "POST", "/control/" + command, "");
}

std::string ControlCluster::storeCounters() { return this->send(this->storeAddress, "GET", "/control/counters", ""); }

version::VersionId ControlCluster::edit() { return this->editTo(routesText(this->clientBlocks)); }

version::VersionId ControlCluster::editTo(const std::string& routes)
{
    process::HttpConfigurationStore client(this->storeAddress);
    const std::string pools = poolsText(this->head.id.generation + 1);
    version::Head next
        = version::nextHead(this->head, "edit-" + std::to_string(this->head.id.generation + 1), routes, pools);
    for (const std::string* text : { &routes, &pools }) {
        const auto hashes = version::chunkHashes(*text);
        const auto chunks = version::splitIntoChunks(*text);
        for (size_t index = 0; index < chunks.size(); ++index) {
            const auto written
                = client.write("wagtailrack/chunk/" + hashes[index], std::string(chunks[index]), 0, after(callTimeout));
            // A conflict means that the chunk is there.
            if (!written && written.error().code != ErrorCode::VersionConflict)
                return {};
        }
    }
    this->headWrittenAt = std::chrono::system_clock::now();
    const auto written
        = client.write("wagtailrack/head", version::encodeHead(next), this->headVersion, after(callTimeout));
    if (!written)
        return {};
    this->headVersion = written.value();
    this->head = std::move(next);
    return this->head.id;
}

version::VersionId ControlCluster::storedVersion() const
{
    process::HttpConfigurationStore client(this->storeAddress);
    const auto stored = client.read("wagtailrack/head", after(callTimeout));
    if (!stored || !stored.value())
        return {};
    const auto decoded = version::decodeHead(stored.value()->value, "store");
    return decoded ? decoded.value().id : version::VersionId {};
}

Result<Json::Value> ControlCluster::call(
    const ControlInstance& instance, const std::string& method, const Json::Value& parameters) const
{
    process::PeerTraffic traffic;
    process::PeerClient client(instance.peerAddress, traffic);
    return client.call(method, parameters, after(callTimeout));
}

version::VersionId ControlCluster::activeVersion(const ControlInstance& instance) const
{
    const auto answer = this->call(instance, "traffic", Json::Value(Json::objectValue));
    if (!answer)
        return {};
    return { answer.value()["generation"].asUInt64(), answer.value()["digest"].asString() };
}

std::map<std::string, process::Member> ControlCluster::members(
    const ControlInstance& instance, const std::string& failureDomain) const
{
    std::map<std::string, process::Member> members;
    Json::Value parameters(Json::objectValue);
    parameters["failureDomain"] = failureDomain;
    const auto answer = this->call(instance, "members", parameters);
    if (!answer)
        return members;
    for (const Json::Value& entry : answer.value()["members"]) {
        process::Member member;
        member.name = entry[0].asString();
        member.processId = entry[1].asString();
        member.failureDomain = failureDomain;
        member.incarnation = entry[5].asUInt64();
        member.status = process::MemberStatus::Unreachable;
        using process::MemberStatus;
        for (const MemberStatus status :
            { MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving, MemberStatus::Dead }) {
            if (entry[6].asString() == process::toString(status))
                member.status = status;
        }
        members[member.name] = member;
    }
    return members;
}

bool ControlCluster::hasLogged(const ControlInstance& instance, const std::string& text)
{
    std::ifstream log(instance.logPath);
    std::string line;
    while (std::getline(log, line)) {
        if (line.find(text) != std::string::npos)
            return true;
    }
    return false;
}

bool ControlCluster::isActiveEverywhere(const version::VersionId& id) const
{
    for (const ControlInstance& instance : this->instances) {
        if (instance.process && this->activeVersion(instance) != id)
            return false;
    }
    return true;
}

bool ControlCluster::hasConverged() const
{
    std::map<std::string, std::string> processIds;
    std::set<std::string> failureDomains;
    for (const ControlInstance& instance : this->instances)
        failureDomains.insert(instance.failureDomain);
    for (const ControlInstance& observer : this->instances) {
        if (!observer.process)
            continue;
        std::map<std::string, process::Member> seen;
        for (const std::string& failureDomain : failureDomains)
            seen.merge(this->members(observer, failureDomain));
        for (const ControlInstance& other : this->instances) {
            const auto found = seen.find(other.name);
            const bool isAlive = found != seen.end() && found->second.status == process::MemberStatus::Alive;
            if (isAlive != other.process.has_value())
                return false;
            if (isAlive
                && processIds.emplace(other.name, found->second.processId).first->second != found->second.processId)
                return false;
        }
    }
    return true;
}

bool ControlCluster::waitUntil(const std::function<bool()>& condition)
{
    const SteadyTime deadline = after(waitLimit);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string ControlCluster::send(
    const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body)
{
    connection::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    const SteadyTime deadline = after(callTimeout);
    const auto result = connection::exchangeOnce(endpoint, request, { deadline, deadline, deadline });
    return result.response && result.response.value().status == 200 ? result.response.value().body : "";
}

}
