#include "Benchmark.h"

#include <wagtailrack/platform/PlatformCodec.h>
#include <wagtailrack/platform/PlatformStore.h>

#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace wagtailrack::bench {

// Routes of a new deployment, of one that was grown by 1,400 routes, and of a configuration of 1 MiB, which is the
// largest value that the store accepts.
static constexpr size_t routeCounts[] = { 22, 1422, 4400 };
static constexpr size_t maximumValueBytes = 1'048'576;

static std::string pathPrefix(size_t route) { return "/area-" + std::to_string(route) + "/notices/"; }

// All routes have the same host, and every fourth one splits its requests over two services.
static std::string makeConfiguration(size_t routes)
{
    std::string text = R"({"version":"0000001a","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
                       R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"clusters":[{"name":"orders"},)"
                       R"({"name":"prices"}],"listeners":[{"host":"a.example","policy":[)";
    for (size_t route = 0; route < routes; ++route) {
        text += route == 0 ? "" : ",";
        text += R"({"name":"route-)" + std::to_string(route)
            + R"(","route_type":"idempotent","target_latency_ms":500,"priority":1,"match":{"prefix":")"
            + pathPrefix(route) + R"("},"action":{)";
        text += route % 4 == 0
            ? R"("traffic_split":[{"service":"orders","weight":90},{"service":"prices","weight":10}])"
            : R"("service":"orders")";
        text += R"(,"timeout_ms":2000,"max_attempts":2,"home_regions":["north"]}})";
    }
    return text + "]}]}";
}

static void runLookups(const edge::RoutingTable& table, size_t routes)
{
    constexpr size_t lookups = 200'000;
    std::mt19937 random(1);
    std::vector<std::string> matched;
    std::vector<std::string> unmatched;
    for (size_t count = 0; count < 1000; ++count) {
        matched.push_back(pathPrefix(random() % routes) + std::to_string(random() % 10'000) + "?page=2");
        unmatched.push_back("/other/" + std::to_string(random() % 10'000) + "/notices/7");
    }
    size_t found = 0;
    const auto microsecondsOf = [&](const std::vector<std::string>& paths) {
        return secondsOf([&] {
            for (size_t count = 0; count < lookups; ++count)
                found += table.findRoute("a.example:8381", paths[count % paths.size()]) ? 1 : 0;
        }) * 1e6
            / lookups;
    };
    const double matchedUs = microsecondsOf(matched);
    const double unmatchedUs = microsecondsOf(unmatched);
    std::printf("configuration-lookup routes=%zu matched_us=%.3f unmatched_us=%.3f found=%zu\n", routes, matchedUs,
        unmatchedUs, found);
}

static void runBase64()
{
    constexpr int rounds = 20;
    std::mt19937 random(1);
    std::string bytes;
    while (bytes.size() < maximumValueBytes)
        bytes += static_cast<char>(random() & 255);
    size_t sum = 0;
    const double encoded = secondsOf([&] {
        for (int round = 0; round < rounds; ++round)
            sum += platform::encodeBase64(bytes).size();
    });
    const std::string text = platform::encodeBase64(bytes);
    const double decoded = secondsOf([&] {
        for (int round = 0; round < rounds; ++round)
            sum += platform::decodeBase64(text).value().size();
    });
    std::printf("configuration-base64 bytes=%zu encode_ms=%.3f decode_ms=%.3f sum=%zu\n", bytes.size(),
        encoded * 1e3 / rounds, decoded * 1e3 / rounds, sum);
}

void runConfiguration()
{
    const platform::PlatformCodec codec;
    for (const size_t routes : routeCounts) {
        const std::string text = makeConfiguration(routes);
        const int rounds = routes < 100 ? 1000 : 20;
        size_t decodedRoutes = 0;
        const double decoded = secondsOf([&] {
            for (int round = 0; round < rounds; ++round)
                decodedRoutes += codec.decodeConfiguration(text).value()->routeCount();
        });
        std::printf("configuration-decode routes=%zu bytes=%zu decode_ms=%.3f decoded_routes=%zu\n", routes,
            text.size(), decoded * 1e3 / rounds, decodedRoutes);
        runLookups(*codec.decodeConfiguration(text).value(), routes);
    }
    runBase64();
}

}
