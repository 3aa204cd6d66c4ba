#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace wagtailrack::testbed {

namespace {

constexpr char csvHeader[]
    = "request_id,service,order_key,instance,server,end,status,reason,cut_attempts,late_attempts,"
      "intended_us,latency_us,home_domain";
constexpr CallEnd allEnds[] = { CallEnd::Done, CallEnd::NotRun, CallEnd::Unknown, CallEnd::Aborted, CallEnd::Wrong };
constexpr double quantiles[] = { 0.5, 0.99, 0.999 };
constexpr char quantileNames[][7] = { "p50", "p99", "p99.9" };
constexpr int nameWidth = 18;
constexpr int columnWidth = 11;

// Stands for all services in the functions above.
const std::string allServices;

std::set<std::string> servicesOf(const std::vector<CallRecord>& records)
{
    std::set<std::string> services;
    for (const CallRecord& record : records)
        services.insert(record.service);
    return services;
}

std::string formatMs(double milliseconds)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << milliseconds;
    return text.str();
}

bool readRecord(const std::string& line, CallRecord& record)
{
    std::vector<std::string> fields;
    std::istringstream stream(line);
    for (std::string field; std::getline(stream, field, ',');)
        fields.push_back(field);
    constexpr size_t fieldCount = 13;
    if (fields.size() != fieldCount)
        return false;
    const auto end = std::find_if(
        std::begin(allEnds), std::end(allEnds), [&](CallEnd candidate) { return fields[5] == toString(candidate); });
    if (end == std::end(allEnds))
        return false;
    record = { fields[0], fields[1], fields[2], fields[3], fields[4], *end, std::atoi(fields[6].c_str()), fields[7],
        std::atoll(fields[8].c_str()), std::atoll(fields[9].c_str()), std::atoll(fields[10].c_str()),
        std::atoll(fields[11].c_str()), std::atoll(fields[12].c_str()) };
    return true;
}

}

std::string toCsv(const std::vector<CallRecord>& records)
{
    std::ostringstream text;
    text << csvHeader << '\n';
    for (const CallRecord& record : records)
        text << record.requestId << ',' << record.service << ',' << record.orderKey << ',' << record.instance << ','
             << record.server << ',' << toString(record.end) << ',' << record.status << ',' << record.reason << ','
             << record.cutAttempts << ',' << record.lateAttempts << ',' << record.intendedUs << ',' << record.latencyUs
             << ',' << record.homeDomain << '\n';
    return text.str();
}

Result<std::vector<CallRecord>> parseCsv(std::string_view text, const std::string& file)
{
    std::istringstream stream { std::string(text) };
    std::vector<CallRecord> records;
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        if (number == 1 && line == csvHeader)
            continue;
        if (number == 1 || !readRecord(line, records.emplace_back()))
            return makeError(ErrorCode::SyntaxError, file + ":" + std::to_string(number), "not a line of results");
    }
    return records;
}

double latencyMsAt(const std::vector<CallRecord>& records, const std::string& service, double quantile)
{
    std::vector<int64_t> latencies;
    for (const CallRecord& record : records) {
        if (record.end == CallEnd::Done && (service == allServices || record.service == service))
            latencies.push_back(record.latencyUs);
    }
    if (latencies.empty())
        return 0;
    const auto rank = static_cast<size_t>(std::lround(quantile * static_cast<double>(latencies.size() - 1)));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<int64_t>(rank), latencies.end());
    return static_cast<double>(latencies[rank]) / 1000;
}

size_t countOf(const std::vector<CallRecord>& records, const std::string& service, CallEnd end)
{
    return static_cast<size_t>(std::count_if(records.begin(), records.end(), [&](const CallRecord& record) {
        return record.end == end && (service == allServices || record.service == service);
    }));
}

std::string summaryTable(const std::vector<CallRecord>& records)
{
    std::ostringstream text;
    text << std::left << std::setw(nameWidth) << "service" << std::right << std::setw(columnWidth) << "calls";
    for (const CallEnd end : allEnds)
        text << std::setw(columnWidth) << toString(end);
    for (const char* name : quantileNames)
        text << std::setw(columnWidth) << std::string(name) + " ms";
    text << '\n';
    std::vector<std::string> rows;
    for (const std::string& service : servicesOf(records))
        rows.push_back(service);
    rows.push_back(allServices);
    for (const std::string& service : rows) {
        size_t calls = 0;
        std::ostringstream columns;
        for (const CallEnd end : allEnds) {
            const size_t count = countOf(records, service, end);
            calls += count;
            columns << std::setw(columnWidth) << count;
        }
        for (const double quantile : quantiles)
            columns << std::setw(columnWidth) << formatMs(latencyMsAt(records, service, quantile));
        text << std::left << std::setw(nameWidth) << (service == allServices ? "all" : service) << std::right
             << std::setw(columnWidth) << calls << columns.str() << '\n';
    }
    return text.str();
}

std::string comparisonTable(const std::vector<CallRecord>& before, const std::vector<CallRecord>& after)
{
    std::ostringstream text;
    const auto row = [&](const std::string& service, const std::string& figure, const std::string& first,
                         const std::string& second) {
        text << std::left << std::setw(nameWidth) << service << std::setw(columnWidth) << figure << std::right
             << std::setw(columnWidth) << first << std::setw(columnWidth) << second << '\n';
    };
    row("service", "figure", "before", "after");
    std::set<std::string> services = servicesOf(before);
    services.merge(servicesOf(after));
    for (const std::string& service : services) {
        for (const CallEnd end : allEnds)
            row(service, toString(end), std::to_string(countOf(before, service, end)),
                std::to_string(countOf(after, service, end)));
        for (size_t index = 0; index < std::size(quantiles); ++index)
            row(service, std::string(quantileNames[index]) + " ms",
                formatMs(latencyMsAt(before, service, quantiles[index])),
                formatMs(latencyMsAt(after, service, quantiles[index])));
    }
    return text.str();
}

std::string failureTable(const std::vector<CallRecord>& records)
{
    std::map<std::tuple<std::string, std::string, std::string>, size_t> counts;
    for (const CallRecord& record : records) {
        if (record.end != CallEnd::Done)
            counts[{ record.service, toString(record.end), record.reason }] += 1;
    }
    std::ostringstream text;
    for (const auto& [kind, count] : counts)
        text << std::left << std::setw(nameWidth) << std::get<0>(kind) << std::setw(columnWidth) << std::get<1>(kind)
             << std::setw(2 * nameWidth) << std::get<2>(kind) << count << '\n';
    return counts.empty() ? "no failures\n" : text.str();
}

}
