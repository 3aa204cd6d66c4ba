#include <wagtailrack/request/RetryBudget.h>

#include <algorithm>

namespace wagtailrack::request {

RetryBudget::RetryBudget(const Clock& processClock)
    : clock(processClock)
    , refilledAt(processClock.now())
{
}

void RetryBudget::refill()
{
    const SteadyTime now = this->clock.now();
    const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    if (this->tokens < minimumTokens)
        this->tokens = std::min(minimumTokens, this->tokens + seconds * minimumTokensPerSecond);
}

void RetryBudget::recordSuccess()
{
    const std::lock_guard lock(this->mutex);
    this->tokens = std::min(maximumTokens, this->tokens + tokensPerSuccess);
}

bool RetryBudget::take()
{
    const std::lock_guard lock(this->mutex);
    this->refill();
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

RetryBudgets::RetryBudgets(const Clock& processClock)
    : clock(processClock)
{
}

RetryBudget& RetryBudgets::of(const std::string& pool)
{
    const std::lock_guard lock(this->mutex);
    std::unique_ptr<RetryBudget>& budget = this->budgets[pool];
    if (!budget)
        budget = std::make_unique<RetryBudget>(this->clock);
    return *budget;
}

}
