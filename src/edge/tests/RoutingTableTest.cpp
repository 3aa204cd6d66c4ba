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

// Guards against requests that run on the service of a shorter prefix.
TEST(RoutingTable, longestPrefixDecides)
{
    STRCMP_EQUAL("long", this->table.findRoute("a.example", "/x/y/1")->name.c_str());
    STRCMP_EQUAL("short", this->table.findRoute("a.example", "/x/z")->name.c_str());
}

// Guards against a query or a port that hides a route, and against a query that matches one.
TEST(RoutingTable, portAndQueryDoNotCount)
{
    STRCMP_EQUAL("short", this->table.findRoute("a.example:8381", "/x/?p=/x/y/")->name.c_str());
    POINTERS_EQUAL(nullptr, this->table.findRoute("a.example", "/?/x/"));
}

// Guards against an answer for requests that no route allows.
TEST(RoutingTable, unknownHostAndPathHaveNoRoute)
{
    POINTERS_EQUAL(nullptr, this->table.findRoute("b.example", "/x/"));
    POINTERS_EQUAL(nullptr, this->table.findRoute("a.example", "/x"));
}
