#include <wagtailrack/edge/RetryTokenBucket.h>

#include <CppUTest/TestHarness.h>

#include "TestSeed.h"

#include <deque>
#include <random>
#include <vector>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(RetryTokenBucket) {};

// Guards against retries multiplying the load of a failing service: the limit must hold in any window, over all
// instances, however unevenly they receive requests. The simulated service fails every request, and its load has
// surges.
TEST(RetryTokenBucket, sumOverInstancesStaysWithinTheLimitInAnyWindow)
{
    const uint32_t seed = testSeed(4711);
    std::mt19937 random(seed);
    constexpr int instances = 12;
    constexpr double ratio = 0.2;
    constexpr double slack = 64;
    constexpr int windowTicks = 100;
    std::vector<RetryTokenBucket> buckets(instances);
    std::deque<std::pair<int, int>> window;
    int requests = 0;
    int retries = 0;
    for (int tick = 0; tick < 5000; ++tick) {
        std::pair<int, int> tickCounts { 0, 0 };
        const int arrivals = static_cast<int>(random() % (tick / 500 % 2 == 0 ? 6 : 60));
        for (int arrival = 0; arrival < arrivals; ++arrival) {
            auto& bucket = buckets[random() % (1 + random() % instances)];
            bucket.recordRequest(ratio, slack / instances);
            ++tickCounts.first;
            tickCounts.second += bucket.tryTakeToken() ? 1 : 0;
        }
        window.push_back(tickCounts);
        requests += tickCounts.first;
        retries += tickCounts.second;
        if (window.size() > windowTicks) {
            requests -= window.front().first;
            retries -= window.front().second;
            window.pop_front();
        }
        CHECK_TEXT(retries <= ratio * requests + slack, describeSeed(seed).c_str());
    }
}

// Guards against a share of the slack below one token preventing all retries of a service with few requests.
TEST(RetryTokenBucket, allowsRetriesOfAServiceWithFewRequests)
{
    RetryTokenBucket bucket;
    bucket.recordRequest(0.2, 0.5);
    CHECK_TRUE(bucket.tryTakeToken());
    CHECK_FALSE(bucket.tryTakeToken());
    for (int request = 0; request < 10; ++request)
        bucket.recordRequest(0.2, 0.5);
    CHECK_TRUE(bucket.tryTakeToken());
}
