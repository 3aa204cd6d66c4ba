#include "RelayTask.h"

#include <wagtailrack/base/Random.h>
#include <wagtailrack/process/PeerClient.h>

#include <glog/logging.h>

#include <algorithm>
#include <atomic>

namespace wagtailrack::process {

namespace {

// One call takes 220 ms between distant regions, so that a share of three to eight failure domains in parallel keeps
// crash news within a second.
constexpr size_t parallelCalls = 8;
constexpr size_t maxQueuedMessages = 256;
constexpr int attemptsForEachFailureDomain = 2;

}

RelayTask::RelayTask(PeerContext& sharedContext)
    : context(sharedContext)
    , thread([this] { this->run(); })
{
}

RelayTask::~RelayTask()
{
    this->requestStop();
    this->thread.join();
}

void RelayTask::requestStop() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->wakeUp.notify_all();
}

void RelayTask::send(std::string method, Json::Value parameters, std::vector<std::string> failureDomains)
{
    if (failureDomains.empty())
        return;
    const std::lock_guard lock(this->mutex);
    if (this->queue.size() >= maxQueuedMessages) {
        LOG(WARNING) << "event=relay-queue-full method=" << method;
        return;
    }
    this->queue.push_back({ std::move(method), std::move(parameters), std::move(failureDomains) });
    this->wakeUp.notify_all();
}

void RelayTask::run()
{
    while (true) {
        Message message;
        {
            std::unique_lock lock(this->mutex);
            this->wakeUp.wait(lock, [this] { return this->isStopping || !this->queue.empty(); });
            if (this->queue.empty())
                return;
            message = std::move(this->queue.front());
            this->queue.pop_front();
        }
        this->deliver(message);
    }
}

void RelayTask::deliver(const Message& message)
{
    std::atomic<size_t> next { 0 };
    const auto work = [&] {
        for (size_t index = next++; index < message.failureDomains.size(); index = next++)
            this->deliverTo(message.failureDomains[index], message);
    };
    std::vector<std::thread> helpers;
    const size_t count = std::min(parallelCalls, message.failureDomains.size()) - 1;
    helpers.reserve(count);
    for (size_t index = 0; index < count; ++index)
        helpers.emplace_back(work);
    work();
    for (std::thread& helper : helpers)
        helper.join();
}

bool RelayTask::deliverTo(const std::string& failureDomain, const Message& message)
{
    std::vector<Member> candidates;
    for (const Member& member : this->context.membership.view()->members) {
        if (member.failureDomain == failureDomain && member.canTakeWork())
            candidates.push_back(member);
    }
    for (int attempt = 0; attempt < attemptsForEachFailureDomain && !candidates.empty(); ++attempt) {
        const auto chosen = candidates.begin() + static_cast<ptrdiff_t>(randomBelow(candidates.size()));
        PeerClient client(chosen->peerAddress, this->context.traffic);
        if (client.call(message.method, message.parameters, this->context.clock.now() + farCallTimeout))
            return true;
        candidates.erase(chosen);
    }
    return false;
}

}
