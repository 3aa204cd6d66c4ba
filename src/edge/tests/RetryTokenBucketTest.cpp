#include <wagtailrack/edge/RetryTokenBucket.h>

#include <CppUTest/TestHarness.h>

#include "TestSeed.h"

#include <deque>
#include <random>
#include <vector>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(RetryAllowance) {};

// Guards against repetitions that multiply the load of a failing service: in any window, over all instances, however
// unevenly requests reach them. The pattern is a service that fails every request, with surges.
TEST(RetryAllowance, sumOverInstancesStaysWithinTheBudgetInAnyWindow)
{
    const uint32_t seed = testSeed(4711);
    std::mt19937 random(seed);
    constexpr int instances = 12;
    constexpr double ratio = 0.2;
    constexpr double slack = 64;
    constexpr int windowTicks = 100;
    std::vector<RetryTokenBucket> allowances(instances);
    std::deque<std::pair<int, int>> window;
    int requests = 0;
    int retries = 0;
    for (int tick = 0; tick < 5000; ++tick) {
        std::pair<int, int> now { 0, 0 };
        const int arrivals = static_cast<int>(random() % (tick / 500 % 2 == 0 ? 6 : 60));
        for (int arrival = 0; arrival < arrivals; ++arrival) {
            auto& allowance = allowances[random() % (1 + random() % instances)];
            allowance.recordRequest(ratio, slack / instances);
            ++now.first;
            now.second += allowance.tryTakeToken() ? 1 : 0;
        }
        window.push_back(now);
        requests += now.first;
        retries += now.second;
        if (window.size() > windowTicks) {
            requests -= window.front().first;
            retries -= window.front().second;
            window.pop_front();
        }
        CHECK_TEXT(retries <= ratio * requests + slack, describeSeed(seed).c_str());
    }
}

// Guards against a budget that never allows anything on a quiet service.
TEST(RetryAllowance, allowsARetryNowAndThen)
{
    RetryTokenBucket allowance;
    allowance.recordRequest(0.2, 0.5);
    CHECK_TRUE(allowance.tryTakeToken());
    CHECK_FALSE(allowance.tryTakeToken());
    for (int request = 0; request < 10; ++request)
        allowance.recordRequest(0.2, 0.5);
    CHECK_TRUE(allowance.tryTakeToken());
}
