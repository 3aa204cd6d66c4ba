#pragma once

#include <wagtailrack/base/Clock.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace wagtailrack::request {

// Limits retries and hedges of one pool to a part of its successes, so that they cannot multiply the load of servers
// that fail. Lives for the process; may be called by any thread.
class RetryBudget {
public:
    static constexpr double tokensPerSuccess = 0.1;
    static constexpr double minimumTokens = 10;
    // Bounds the retries that follow a long time without failures.
    static constexpr double maximumTokens = 100;
    // Refills the minimum in ten seconds when there are no successes.
    static constexpr double minimumTokensPerSecond = 1;

    explicit RetryBudget(const Clock& clock);

    void recordSuccess();
    // Takes one token; false when there is none.
    bool take();

private:
    void refill();

    const Clock& clock;
    std::mutex mutex;
    double tokens = minimumTokens;
    SteadyTime refilledAt;
};

// One budget for each pool, by name. Lives for the process; may be called by any thread.
class RetryBudgets {
public:
    explicit RetryBudgets(const Clock& clock);

    RetryBudget& of(const std::string& pool);

private:
    const Clock& clock;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<RetryBudget>> budgets;
};

}
