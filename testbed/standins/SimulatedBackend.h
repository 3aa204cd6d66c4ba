#pragma once

#include "BackendBehavior.h"

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// A backend server that runs requests by waiting. Records in its ledger what it ran, so that a test can compare that
// with what callers were told. Its handler is called by the threads of an HttpServer.
//
//     PUT /control          changes the behavior; GET /control shows it
//     PUT /control/drain    starts to drain
//     GET /control/ledger   what ran, with counts of shed and cancelled requests; DELETE empties it
//     GET /health           {"draining":bool,"load":number}
class SimulatedBackend {
public:
    SimulatedBackend(std::string name, const BackendBehavior& behavior);

    connection::HttpResponse handle(const connection::HttpRequest& request);

private:
    struct Entry {
        std::string requestId;
        std::string idempotencyKey;
        std::string method;
        std::string path;
        long long startedMs = 0;
        long long endedMs = 0;
        const char* end = "running";
    };

    // What was reported at one time, for reports that lag.
    struct Report {
        SteadyTime time;
        double load = 0;
        bool isDraining = false;
    };

    enum class Wait {
        Ended,
        CallerGone,
        DeadlinePassed,
    };

    struct Work {
        BackendBehavior behavior;
        SteadyTime deadline;
        size_t entry = 0;
    };

    connection::HttpResponse control(const connection::HttpRequest& request);
    connection::HttpResponse changeBehavior(const connection::HttpRequest& request);
    connection::HttpResponse ledgerAnswer();
    connection::HttpResponse health(const connection::HttpRequest& request);
    connection::HttpResponse runWork(const connection::HttpRequest& request);
    connection::HttpResponse shed(const char* reason);
    connection::HttpResponse answer(const connection::HttpRequest& request, const Work& work);
    connection::HttpResponse normalAnswer(const connection::HttpRequest& request, const Work& work);
    bool enter(const connection::HttpRequest& request, Work& work);
    void leave(const Work& work, const char* end);
    double serviceMs(const BackendBehavior& behavior, int64_t started) const;
    std::string bodyFor(const std::string& requestId, const std::string& path, int64_t padding) const;
    Report reportNow();
    void addReport(connection::HttpResponse& response);

    static Wait waitUntil(int socket, SteadyTime end, SteadyTime deadline);
    static bool isCallerGone(int socket);

    std::string name;
    std::mutex mutex;
    std::condition_variable slotFreed;
    BackendBehavior behavior;
    std::vector<Entry> ledger;
    std::deque<Report> reports;
    std::string crossedId;
    int64_t running = 0;
    int64_t queued = 0;
    int64_t peakRunning = 0;
    int64_t shedCount = 0;
    int64_t cancelledCount = 0;
    int64_t healthCount = 0;
    long long drainedAtMs = 0;
};

}
