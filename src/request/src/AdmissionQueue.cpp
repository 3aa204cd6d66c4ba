#include <wagtailrack/request/AdmissionQueue.h>

#include <algorithm>
#include <tuple>

namespace wagtailrack::request {

namespace {

// A waiting request looks for cancellation and for permits that came without a release (a share that grew, an
// ejection that ended) at this interval.
constexpr Milliseconds recheckInterval { 10 };

int rankOf(version::RequestClass requestClass) noexcept
{
    // Orders are as urgent as look-ups; among them the deadline decides.
    return requestClass == version::RequestClass::Deferrable ? 1 : 0;
}

auto orderOf(const AdmissionRequest& request) noexcept
{
    return std::make_tuple(rankOf(request.requestClass), request.deadline);
}

bool isDeferrable(const AdmissionRequest& request) noexcept
{
    return request.requestClass == version::RequestClass::Deferrable;
}

// Places that deferrable requests keep when the queue is full of others.
int64_t reserveOf(const version::Pool& pool) noexcept
{
    return pool.queueLength == 0 ? 0 : std::max<int64_t>(1, pool.queueLength / AdmissionQueue::deferrablePeriod);
}

}

AdmissionQueue::AdmissionQueue(const Clock& processClock, process::ServerStates& serverStates)
    : clock(processClock)
    , servers(serverStates)
{
    this->servers.setReleaseListener([this] { this->dispatch(); });
}

AdmissionQueue::~AdmissionQueue() { this->servers.setReleaseListener(nullptr); }

Admission AdmissionQueue::admit(const AdmissionRequest& request)
{
    std::unique_lock lock(this->mutex);
    PoolQueue& queue = this->queues[request.pool.name];
    if (this->isTooLate(queue, request))
        return { AdmissionEnd::TooLate, {} };
    if (queue.waiters.empty()) {
        process::ServerPermit permit = this->servers.acquire(request.pool, request.avoided, request.suspicion);
        if (permit) {
            queue.lastGrant = this->clock.now();
            return { AdmissionEnd::Granted, std::move(permit) };
        }
    }
    if (!this->servers.hasUsableServer(request.pool))
        return { AdmissionEnd::NoServer, {} };
    if (!this->makePlace(queue, request))
        return { AdmissionEnd::QueueFull, {} };
    return this->wait(queue, request, lock);
}

Admission AdmissionQueue::wait(PoolQueue& queue, const AdmissionRequest& request, std::unique_lock<std::mutex>& lock)
{
    Waiter waiter;
    waiter.request = &request;
    this->insert(queue, waiter);
    while (!waiter.isEnded) {
        if (waiter.ended.wait_for(lock, recheckInterval, [&waiter] { return waiter.isEnded; }))
            break;
        if (request.token.isCancelled())
            this->end(queue, std::find(queue.waiters.begin(), queue.waiters.end(), &waiter), AdmissionEnd::Cancelled);
        else
            this->dispatch(queue);
    }
    return std::move(waiter.result);
}

bool AdmissionQueue::isTooLate(const PoolQueue& queue, const AdmissionRequest& request) const
{
    const SteadyTime now = this->clock.now();
    if (now >= request.deadline)
        return true;
    if (now - queue.lastGrant > estimateTrust)
        return false;
    const std::chrono::duration<double, std::milli> expected(this->servers.expectedLatencyMs(request.pool));
    return now + expected > request.deadline;
}

bool AdmissionQueue::makePlace(PoolQueue& queue, const AdmissionRequest& request)
{
    const auto total = static_cast<int64_t>(queue.waiters.size());
    if (total < request.pool.queueLength)
        return true;
    const int64_t deferrable = std::count_if(queue.waiters.begin(), queue.waiters.end(),
        [](const Waiter* waiter) { return isDeferrable(*waiter->request); });
    const int64_t reserve = reserveOf(request.pool);
    if (isDeferrable(request))
        return deferrable < reserve;
    if (deferrable > reserve) {
        // The order of the queue puts the deferrable request with the latest deadline last.
        this->end(queue, std::prev(queue.waiters.end()), AdmissionEnd::QueueFull);
        return true;
    }
    return total - deferrable < request.pool.queueLength;
}

void AdmissionQueue::insert(PoolQueue& queue, Waiter& waiter)
{
    const auto place = std::find_if(queue.waiters.begin(), queue.waiters.end(),
        [&waiter](const Waiter* other) { return orderOf(*waiter.request) < orderOf(*other->request); });
    queue.waiters.insert(place, &waiter);
}

std::list<AdmissionQueue::Waiter*>::iterator AdmissionQueue::next(PoolQueue& queue)
{
    const auto deferrable = std::find_if(queue.waiters.begin(), queue.waiters.end(),
        [](const Waiter* waiter) { return isDeferrable(*waiter->request); });
    const bool isTurnOfDeferrable = (queue.grants + 1) % deferrablePeriod == 0;
    return isTurnOfDeferrable && deferrable != queue.waiters.end() ? deferrable : queue.waiters.begin();
}

void AdmissionQueue::end(PoolQueue& queue, std::list<Waiter*>::iterator position, AdmissionEnd end)
{
    Waiter& waiter = **position;
    queue.waiters.erase(position);
    waiter.result.end = end;
    waiter.isEnded = true;
    // The waiter lives until the lock is released.
    waiter.ended.notify_one();
}

void AdmissionQueue::dispatch(PoolQueue& queue)
{
    while (!queue.waiters.empty()) {
        const auto position = this->next(queue);
        const AdmissionRequest& request = *(*position)->request;
        if (this->isTooLate(queue, request)) {
            this->end(queue, position, AdmissionEnd::TooLate);
            continue;
        }
        process::ServerPermit permit = this->servers.acquire(request.pool, request.avoided, request.suspicion);
        if (!permit)
            return;
        ++queue.grants;
        queue.lastGrant = this->clock.now();
        (*position)->result.permit = std::move(permit);
        this->end(queue, position, AdmissionEnd::Granted);
    }
}

void AdmissionQueue::dispatch()
{
    const std::lock_guard lock(this->mutex);
    for (auto& [name, queue] : this->queues)
        this->dispatch(queue);
}

size_t AdmissionQueue::waiting(const std::string& pool) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->queues.find(pool);
    return found == this->queues.end() ? 0 : found->second.waiters.size();
}

}
