#include <wagtailrack/connection/BackendConnections.h>

#include <wagtailrack/base/HeaderNames.h>

namespace wagtailrack::connection {

BackendConnections::BackendConnections(const Clock& processClock)
    : clock(processClock)
{
}

BackendConnections::Pointer BackendConnections::take(const Endpoint& endpoint, ConnectionUse use)
{
    std::vector<Idle> expired;
    if (use == ConnectionUse::ReuseIdle) {
        const std::lock_guard lock(this->mutex);
        std::vector<Idle>& entries = this->idle[endpoint];
        if (!entries.empty() && this->clock.now() < entries.back().usableUntil) {
            Pointer connection = std::move(entries.back().connection);
            entries.pop_back();
            return connection;
        }
        // The last one is the youngest, so all have expired; their sockets are closed without the lock.
        expired.swap(entries);
    }
    return std::make_shared<HttpConnection>(endpoint);
}

ExchangeResult BackendConnections::exchange(
    const Pointer& connection, const HttpRequest& request, const ExchangeLimits& limits)
{
    ExchangeResult result = connection->exchange(request, limits);
    if (!result.response) {
        if (result.response.error().code == ErrorCode::TimedOut && result.received == ReceiveProgress::NothingReceived)
            this->closeIdle(connection->endpoint());
        return result;
    }
    const HttpResponse& response = result.response.value();
    if (headerValue(response.headers, headers::requestId) != headerValue(request.headers, headers::requestId)) {
        connection->cancel();
        result.response = makeError(
            ErrorCode::AnswerMismatched, connection->endpoint().toString(), "answer has the id of another request");
        return result;
    }
    return result;
}

void BackendConnections::giveBack(const Pointer& connection, int64_t idleMs)
{
    if (!connection->isOpen())
        return;
    Idle oldest;
    const std::lock_guard lock(this->mutex);
    std::vector<Idle>& entries = this->idle[connection->endpoint()];
    if (entries.size() >= maxIdlePerAddress) {
        oldest = std::move(entries.front());
        entries.erase(entries.begin());
    }
    entries.push_back({ connection, this->clock.now() + Milliseconds(idleMs) });
}

void BackendConnections::closeIdle(const Endpoint& endpoint)
{
    std::vector<Idle> closed;
    const std::lock_guard lock(this->mutex);
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end())
        return;
    closed.swap(found->second);
    this->idle.erase(found);
}

size_t BackendConnections::idleCount(const Endpoint& endpoint) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->idle.find(endpoint);
    return found == this->idle.end() ? 0 : found->second.size();
}

}
