#include <wagtailrack/process/ServerProbes.h>
#include <wagtailrack/version/parseJson.h>

#include <wagtailrack/base/Random.h>
#include <wagtailrack/connection/HttpConnection.h>

#include <json/json.h>

namespace wagtailrack::process {

namespace {

constexpr int64_t maxHealthBytes = 4096;

AttemptEnd endOf(ErrorCode code)
{
    if (code == ErrorCode::ConnectFailed)
        return AttemptEnd::ConnectFailed;
    return code == ErrorCode::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::AnswerWrong;
}

}

ServerProbes::ServerProbes(const Clock& processClock, ServerStates& serverStates, const SlotShares& slotShares)
    : clock(processClock)
    , states(serverStates)
    , shares(slotShares)
{
}

ServerProbes::~ServerProbes()
{
    {
        const std::lock_guard lock(this->mutex);
        for (auto& [server, task] : this->tasks)
            task->isStopping = true;
    }
    this->stopped.notify_all();
    for (auto& [server, task] : this->tasks)
        task->thread.join();
}

void ServerProbes::update(const version::Tables& tables, const std::string& failureDomain)
{
    std::set<Endpoint> wanted;
    for (const version::Pool& pool : tables.pools) {
        for (const version::BackendServer& server : pool.servers) {
            if (server.failureDomain == failureDomain || this->shares.shareOf(server.address) > 0)
                wanted.insert(server.address);
        }
    }
    std::vector<Endpoint> unwanted;
    for (const auto& [server, task] : this->tasks) {
        if (!wanted.contains(server))
            unwanted.push_back(server);
    }
    for (const Endpoint& server : unwanted)
        this->stop(server);
    for (const Endpoint& server : wanted) {
        if (this->tasks.contains(server))
            continue;
        auto task = std::make_unique<Task>();
        task->thread = std::thread([this, server, started = task.get()] { this->run(server, *started); });
        this->tasks.emplace(server, std::move(task));
    }
}

void ServerProbes::stop(const Endpoint& server)
{
    const auto found = this->tasks.find(server);
    {
        const std::lock_guard lock(this->mutex);
        found->second->isStopping = true;
    }
    this->stopped.notify_all();
    found->second->thread.join();
    this->tasks.erase(found);
}

bool ServerProbes::sleep(const Task& task, Milliseconds time)
{
    std::unique_lock lock(this->mutex);
    return !this->stopped.wait_for(lock, time, [&task] { return task.isStopping; });
}

void ServerProbes::run(const Endpoint& server, const Task& task)
{
    // Spreads the probes of all servers and instances over the interval.
    Milliseconds pause(static_cast<long long>(randomBelow(static_cast<uint64_t>(interval.count()))));
    while (this->sleep(task, pause)) {
        this->probe(server);
        pause = interval;
    }
}

void ServerProbes::probe(const Endpoint& server)
{
    connection::HttpRequest request;
    request.path = request.target = "/health";
    connection::ExchangeLimits limits;
    limits.deadline = limits.connectDeadline = limits.firstByteDeadline = this->clock.now() + timeout;
    limits.maxBodyBytes = maxHealthBytes;
    // A new connection for each probe, since open ones may be stuck while new ones work.
    const auto result = connection::exchangeOnce(server, request, limits);
    if (!result.response)
        return this->states.noteProbeFailed(server, endOf(result.response.error().code));
    const std::string& body = result.response.value().body;
    const auto parsed = version::parseJson(body, server.toString());
    const Json::Value value = parsed ? parsed.value() : Json::Value();
    const bool isObject = value.isObject();
    if (isObject && value["load"].isNumeric())
        this->states.noteLoad(server, value["load"].asDouble());
    this->states.noteProbeAnswered(server, isObject && value["draining"].isBool() && value["draining"].asBool());
}

}
