#pragma once

#include <wagtailrack/edge/RoutingTable.h>

#include <map>
#include <string>

namespace wagtailrack::edge {

// Divides the requests of a route among its services: chooses the service that is furthest behind its weight, so that
// any sequence of requests is divided according to the weights. State: one number for each route and service. Lives as
// long as its owner; used by one thread.
class TrafficSplit {
public:
    std::string choose(const RouteRule& rule);
    // Returns what choose() would return, without counting a request.
    std::string preview(const RouteRule& rule) const;

private:
    using Deficits = std::map<std::string, double>;

    static std::string chooseFrom(const RouteRule& rule, Deficits& deficits);

    // Number of requests that each service is behind its weight, by route and service.
    std::map<std::string, Deficits> deficitsByRoute;
};

}
