#pragma once

#include "CallRecord.h"

#include <wagtailrack/base/Error.h>

#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::testbed {

// One line for each call, with a header line.
std::string toCsv(const std::vector<CallRecord>& records);
// Reads what toCsv() wrote. Fails with SyntaxError and the line.
Result<std::vector<CallRecord>> parseCsv(std::string_view text, const std::string& file);

// Latency at a quantile in [0, 1] in milliseconds, of the calls that ended with Done; 0 without any.
double latencyMsAt(const std::vector<CallRecord>& records, const std::string& service, double quantile);
size_t countOf(const std::vector<CallRecord>& records, const std::string& service, CallEnd end);

// A table: for each service the calls, outcomes by type, and p50, p99 and p99.9 of those done.
std::string summaryTable(const std::vector<CallRecord>& records);
// The same figures of two runs side by side.
std::string comparisonTable(const std::vector<CallRecord>& before, const std::vector<CallRecord>& after);
// Ends other than Done by service, end and reason.
std::string failureTable(const std::vector<CallRecord>& records);

}
