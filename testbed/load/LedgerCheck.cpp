#include "LedgerCheck.h"

#include <wagtailrack/connection/HttpConnection.h>

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>

namespace wagtailrack::testbed {

namespace {

constexpr std::chrono::seconds collectTime { 5 };
constexpr int64_t maxLedgerBytes = 256 << 20;

std::string describeCall(const CallRecord& record)
{
    return record.requestId + " (" + record.service + ", " + toString(record.end) + ", " + record.reason + ", status "
        + std::to_string(record.status) + ", instance " + record.instance + ")";
}

}

void LedgerCheck::collect(const Endpoint& server)
{
    connection::HttpRequest request;
    request.path = request.target = "/control/ledger";
    const SteadyTime deadline = std::chrono::steady_clock::now() + collectTime;
    const auto result = connection::exchangeOnce(server, request, { deadline, deadline, deadline, maxLedgerBytes });
    Json::Value ledger;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!result.response
        || !reader->parse(result.response.value().body.data(),
            result.response.value().body.data() + result.response.value().body.size(), &ledger, nullptr)) {
        this->addLostServer(server.toString());
        return;
    }
    this->shedCounts[server.toString()] += ledger["shed"].asInt64();
    for (const Json::Value& entry : ledger["entries"])
        this->add({ server.toString(), entry["request_id"].asString(), entry["idempotency_key"].asString(),
            entry["started_ms"].asInt64(), entry["end"].asString() });
}

void LedgerCheck::add(LedgerEntry entry)
{
    this->entryCount += 1;
    this->byRequest[entry.requestId].push_back(std::move(entry));
}

std::vector<Violation> LedgerCheck::compare(const std::vector<CallRecord>& records) const
{
    std::vector<Violation> violations;
    std::map<std::string, size_t> runsOfKey;
    for (const auto& [requestId, entries] : this->byRequest) {
        for (const LedgerEntry& entry : entries) {
            if (!entry.orderKey.empty())
                runsOfKey[entry.orderKey] += 1;
        }
    }
    for (const CallRecord& record : records) {
        const auto found = this->byRequest.find(record.requestId);
        const size_t runs = found == this->byRequest.end() ? 0 : found->second.size();
        const bool hasCompleted = runs > 0
            && std::any_of(found->second.begin(), found->second.end(),
                [](const LedgerEntry& entry) { return entry.end == "completed"; });
        if (record.end == CallEnd::Wrong)
            violations.push_back({ "P3", "answer not whole or not its own: " + describeCall(record) });
        if (record.end == CallEnd::Done && !hasCompleted && !this->lostServers.contains(record.server))
            violations.push_back({ "P3", "confirmed but did not run: " + describeCall(record) });
        if (record.end == CallEnd::NotRun && runs > 0)
            violations.push_back({ "P4", "reported not-run but ran: " + describeCall(record) });
        if (record.isOrder() && std::max(runs, runsOfKey[record.orderKey]) > 1)
            violations.push_back({ "P5", "order ran more than once: " + describeCall(record) });
    }
    return violations;
}

std::vector<Violation> LedgerCheck::startedAfter(const std::string& server, long long wallMs) const
{
    std::vector<Violation> violations;
    for (const auto& [requestId, entries] : this->byRequest) {
        for (const LedgerEntry& entry : entries) {
            if (entry.server != server || entry.startedMs <= wallMs)
                continue;
            std::string detail = "draining server " + server;
            detail += " started " + requestId + ", " + std::to_string(entry.startedMs - wallMs) + " ms late";
            violations.push_back({ "P6", std::move(detail) });
        }
    }
    return violations;
}

std::vector<Violation> LedgerCheck::shiftedAboveCap(const std::map<std::string, std::string>& homeOf,
    const std::map<std::string, std::string>& domainOf, int64_t step, int64_t intervalMs) const
{
    // Shifted requests by failure domain and interval.
    std::map<std::string, std::map<int64_t, int64_t>> shifted;
    for (const auto& [requestId, entries] : this->byRequest) {
        const auto home = homeOf.find(requestId);
        for (const LedgerEntry& entry : entries) {
            const auto domain = domainOf.find(entry.server);
            if (home != homeOf.end() && domain != domainOf.end() && domain->second != home->second)
                shifted[domain->second][entry.startedMs / intervalMs] += 1;
        }
    }
    std::vector<Violation> violations;
    for (const auto& [domain, counts] : shifted) {
        // A request starts at a server up to one interval after it was admitted, so one interval more is allowed for.
        const int64_t firstInterval = counts.begin()->first - 1;
        int64_t total = 0;
        for (const auto& [interval, count] : counts) {
            total += count;
            const int64_t elapsed = interval - firstInterval + 1;
            const int64_t allowed = step * elapsed * (elapsed + 1) / 2;
            if (total > allowed)
                violations.push_back({ "P1",
                    domain + " ran " + std::to_string(total) + " shifted requests, allowed "
                        + std::to_string(allowed) });
        }
    }
    return violations;
}

std::vector<Violation> LedgerCheck::overloadedServers() const
{
    std::vector<Violation> violations;
    for (const auto& [server, count] : this->shedCounts) {
        if (count > 0)
            violations.push_back({ "P2", "server " + server + " shed " + std::to_string(count) + " requests" });
    }
    return violations;
}

size_t LedgerCheck::startedAt(const std::string& server) const
{
    size_t count = 0;
    for (const auto& [requestId, entries] : this->byRequest)
        count += static_cast<size_t>(std::count_if(
            entries.begin(), entries.end(), [&](const LedgerEntry& entry) { return entry.server == server; }));
    return count;
}

std::vector<LedgerEntry> LedgerCheck::entries() const
{
    std::vector<LedgerEntry> all;
    for (const auto& [requestId, entries] : this->byRequest)
        all.insert(all.end(), entries.begin(), entries.end());
    return all;
}

std::vector<Violation> abortedCalls(const std::vector<CallRecord>& records)
{
    std::vector<Violation> violations;
    for (const CallRecord& record : records) {
        if (record.end == CallEnd::Aborted || record.cutAttempts > 0)
            violations.push_back({ "P7", "request was cut: " + describeCall(record) });
    }
    return violations;
}

}
