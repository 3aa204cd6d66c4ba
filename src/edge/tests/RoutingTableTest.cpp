#include <wagtailrack/edge/RoutingTable.h>

#include <CppUTest/TestHarness.h>

#include "TestSeed.h"

#include <algorithm>
#include <ctime>
#include <random>
#include <string>
#include <vector>

using namespace wagtailrack::edge;

namespace {

// Microseconds of processor time that this thread has used; other processes do not count.
double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// A random path prefix of few segments, so that prefixes repeat and contain each other.
std::string randomPrefix(std::mt19937& random)
{
    static const char* const segments[] = { "a/", "b/", "ab/", "/", "c?d/" };
    std::string prefix = "/";
    for (size_t count = random() % 4; count > 0; --count)
        prefix += segments[random() % std::size(segments)];
    return prefix;
}

std::string numberedPrefix(size_t route) { return "/area-" + std::to_string(route) + "/orders/"; }

}

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

    // The definition of the users' pages: compares all rules of the host. Of equal prefixes the first one wins.
    static const RouteRule* findLinearly(
        const RoutingTable::RoutesByHost& hosts, std::string_view host, std::string_view path)
    {
        const auto found = hosts.find(host.substr(0, host.find(':')));
        if (found == hosts.end())
            return nullptr;
        const RouteRule* longest = nullptr;
        for (const RouteRule& candidate : found->second) {
            if (path.substr(0, path.find('?')).starts_with(candidate.pathPrefix)
                && (!longest || candidate.pathPrefix.size() > longest->pathPrefix.size()))
                longest = &candidate;
        }
        return longest;
    }

    static RoutingTable::RoutesByHost numberedRoutes(size_t count)
    {
        RoutingTable::RoutesByHost hosts;
        for (size_t route = 0; route < count; ++route)
            hosts["a.example"].push_back(rule(std::to_string(route).c_str(), numberedPrefix(route).c_str()));
        return hosts;
    }

    // Least processor time of several runs of 2,000 look-ups, half of which match a route, in microseconds.
    static double lookupMicroseconds(const RoutingTable& table, size_t routes)
    {
        std::vector<std::string> paths;
        for (size_t index = 0; index < 1000; ++index) {
            paths.push_back(numberedPrefix(index * 7919 % routes) + "17?page=2");
            paths.push_back("/other-" + std::to_string(index) + "/orders/17");
        }
        double least = 0;
        for (int run = 0; run < 5; ++run) {
            const double startedAt = threadMicroseconds();
            size_t found = 0;
            for (const std::string& path : paths)
                found += table.findRoute("a.example:8381", path) ? 1 : 0;
            const double duration = threadMicroseconds() - startedAt;
            least = run == 0 ? duration : std::min(least, duration);
            LONGS_EQUAL(1000, found);
        }
        return least;
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

// Guards against an index that answers differently from the definition: another rule of two with the same prefix, a
// prefix that only begins a segment, a slash within the query.
TEST(RoutingTable, indexAnswersAsLinearSearchDoes)
{
    const uint32_t seed = wagtailrack::testSeed(4400);
    std::mt19937 random(seed);
    const std::string hostNames[] = { "a.example", "b.example", "c.example" };
    const std::string endings[] = { "", "a", "a/b", "?x=/a/", "/", "b/?/a/b/" };
    for (int round = 0; round < 300; ++round) {
        RoutingTable::RoutesByHost hosts;
        for (size_t count = random() % 30; count > 0; --count) {
            const std::string name = std::to_string(count);
            hosts[hostNames[random() % 2]].push_back(rule(name.c_str(), randomPrefix(random).c_str()));
        }
        const RoutingTable indexed(7, {}, hosts, {});
        for (int lookup = 0; lookup < 100; ++lookup) {
            const std::string host = hostNames[random() % 3] + (random() % 2 == 0 ? ":8381" : "");
            std::string path = randomPrefix(random) + endings[random() % std::size(endings)];
            if (random() % 10 == 0)
                path = path.substr(random() % (path.size() + 1));
            const RouteRule* expected = findLinearly(hosts, host, path);
            const RouteRule* found = indexed.findRoute(host, path);
            std::string text = wagtailrack::describeSeed(seed);
            text.append(" host ").append(host).append(" path ").append(path);
            CHECK_TEXT((found == nullptr) == (expected == nullptr), text.c_str());
            CHECK_TEXT(!found || *found == *expected, text.c_str());
        }
    }
}

// Load test for the pattern "routes are added until the configuration has its largest size". Guards against look-ups
// whose cost grows with the number of routes: every request looks its route up, on a tenth of a core.
TEST(RoutingTable, lookupsCostNoMoreInTheLargestConfiguration)
{
    // As many routes as a new deployment has, and as many of 230 bytes as fit into a configuration of 1 MiB.
    constexpr size_t fewRoutes = 22;
    constexpr size_t mostRoutes = 4400;
    // Without growth the ratio is 1. Leaves room for the larger index, which does not fit into the fastest cache; a
    // search through all routes has a ratio of about mostRoutes / fewRoutes = 200.
    constexpr double maximumRatio = 10;
    const RoutingTable small(7, {}, numberedRoutes(fewRoutes), {});
    const RoutingTable large(8, {}, numberedRoutes(mostRoutes), {});
    for (size_t route = 0; route < mostRoutes; ++route)
        STRCMP_EQUAL(
            std::to_string(route).c_str(), large.findRoute("a.example", numberedPrefix(route) + "1")->name.c_str());
    const double ratio = lookupMicroseconds(large, mostRoutes) / lookupMicroseconds(small, fewRoutes);
    CHECK_TEXT(ratio <= maximumRatio, ("look-ups take longer by the factor " + std::to_string(ratio)).c_str());
}

// Guards against quadratic work for a request target that consists of slashes: it is bounded by the longest prefix.
TEST(RoutingTable, pathOfManySlashesIsLookedUpQuickly)
{
    // The largest request head that callers may send.
    const std::string path(static_cast<size_t>(CallerLimits().maxHeaderBytes), '/');
    constexpr int lookups = 1000;
    // A request may take a tenth of a millisecond of processor time here: on a tenth of a core that is one millisecond.
    constexpr double maximumMicroseconds = 100;
    const double startedAt = threadMicroseconds();
    for (int lookup = 0; lookup < lookups; ++lookup)
        POINTERS_EQUAL(nullptr, this->table.findRoute("a.example", path));
    CHECK_TRUE((threadMicroseconds() - startedAt) / lookups <= maximumMicroseconds);
}
