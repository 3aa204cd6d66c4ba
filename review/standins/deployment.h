// The operator's manifest, the machines with the program's processes, and callers' requests.
#pragma once

#include "stream.h"

namespace scene {

struct Route {
    std::string name;
    std::string service;
    bool isIdempotent = true;
    int timeoutMs = 10000;
};

// The operator's manifest: one host, one prefix for each route.
inline std::string manifest(const std::vector<Route>& routes, const std::string& version = "00000003")
{
    std::string policy;
    std::string clusters;
    std::set<std::string> services;
    for (const Route& route : routes) {
        policy += (policy.empty() ? "" : ",") + std::string("{\"name\":\"r-") + route.name + "\",\"route_type\":\""
            + (route.isIdempotent ? "idempotent" : "non_idempotent")
            + "\",\"target_latency_ms\":1200,\"priority\":2,\"sticky\":true,\"match\":{\"prefix\":\"/" + route.name
            + "/\"},\"action\":{\"service\":\"" + route.service + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"max_attempts\":2,\"home_regions\":[]}}";
        if (services.insert(route.service).second)
            clusters += (clusters.empty() ? "" : ",") + std::string("{\"name\":\"") + route.service
                + "\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\",\"tls\":false,"
                  "\"cold_start_s\":3.0,\"cold_per_s\":2.9}";
    }
    return "{\"version\":\"" + version
        + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"listeners\":[{\"host\":\"jepu9.example\",\"policy\":["
        + policy + "]}],\"clusters\":[" + clusters + "]}";
}

// Addresses of one run of a scene. A random part keeps scenes that run at the same time apart.
struct Network {
    std::string prefix;
    int front = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
    int internal = 0;

    static Network choose()
    {
        std::random_device random;
        Network network;
        network.prefix = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        const int base = 20000 + static_cast<int>(random() % 9000);
        network.front = base;
        network.ready = base + 1;
        network.control = base + 2;
        network.directory = base + 3;
        network.internal = base + 10;
        return network;
    }
    std::string host(int number) const { return this->prefix + std::to_string(number); }
};

// One machine with the role of the deploy file: starts `target/wagtailrack edge`, kills it beyond its memory, and
// starts it again when it has ended.
class Machine {
public:
    static constexpr int64_t memoryMegabytes = 260;
    static constexpr double graceSeconds = 6;

    Machine(const Network& network, int storePort, const std::string& zone, int number, const std::string& folder)
        : network(network)
        , storePort(storePort)
        , zone(zone)
        , number(number)
        , folder(folder)
    {
        this->start(true);
        this->watcher = std::thread([this] { this->watch(); });
    }
    ~Machine()
    {
        this->isEnding = true;
        this->watcher.join();
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
        }
    }

    std::string host() const { return this->network.host(this->number); }
    std::string name() const { return "edge-" + this->zone + "-" + std::to_string(this->number); }
    void signal(int signalNumber, const char* what)
    {
        std::lock_guard lock(this->mutex);
        Record::shared().line("%s: %s", this->name().c_str(), what);
        if (this->pid > 0)
            ::kill(this->pid, signalNumber);
        this->isStopPlanned = this->isStopPlanned || signalNumber == SIGTERM;
        if (signalNumber == SIGTERM)
            this->killAtMs = nowMs() + static_cast<int64_t>(graceSeconds * 1000);
    }
    bool isReady() const
    {
        const auto stream = Stream::connect(this->host(), this->network.ready, 300);
        if (!stream || !stream->send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
            return false;
        const auto response = stream->read(nowMs() + 500);
        return response && response->status() == 200;
    }
    void awaitReady(int64_t deadlineMs) const
    {
        while (!this->isReady()) {
            if (nowMs() > deadlineMs)
                throw CannotRun { this->name() + " does not become ready" };
            sleepMs(100);
        }
    }
    // Ends of the process that nobody asked for, among them those for its memory.
    int ownEnds() const { return this->ownEndCount; }
    int64_t peakMegabytes() const { return this->peakBytes / 1000000; }

private:
    void start(bool isFirst)
    {
        const std::string path = this->folder + "/" + this->name() + ".conf";
        std::ofstream file(path);
        file << "self.node_id=" << this->name() << "\nself.role=edge-node\nself.machine_class=edge\n"
             << "self.serves=edge,directory\nself.ip=" << this->host() << "\nself.zone=" << this->zone
             << "\nself.region=muenchen\nself.in_tolerance=true\nself.bootstrap=" << (isFirst ? "true" : "false")
             << "\nself.limits.cpu_share=0.2\nself.limits.cores=1\nself.limits.memory_mb=" << memoryMegabytes
             << "\nself.limits.max_fds=4100\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n"
             << "network.listen.front=" << this->host() << ":" << this->network.front
             << "\nnetwork.listen.ready=" << this->host() << ":" << this->network.ready
             << "\nnetwork.listen.directory=" << this->host() << ":" << this->network.directory
             << "\nnetwork.internal_ports=" << this->network.internal << "," << this->network.internal + 15
             << "\nnetwork.zones.muc-a=muenchen\nnetwork.zones.muc-b=muenchen\n"
             << "platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat_ms=1500\n"
             << "platform.platform.addr=" << this->network.host(1) << ":" << this->storePort
             << "\nplatform.platform.form=kv\nplatform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n"
             << "platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n"
             << "platform.platform.ttl_min_ms=1000\n"
             << "terms.contracts=base,drain,config,cost,retry,recover,places,platform\n"
             << "terms.bounds.seed_lag_s=3\nterms.bounds.addr_reuse_s=2\nterms.bounds.stability_ms=4000\n"
             << "terms.bounds.ack_ms=5000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2500\n"
             << "terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\nterms.bounds.config_apply_ms=2500\n"
             << "terms.bounds.rollback_slack_ms=250\nterms.bounds.skew_max_ms=6000\nterms.bounds.retry_ratio=0.2\n"
             << "terms.bounds.retry_window_s=10\nterms.bounds.retry_slack=56\nterms.bounds.cold_overage=1.5\n"
             << "terms.bounds.cold_slack=5\nterms.bounds.evacuate_ms=5000\nterms.bounds.recovery_s=15\n"
             << "terms.bounds.ttl_max_s=5\nterms.bounds.max_shift=0.15\n";
        file.close();
        const std::string log = this->folder + "/" + this->name() + ".log";
        const std::string setting = "WAGTAILRACK_CONFIG=" + path;
        const pid_t parent = ::getpid();
        int started[2];
        if (::pipe2(started, O_CLOEXEC) != 0)
            throw CannotRun { "no pipe" };
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::putenv(const_cast<char*>(setting.c_str()));
            ::execl("target/wagtailrack", "target/wagtailrack", "edge", nullptr);
            ::_exit(127);
        }
        // The end of the pipe shows that the program runs: until then its memory is a copy of this process.
        ::close(started[1]);
        char byte = 0;
        (void)!::read(started[0], &byte, 1);
        ::close(started[0]);
        Record::shared().line("%s: process started", this->name().c_str());
    }
    int64_t residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        int64_t total = 0;
        int64_t resident = 0;
        file >> total >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }
    void watch()
    {
        while (!this->isEnding) {
            sleepMs(5);
            std::lock_guard lock(this->mutex);
            int status = 0;
            if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
                this->pid = 0;
                if (!this->isStopPlanned)
                    ++this->ownEndCount;
                Record::shared().line("%s: process ended, status %d%s", this->name().c_str(), status,
                    this->isStopPlanned ? " (planned stop)" : " (not asked for)");
                this->isStopPlanned = false;
                this->killAtMs = 0;
                this->startAtMs = nowMs() + 300;
            }
            if (this->pid == 0 && nowMs() >= this->startAtMs)
                this->start(false);
            if (this->pid <= 0)
                continue;
            if (this->killAtMs != 0 && nowMs() >= this->killAtMs)
                ::kill(this->pid, SIGKILL);
            const int64_t bytes = this->residentBytes();
            this->peakBytes = std::max<int64_t>(this->peakBytes, bytes);
            if (bytes > memoryMegabytes * 1000000) {
                Record::shared().line("%s: %lld MB resident, over its memory of %lld MB: killed by the platform",
                    this->name().c_str(), static_cast<long long>(bytes / 1000000),
                    static_cast<long long>(memoryMegabytes));
                ::kill(this->pid, SIGKILL);
            }
        }
    }

    Network network;
    int storePort;
    std::string zone;
    int number;
    std::string folder;
    std::mutex mutex;
    pid_t pid = 0;
    bool isStopPlanned = false;
    int64_t killAtMs = 0;
    int64_t startAtMs = 0;
    std::atomic<int> ownEndCount = 0;
    std::atomic<int64_t> peakBytes = 0;
    std::atomic<bool> isEnding = false;
    std::thread watcher;
};

inline std::string newAttemptId()
{
    static std::atomic<uint64_t> counter = 0;
    static const uint64_t run = std::random_device()();
    char text[32];
    std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(run),
        static_cast<unsigned long long>(++counter));
    return text;
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& attempt,
    int deadlineMs, const std::string& key, const std::string& body = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nWagtailrack-Attempt-Id: " + attempt
        + "\r\nCookie: Wagtailrack-Affinity-Key=" + key + "\r\nWagtailrack-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\n" + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

}
