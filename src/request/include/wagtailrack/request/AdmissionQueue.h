#pragma once

#include <wagtailrack/process/ServerStates.h>
#include <wagtailrack/request/CancelToken.h>
#include <wagtailrack/version/Route.h>

#include <condition_variable>
#include <list>

namespace wagtailrack::request {

enum class AdmissionEnd {
    Granted,
    QueueFull,
    // It could not be answered by its deadline.
    TooLate,
    // No server of the pool may get requests now.
    NoServer,
    Cancelled,
};

struct AdmissionRequest {
    const version::Pool& pool;
    version::RequestClass requestClass = version::RequestClass::Interactive;
    SteadyTime deadline;
    // Servers that are used only when no other has a free slot.
    std::set<Endpoint> avoided;
    const CancelToken& token;
    process::Suspicion suspicion = process::Suspicion::None;
};

struct Admission {
    AdmissionEnd end = AdmissionEnd::QueueFull;
    process::ServerPermit permit;
};

// Decides which requests get the permits of the backend servers. Requests that find no permit wait in a bounded queue
// for each pool, ordered by class, then deadline; deferrable ones are shed first, but get one in eight of the permits
// that are granted while requests wait. Lives for the process; may be called by any thread.
class AdmissionQueue {
public:
    // One in this many permits under overload goes to a deferrable request.
    static constexpr int64_t deferrablePeriod = 8;
    // Without a grant for this long the estimate of the service time is not trusted, so that one that is too high
    // does not refuse all requests forever.
    static constexpr Milliseconds estimateTrust { 1000 };

    AdmissionQueue(const Clock& clock, process::ServerStates& servers);
    ~AdmissionQueue();

    // Returns a permit, or waits for one until the deadline.
    Admission admit(const AdmissionRequest& request);

    // Gives permits that are free now to requests that wait. Called after a permit is given back.
    void dispatch();

    size_t waiting(const std::string& pool) const;

private:
    struct Waiter {
        const AdmissionRequest* request = nullptr;
        Admission result;
        bool isEnded = false;
        std::condition_variable ended;
    };

    struct PoolQueue {
        std::list<Waiter*> waiters;
        int64_t grants = 0;
        SteadyTime lastGrant;
    };

    bool isTooLate(const PoolQueue& queue, const AdmissionRequest& request) const;
    bool makePlace(PoolQueue& queue, const AdmissionRequest& request);
    void insert(PoolQueue& queue, Waiter& waiter);
    void dispatch(PoolQueue& queue);
    std::list<Waiter*>::iterator next(PoolQueue& queue);
    void end(PoolQueue& queue, std::list<Waiter*>::iterator position, AdmissionEnd end);
    Admission wait(PoolQueue& queue, const AdmissionRequest& request, std::unique_lock<std::mutex>& lock);

    const Clock& clock;
    process::ServerStates& servers;
    mutable std::mutex mutex;
    std::map<std::string, PoolQueue> queues;
};

}
