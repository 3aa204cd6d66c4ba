#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace wagtailrack::testbed {

// The platform's instance list of docs/design.md, 4.4. `PUT /control/instances` sets the entries, which `GET
// /v1/instances` returns after a lag; `POST /control/lag?ms=N` and `POST /control/outage?on=0|1` are its fault
// controls. Lives for the process; handle() may be called by many threads.
class SimulatedInstanceList {
public:
    connection::HttpResponse handle(const connection::HttpRequest& request);

private:
    struct Change {
        SteadyTime at;
        std::string entries;
    };

    connection::HttpResponse control(const connection::HttpRequest& request);

    std::mutex mutex;
    std::deque<Change> changes;
    // What was set last before the lag.
    std::string visible = "[]";
    int64_t lagMs = 0;
    bool isDown = false;
};

}
