#pragma once

#include "CallRecord.h"
#include "LookupCache.h"

#include <wagtailrack/connection/HttpConnection.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// One request to send.
struct Call {
    std::string requestId;
    // Name of the route.
    std::string service;
    std::string method = "GET";
    std::string path;
    std::string body;
    bool isOrder = false;
    int64_t deadlineMs = 1000;
    // Further request headers.
    connection::HeaderMap headers;
};

// Writes down what a response says about the request of `record`. The simulated servers repeat the request's id at the
// end of each body. A server's own failure is no success and does not say whether the request ran.
void readAnswer(const connection::HttpResponse& response, CallRecord& record);

// A caller as the clients of a deployment are: asks look-up for its instances, keeps the answer until its validity
// ends, falls back to a configured list, and keeps connections open. Used by one thread; the look-up cache may be
// shared by callers of one client block. `bootstrap` and `cache` outlive the caller.
class Caller {
public:
    Caller(std::string address, const std::vector<Endpoint>& bootstrap, LookupCache& cache);

    // Sends one request and, when an instance does not answer, sends it to the next one; an order keeps its key.
    CallRecord run(const Call& call);

    // A key from the instance; nothing when it does not issue one.
    std::optional<std::string> fetchOrderKey(const Endpoint& instance, SteadyTime deadline);
    // Instances for a service from the cache, from look-up, or the configured list.
    std::vector<Endpoint> instancesFor(const std::string& service, SteadyTime deadline);

private:
    connection::ExchangeResult exchange(
        const Endpoint& instance, const connection::HttpRequest& request, SteadyTime deadline);
    // Takes a key from the first of the instances that issues one, and puts that instance first.
    bool takeOrderKey(CallRecord& record, std::vector<Endpoint>& instances, SteadyTime deadline);

    const std::string address;
    const std::vector<Endpoint>& bootstrap;
    LookupCache& cache;
    std::map<Endpoint, std::unique_ptr<connection::HttpConnection>> connections;
};

}
