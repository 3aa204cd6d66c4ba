#include "recordReaders.h"

#include <wagtailrack/version/TomlReader.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace wagtailrack::version {

static constexpr int64_t maxMilliseconds = 86'400'000;
static constexpr int64_t maxBytes = 1 << 30;

static Result<BackendServer> readServer(const toml::value& record, const std::string& file, int64_t poolSlots)
{
    TomlReader reader(record, file, "pool.server");
    BackendServer server;
    const auto address = Endpoint::parse(reader.requiredString("address"));
    if (address)
        server.address = address.value();
    else
        reader.fail(address.error().code, "address", address.error().detail);
    server.failureDomain = reader.requiredString("failure_domain");
    const std::string state = reader.optionalString("state", "active");
    if (state == "draining")
        server.state = ServerState::Draining;
    else if (state != "active")
        reader.fail(ErrorCode::OutOfRange, "state", "expected active or draining");
    server.slots = reader.optionalInteger("slots", 1, 100'000, poolSlots);
    if (auto status = reader.finish(); !status)
        return status.error();
    return server;
}

Result<Route> readRoute(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "route");
    Route route;
    route.name = reader.requiredName("name");
    route.pathPrefix = reader.requiredString("path_prefix");
    route.methods = reader.optionalStrings("methods", { "GET" });
    route.pool = reader.requiredString("pool");
    const std::string className = reader.optionalString("class", "interactive");
    if (className == "order")
        route.requestClass = RequestClass::Order;
    else if (className == "deferrable")
        route.requestClass = RequestClass::Deferrable;
    else if (className != "interactive")
        reader.fail(ErrorCode::OutOfRange, "class", "expected interactive, order or deferrable");
    const bool idempotent = reader.optionalBool("idempotent", route.requestClass != RequestClass::Order);
    route.idempotency = idempotent ? Idempotency::Idempotent : Idempotency::NonIdempotent;
    route.deadlineMs = reader.optionalInteger("deadline_ms", 1, maxMilliseconds, route.deadlineMs);
    route.maxRequestBytes = reader.optionalInteger("max_request_bytes", 1, maxBytes, route.maxRequestBytes);
    if (!route.pathPrefix.starts_with("/") || route.pathPrefix.starts_with("/.wagtailrack"))
        reader.fail(ErrorCode::OutOfRange, "path_prefix", "must start with / and not with /.wagtailrack");
    if (route.methods.empty())
        reader.fail(ErrorCode::OutOfRange, "methods", "must not be empty");
    for (const std::string& method : route.methods) {
        if (method.empty() || method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos)
            reader.fail(ErrorCode::OutOfRange, "methods", "expected methods in upper case, such as GET");
        if (std::count(route.methods.begin(), route.methods.end(), method) > 1)
            reader.fail(ErrorCode::DuplicateName, "methods", method + " is given twice");
    }
    if (auto status = reader.finish(); !status)
        return status.error();
    return route;
}

Result<ClientBlock> readClientBlock(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "client_block");
    ClientBlock block;
    const std::string prefix = reader.requiredString("prefix");
    block.failureDomain = reader.requiredString("failure_domain");
    const size_t slash = prefix.find('/');
    const auto address = parseIPv4(prefix.substr(0, slash));
    int bits = -1;
    if (slash != std::string::npos) {
        const char* end = prefix.data() + prefix.size();
        const auto parsed = std::from_chars(prefix.data() + slash + 1, end, bits);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            bits = -1;
    }
    if (!address || bits < 0 || bits > 32) {
        reader.fail(ErrorCode::OutOfRange, "prefix", "expected an IPv4 prefix such as 10.1.0.0/16");
    } else {
        const uint32_t mask = bits == 0 ? 0 : std::numeric_limits<uint32_t>::max() << (32 - bits);
        block.first = address.value() & mask;
        block.last = block.first | ~mask;
    }
    if (auto status = reader.finish(); !status)
        return status.error();
    return block;
}

Result<Pool> readPool(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "pool");
    Pool pool;
    pool.name = reader.requiredName("name");
    const int64_t slots = reader.requiredInteger("slots", 1, 100'000);
    pool.queueLength = reader.optionalInteger("queue_length", 0, 100'000, pool.queueLength);
    pool.maxAnswerBytes = reader.optionalInteger("max_answer_bytes", 1, maxBytes, pool.maxAnswerBytes);
    pool.firstByteTimeoutMs
        = reader.optionalInteger("first_byte_timeout_ms", 1, maxMilliseconds, pool.firstByteTimeoutMs);
    pool.idleConnectionMs = reader.optionalInteger("idle_connection_ms", 1, maxMilliseconds, pool.idleConnectionMs);
    pool.rampMs = reader.optionalInteger("ramp_ms", 0, maxMilliseconds, pool.rampMs);
    pool.shiftStep = reader.optionalInteger("shift_step", 1, 1'000'000'000, pool.shiftStep);
    pool.shiftIntervalMs = reader.optionalInteger("shift_interval_ms", 1, maxMilliseconds, pool.shiftIntervalMs);
    pool.hedging = reader.optionalBool("hedge", false) ? Hedging::On : Hedging::Off;
    for (const toml::value& serverRecord : reader.optionalTables("server")) {
        auto server = readServer(serverRecord, file, slots);
        if (!server)
            return server.error();
        pool.servers.push_back(std::move(server).value());
    }
    if (auto status = reader.finish(); !status)
        return status.error();
    return pool;
}

Result<FailureDomain> readFailureDomain(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "failure_domain");
    FailureDomain domain;
    domain.name = reader.requiredName("name");
    domain.region = reader.requiredName("region");
    if (auto status = reader.finish(); !status)
        return status.error();
    return domain;
}

Result<Link> readLink(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "link");
    Link link;
    const auto regions = reader.optionalStrings("regions", {});
    if (regions.size() == 2) {
        link.firstRegion = regions[0];
        link.secondRegion = regions[1];
    } else {
        reader.fail(ErrorCode::OutOfRange, "regions", "expected a pair of regions");
    }
    link.megabitsPerSecond = reader.requiredInteger("mbit_per_second", 1, 100'000'000);
    link.latencyMs = reader.optionalInteger("latency_ms", 0, 10'000, 0);
    if (auto status = reader.finish(); !status)
        return status.error();
    return link;
}

Result<Shift> readShift(const toml::value& record, const std::string& file)
{
    TomlReader reader(record, file, "shift");
    Shift shift;
    shift.pool = reader.requiredString("pool");
    shift.fromFailureDomain = reader.requiredString("from");
    shift.toFailureDomain = reader.requiredString("to");
    shift.start = reader.requiredTime("start");
    shift.percent = reader.optionalInteger("percent", 1, 100, shift.percent);
    shift.stepPercent = reader.optionalInteger("step_percent", 1, 100, shift.stepPercent);
    shift.stepMs = reader.optionalInteger("step_ms", 1, maxMilliseconds, shift.stepMs);
    if (shift.fromFailureDomain == shift.toFailureDomain)
        reader.fail(ErrorCode::OutOfRange, "to", "must not be the failure domain that the traffic comes from");
    if (auto status = reader.finish(); !status)
        return status.error();
    return shift;
}

}
