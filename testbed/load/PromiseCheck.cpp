#include "PromiseCheck.h"

#include <wagtailrack/connection/HttpConnection.h>

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <thread>

namespace wagtailrack::testbed {

namespace {

constexpr std::chrono::seconds controlTime { 2 };
constexpr Milliseconds pollInterval { 20 };

connection::ExchangeResult exchangeWith(
    const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body)
{
    connection::HttpRequest request;
    request.method = method;
    request.path = request.target = target;
    request.body = body;
    const SteadyTime deadline = std::chrono::steady_clock::now() + controlTime;
    return connection::exchangeOnce(endpoint, request, { deadline, deadline, deadline });
}

void append(std::vector<Violation>& all, const std::vector<Violation>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

std::vector<Violation> checkShifts(const Deployment& deployment, const std::vector<CallRecord>& records,
    const LedgerCheck& ledger, const RunFacts& facts)
{
    std::vector<std::string> domains;
    for (const RunningBackend& backend : deployment.backends) {
        if (std::find(domains.begin(), domains.end(), backend.failureDomain) == domains.end())
            domains.push_back(backend.failureDomain);
    }
    std::map<std::string, std::string> homeOf;
    for (const CallRecord& record : records)
        homeOf[record.requestId] = domains.at(static_cast<size_t>(record.homeDomain) % domains.size());
    std::map<std::string, std::map<std::string, std::string>> domainsByPool;
    for (const RunningBackend& backend : deployment.backends)
        domainsByPool[backend.pool][backend.directAddress.toString()] = backend.failureDomain;
    std::vector<Violation> violations;
    for (const auto& [pool, domainOf] : domainsByPool)
        append(violations, ledger.shiftedAboveCap(homeOf, domainOf, facts.shiftStep, facts.shiftIntervalMs));
    return violations;
}

}

std::vector<Violation> checkPromises(
    const Deployment& deployment, const std::vector<CallRecord>& records, const RunFacts& facts)
{
    LedgerCheck ledger;
    for (const RunningBackend& backend : deployment.backends)
        ledger.collect(backend.directAddress);
    std::vector<Violation> violations = checkShifts(deployment, records, ledger, facts);
    append(violations, ledger.overloadedServers());
    append(violations, ledger.compare(records));
    for (const auto& [server, wallMs] : facts.drainedServers)
        append(violations, ledger.startedAfter(server, wallMs));
    if (facts.stops == Stops::Planned)
        append(violations, abortedCalls(records));
    return violations;
}

uint64_t generationOf(const RunningInstance& instance)
{
    const auto result = exchangeWith(instance.callerAddress, "GET", "/.wagtailrack/status", "");
    if (!result.response)
        return 0;
    Json::Value status;
    const std::string& text = result.response.value().body;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &status, nullptr) || !status.isObject())
        return 0;
    return status["generation"].asUInt64();
}

std::optional<Milliseconds> waitForGeneration(Deployment& deployment, uint64_t generation, SteadyTime deadline)
{
    const SteadyTime start = std::chrono::steady_clock::now();
    for (RunningInstance& instance : deployment.instances) {
        while (instance.process && instance.process->isRunning() && generationOf(instance) < generation) {
            if (std::chrono::steady_clock::now() >= deadline)
                return std::nullopt;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
}

bool sendControl(
    const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body)
{
    const auto result = exchangeWith(endpoint, method, target, body);
    return result.response && result.response.value().status == 200;
}

long long wallMsNow() { return toUnixMilliseconds(std::chrono::system_clock::now()); }

}
