#include "ConnectionThreads.h"

#include <pthread.h>

namespace wagtailrack::connection {

namespace {

// std::regex in httplib's dispatch recurses once for each character of the path, which is limited to 2,048.
constexpr size_t stackBytes = 1 << 20;

thread_local bool servesWithoutThread = false;

}

struct ConnectionTask {
    std::function<void()> task;
    std::function<void()> done;
};

void* ConnectionThreads::run(void* argument)
{
    const std::unique_ptr<ConnectionTask> job(static_cast<ConnectionTask*>(argument));
    job->task();
    job->done();
    return nullptr;
}

void ConnectionThreads::enqueue(std::function<void()> task)
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->running;
    }
    auto done = [this] {
        // Notifies under the lock, since shutdown() may destroy this object right after.
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->ended.notify_all();
    };
    auto* job = new ConnectionTask { std::move(task), std::move(done) };
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_t thread;
    // The thread owns the task; without a thread the listener refuses the connection itself.
    if (pthread_create(&thread, &attributes, &ConnectionThreads::run, job) != 0) {
        servesWithoutThread = true;
        run(job);
        servesWithoutThread = false;
    }
    pthread_attr_destroy(&attributes);
}

bool ConnectionThreads::isWithoutThread() noexcept { return servesWithoutThread; }

void ConnectionThreads::shutdown()
{
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return this->running == 0; });
}

}
