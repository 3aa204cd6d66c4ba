#include "LoadRun.h"

#include <harness/DeploymentShape.h>
#include <wagtailrack/base/Random.h>

#include <random>

namespace wagtailrack::testbed {

namespace {

// Time for the threads to start before the first arrival.
constexpr Milliseconds leadTime { 50 };

std::vector<uint8_t> drawServices(const LoadSettings& settings, size_t count)
{
    std::vector<double> weights;
    weights.reserve(settings.services.size());
    for (const LoadService& service : settings.services)
        weights.push_back(static_cast<double>(service.weight));
    std::mt19937_64 generator(settings.seed + 1);
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    std::vector<uint8_t> services(count);
    for (uint8_t& service : services)
        service = static_cast<uint8_t>(draw(generator));
    return services;
}

}

LoadRun::LoadRun(LoadSettings loadSettings, std::vector<Endpoint> configured)
    : settings(std::move(loadSettings))
    , bootstrap(std::move(configured))
    , arrivals(this->settings.arrivals())
    , serviceOf(drawServices(this->settings, this->arrivals.size()))
    , idPrefix("load-" + randomHex(4) + "-")
    , start(std::chrono::steady_clock::now() + leadTime)
    , domains(static_cast<size_t>(this->settings.domains))
    , records(this->arrivals.size())
{
    for (size_t domain = 0; domain < this->domains.size(); ++domain) {
        for (size_t worker = 0; worker < static_cast<size_t>(this->settings.callersPerDomain); ++worker)
            this->threads.emplace_back([this, domain, worker] { this->runCalls(domain, worker); });
    }
}

LoadRun::~LoadRun() { this->finish(); }

std::vector<CallRecord> LoadRun::finish()
{
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
    return std::move(this->records);
}

Milliseconds LoadRun::duration() const noexcept
{
    int64_t total = 0;
    for (const LoadPhase& phase : this->settings.phases)
        total += phase.durationMs;
    return Milliseconds(total);
}

Call LoadRun::callAt(size_t index) const
{
    const LoadService& service = this->settings.services[this->serviceOf[index]];
    Call call;
    call.requestId = this->idPrefix + std::to_string(index);
    call.service = service.name;
    call.method = service.method;
    call.path = service.pathPrefix + "/" + std::to_string(index);
    call.body = service.method == "GET" ? "" : "{\"number\":" + std::to_string(index) + "}";
    call.isOrder = service.isOrder;
    call.deadlineMs = service.deadlineMs;
    return call;
}

void LoadRun::runCalls(size_t domainIndex, size_t worker)
{
    Domain& domain = this->domains[domainIndex];
    Caller caller(clientAddress(domainIndex, worker), this->bootstrap, domain.cache);
    while (true) {
        const size_t index = domain.next.fetch_add(1) * this->domains.size() + domainIndex;
        if (index >= this->arrivals.size())
            return;
        const SteadyTime intended = this->start + std::chrono::microseconds(this->arrivals[index]);
        std::this_thread::sleep_until(intended);
        CallRecord record = caller.run(this->callAt(index));
        record.homeDomain = static_cast<int64_t>(domainIndex);
        record.intendedUs = this->arrivals[index];
        record.latencyUs
            = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - intended)
                  .count();
        this->records[index] = std::move(record);
    }
}

}
