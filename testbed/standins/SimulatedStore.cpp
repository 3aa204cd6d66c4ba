#include "SimulatedStore.h"

#include <wagtailrack/base/Random.h>

#include <sys/socket.h>

#include <cstdlib>
#include <thread>

namespace wagtailrack::testbed {

using connection::HttpRequest;
using connection::HttpResponse;

namespace {

constexpr size_t maxValueBytes = 1'000'000;
constexpr std::string_view keysPath = "/v1/keys/";
constexpr std::string_view watchPath = "/v1/watch/";
constexpr std::string_view leasesPath = "/v1/leases";

int64_t numberOf(const HttpRequest& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? 0 : std::atoll(found->second.c_str());
}

HttpResponse status(int code) { return HttpResponse::json(code, "{}"); }

HttpResponse valueResponse(const std::string& value, uint64_t version)
{
    return HttpResponse { 200,
        { { "Content-Type", "application/octet-stream" }, { "X-Version", std::to_string(version) } }, value };
}

// The caller sees its connection end without an answer.
HttpResponse closeWithoutAnswer(const HttpRequest& request)
{
    ::shutdown(request.socket, SHUT_RDWR);
    return status(503);
}

}

HttpResponse SimulatedStore::handle(const HttpRequest& request)
{
    Lock lock(this->mutex);
    if (request.path.starts_with("/control"))
        return this->control(request);
    if (this->delayMs > 0) {
        const Milliseconds delay(this->delayMs);
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    if (this->isDown)
        return closeWithoutAnswer(request);
    this->expireLeases();
    HttpResponse response = this->serve(lock, request);
    if (response.status == 429)
        ++this->counters.refused;
    if (request.method == "PUT" && response.status == 200 && this->repliesToLose > 0) {
        --this->repliesToLose;
        return closeWithoutAnswer(request);
    }
    return response;
}

HttpResponse SimulatedStore::serve(Lock& lock, const HttpRequest& request)
{
    const bool isWrite = request.method != "GET";
    ++(isWrite ? this->counters.writes : this->counters.reads);
    if (!this->admit(isWrite ? this->writeRate : this->readRate))
        return status(429);
    if (request.path.starts_with(watchPath))
        return this->watchKey(lock, request.path.substr(watchPath.size()), request);
    if (request.path.starts_with(leasesPath))
        return request.method == "POST" ? this->grantLease(request)
                                        : this->renewLease(request.path.substr(leasesPath.size()));
    if (!request.path.starts_with(keysPath))
        return status(404);
    const std::string key = request.path.substr(keysPath.size());
    if (request.method == "GET")
        return this->readKey(key);
    if (request.method == "PUT")
        return this->writeKey(key, request);
    return this->deleteKey(key, request);
}

HttpResponse SimulatedStore::readKey(const std::string& key)
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? status(404) : valueResponse(found->second.value, found->second.version);
}

HttpResponse SimulatedStore::writeKey(const std::string& key, const HttpRequest& request)
{
    if (request.body.size() > maxValueBytes)
        return status(413);
    const auto found = this->entries.find(key);
    const uint64_t version = found == this->entries.end() ? 0 : found->second.version;
    if (request.query.contains("expected_version")
        && static_cast<uint64_t>(numberOf(request, "expected_version")) != version)
        return status(409);
    const auto lease = request.query.find("lease");
    if (lease != request.query.end() && !this->leases.contains(lease->second))
        return status(404);
    this->entries[key]
        = Entry { request.body, version + 1, lease == request.query.end() ? std::string() : lease->second };
    this->changed.notify_all();
    return valueResponse({}, version + 1);
}

HttpResponse SimulatedStore::deleteKey(const std::string& key, const HttpRequest& request)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return status(404);
    if (request.query.contains("expected_version")
        && static_cast<uint64_t>(numberOf(request, "expected_version")) != found->second.version)
        return status(409);
    this->entries.erase(found);
    return status(200);
}

HttpResponse SimulatedStore::watchKey(Lock& lock, const std::string& key, const HttpRequest& request)
{
    ++this->counters.watches;
    const auto known = static_cast<uint64_t>(numberOf(request, "after_version"));
    const SteadyTime end = std::chrono::steady_clock::now() + Milliseconds(numberOf(request, "timeout_ms"));
    const auto hasNews = [&] {
        const auto found = this->entries.find(key);
        return this->isStopping || this->isDown
            || (!this->hasFrozenWatches && found != this->entries.end() && found->second.version > known);
    };
    const bool isWoken = this->changed.wait_until(lock, end, hasNews);
    if (this->isDown)
        return closeWithoutAnswer(request);
    if (!isWoken || this->isStopping)
        return HttpResponse { 204, {}, {} };
    return this->readKey(key);
}

HttpResponse SimulatedStore::grantLease(const HttpRequest& request)
{
    const std::string id = randomHex(8);
    const int64_t ttlMs = numberOf(request, "ttl_ms");
    this->leases[id] = { ttlMs, std::chrono::steady_clock::now() + Milliseconds(ttlMs) };
    return HttpResponse::json(200, "{\"id\":\"" + id + "\"}");
}

HttpResponse SimulatedStore::renewLease(const std::string& id)
{
    const auto found = this->leases.find(id.starts_with("/") ? id.substr(1) : id);
    if (found == this->leases.end())
        return status(404);
    found->second.expiry = std::chrono::steady_clock::now() + Milliseconds(found->second.ttlMs);
    return status(200);
}

void SimulatedStore::expireLeases()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::erase_if(this->leases, [&](const auto& lease) { return lease.second.expiry <= now; });
    std::erase_if(this->entries,
        [&](const auto& entry) { return !entry.second.lease.empty() && !this->leases.contains(entry.second.lease); });
}

bool SimulatedStore::admit(Rate& rate)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - rate.second >= std::chrono::seconds(1)) {
        rate.second = now;
        rate.calls = 0;
    }
    return ++rate.calls <= rate.limit;
}

HttpResponse SimulatedStore::control(const HttpRequest& request)
{
    const std::string name = request.path.substr(std::string_view("/control").size());
    if (name == "/counters")
        return HttpResponse::json(200,
            "{\"reads\":" + std::to_string(this->counters.reads) + ",\"writes\":"
                + std::to_string(this->counters.writes) + ",\"watches\":" + std::to_string(this->counters.watches)
                + ",\"refused\":" + std::to_string(this->counters.refused) + "}");
    if (request.method != "POST")
        return status(405);
    if (name == "/outage")
        this->isDown = numberOf(request, "on") != 0;
    else if (name == "/slow")
        this->delayMs = numberOf(request, "ms");
    else if (name == "/lose-replies")
        this->repliesToLose = numberOf(request, "count");
    else if (name == "/freeze-watches")
        this->hasFrozenWatches = numberOf(request, "on") != 0;
    else if (name == "/snapshot")
        this->saved = this->entries;
    else if (name == "/restore")
        this->entries = this->saved;
    else if (name == "/clear")
        this->entries.clear();
    else if (name == "/rates") {
        this->readRate.limit = static_cast<uint64_t>(numberOf(request, "reads"));
        this->writeRate.limit = static_cast<uint64_t>(numberOf(request, "writes"));
    } else
        return status(404);
    this->changed.notify_all();
    return status(200);
}

void SimulatedStore::stop()
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->changed.notify_all();
}

}
