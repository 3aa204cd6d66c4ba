// A stand-in of a backend server, and what servers ran.
#pragma once

#include "store.h"

namespace scene {

// Everything that happened to one attempt of a caller at a server.
struct Run {
    std::string server;
    int64_t arrivedMs = 0;
    int64_t endedMs = 0;
    // "answered", "dropped" (the connection closed while it ran), "not-executed"
    std::string end;
};

class Runs {
public:
    static Runs& shared()
    {
        static Runs runs;
        return runs;
    }
    size_t begin(const std::string& id, const std::string& server)
    {
        std::lock_guard lock(this->mutex);
        this->byId[id].push_back({ server, nowMs(), 0, "" });
        return this->byId[id].size() - 1;
    }
    void end(const std::string& id, size_t index, const char* how)
    {
        std::lock_guard lock(this->mutex);
        this->byId[id][index].endedMs = nowMs();
        this->byId[id][index].end = how;
    }
    std::vector<Run> of(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->byId.find(id);
        return found == this->byId.end() ? std::vector<Run>() : found->second;
    }

private:
    std::mutex mutex;
    std::map<std::string, std::vector<Run>> byId;
};

// A backend server. It registers itself, rejects requests for another instance and requests beyond its slots and queue,
// works for the time that the path says ("/ROUTE/WORK_MS/..."), and drops a request whose connection closes.
class Server {
public:
    // Answers a request in place of the server; returns false for the usual answer. A `handler` takes the place of the
    // whole connection's.
    using Trouble = std::function<bool(Stream&, const Message&)>;

    Server(Store& store, std::string id, std::string service, std::string zone, const std::string& host, int slots,
        Trouble trouble = {}, Listener::Handler handler = {})
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , host(host)
        , slots(slots)
        , trouble(std::move(trouble))
        , bornMs(unixMs())
        , listener(
              host, 0, handler ? handler : [this](Stream& stream) { this->serve(stream); })
    {
        this->beat();
        std::thread([this] {
            while (true) {
                sleepMs(1500);
                this->beat();
            }
        }).detach();
    }

private:
    void beat()
    {
        this->store.put("servers/" + this->id,
            "{\"service\":\"" + this->service + "\",\"addr\":\"" + this->host + ":"
                + std::to_string(this->listener.port()) + "\",\"zone\":\"" + this->zone
                + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\"ready\""
                + ",\"cold_left_ms\":0,\"seq\":" + std::to_string(++this->sequence)
                + ",\"born\":" + std::to_string(this->bornMs) + "}");
    }
    void serve(Stream& stream)
    {
        while (const auto request = stream.read(nowMs() + 10000)) {
            if (!this->answer(stream, *request))
                return;
        }
    }
    static std::string head(int status, const char* reason, const std::string& attempt)
    {
        return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nWagtailrack-Attempt-Id: " + attempt + "\r\n";
    }
    bool answer(Stream& stream, const Message& request)
    {
        const std::string attempt = request.header("Wagtailrack-Attempt-Id");
        if (request.header("Wagtailrack-Expect-Instance") != this->id)
            return stream.send(head(421, "Misdirected Request", attempt) + "Wagtailrack-Instance-Id: " + this->id
                + "\r\nContent-Length: 0\r\n\r\n");
        if (this->trouble && this->trouble(stream, request))
            return false;
        if (this->busy >= this->slots) {
            Record::shared().line("server %s rejects %s as not executed", this->id.c_str(), attempt.c_str());
            return stream.send(
                head(503, "Service Unavailable", attempt) + "Wagtailrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ++this->busy;
        const size_t run = Runs::shared().begin(attempt, this->id);
        Record::shared().line("server %s runs %s", this->id.c_str(), attempt.c_str());
        const size_t first = request.startLine.find('/', request.startLine.find('/') + 1);
        const bool isDropped = stream.isClosedWithin(std::atoll(request.startLine.c_str() + first + 1));
        --this->busy;
        Runs::shared().end(attempt, run, isDropped ? "dropped" : "answered");
        Record::shared().line("server %s %s %s", this->id.c_str(), isDropped ? "drops" : "answers", attempt.c_str());
        if (isDropped)
            return false;
        const std::string body = "result of " + attempt + "\n";
        return stream.send(head(200, "OK", attempt) + "Wagtailrack-Response-Seal: seal." + attempt + "." + this->id
            + "\r\nWagtailrack-Server-Load: " + std::to_string(this->busy) + ",0," + std::to_string(this->slots)
            + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    Store& store;
    std::string id;
    std::string service;
    std::string zone;
    std::string host;
    int slots;
    Trouble trouble;
    int64_t bornMs;
    std::atomic<int> busy = 0;
    std::atomic<int> sequence = 0;
    Listener listener;
};

}
