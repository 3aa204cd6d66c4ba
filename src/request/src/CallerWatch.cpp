#include <wagtailrack/request/CallerWatch.h>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>

namespace wagtailrack::request {

namespace {

constexpr uint64_t stopId = 0;

}

CallerWatching::CallerWatching(CallerWatch& processWatch, int callerSocket, std::shared_ptr<CancelToken> token)
    : watch(processWatch)
    , socket(callerSocket)
{
    if (this->socket >= 0)
        this->id = this->watch.add(this->socket, std::move(token));
}

CallerWatching::~CallerWatching()
{
    if (this->socket >= 0)
        this->watch.remove(this->socket, this->id);
}

CallerWatch::CallerWatch()
    : poller(::epoll_create1(EPOLL_CLOEXEC))
    , stopEvent(::eventfd(0, EFD_CLOEXEC))
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.u64 = stopId;
    ::epoll_ctl(this->poller, EPOLL_CTL_ADD, this->stopEvent, &event);
    this->thread = std::thread([this] { this->run(); });
}

CallerWatch::~CallerWatch()
{
    const uint64_t one = 1;
    (void)!::write(this->stopEvent, &one, sizeof one);
    this->thread.join();
    ::close(this->stopEvent);
    ::close(this->poller);
}

uint64_t CallerWatch::add(int socket, std::shared_ptr<CancelToken> token)
{
    uint64_t id = 0;
    {
        const std::lock_guard lock(this->mutex);
        id = this->nextId++;
        this->tokens.emplace(id, std::move(token));
    }
    // Reported once and at once when the caller has gone before; input that waits, such as a further request, is not
    // reported.
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = id;
    ::epoll_ctl(this->poller, EPOLL_CTL_ADD, socket, &event);
    return id;
}

void CallerWatch::remove(int socket, uint64_t id)
{
    ::epoll_ctl(this->poller, EPOLL_CTL_DEL, socket, nullptr);
    const std::lock_guard lock(this->mutex);
    this->tokens.erase(id);
}

void CallerWatch::run()
{
    std::array<epoll_event, 64> events {};
    while (true) {
        const int count = ::epoll_wait(this->poller, events.data(), static_cast<int>(events.size()), -1);
        for (int index = 0; index < count; ++index) {
            const uint64_t id = events[static_cast<size_t>(index)].data.u64;
            if (id == stopId)
                return;
            std::shared_ptr<CancelToken> token;
            {
                const std::lock_guard lock(this->mutex);
                const auto found = this->tokens.find(id);
                if (found != this->tokens.end())
                    token = found->second;
            }
            if (token)
                token->cancel();
        }
    }
}

}
