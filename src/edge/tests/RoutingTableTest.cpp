#include <wagtailrack/edge/RoutingTable.h>

#include <CppUTest/TestHarness.h>

using namespace wagtailrack::edge;

TEST_GROUP(RoutingTable)
{
    static RouteRule rule(const char* name, const char* prefix)
    {
        RouteRule route;
        route.name = name;
        route.pathPrefix = prefix;
        route.weightedServices = { { "prices", 1 } };
        return route;
    }

    RoutingTable table { 7, {}, { { "a.example", { rule("short", "/x/"), rule("long", "/x/y/") } } }, {} };
};

// Guards against requests that are routed by a shorter prefix although a longer one matches.
TEST(RoutingTable, longestMatchingPrefixWins)
{
    STRCMP_EQUAL("long", this->table.findRoute("a.example", "/x/y/1")->name.c_str());
    STRCMP_EQUAL("short", this->table.findRoute("a.example", "/x/z")->name.c_str());
}

// Guards against a port or a query that keeps a route from matching, and against a prefix that matches within a query.
TEST(RoutingTable, portInHostAndQueryInPathAreIgnored)
{
    STRCMP_EQUAL("short", this->table.findRoute("a.example:8381", "/x/?p=/x/y/")->name.c_str());
    POINTERS_EQUAL(nullptr, this->table.findRoute("a.example", "/?/x/"));
}

// Guards against forwarding requests that no route matches.
TEST(RoutingTable, unknownHostAndPathHaveNoRoute)
{
    POINTERS_EQUAL(nullptr, this->table.findRoute("b.example", "/x/"));
    POINTERS_EQUAL(nullptr, this->table.findRoute("a.example", "/x"));
}
