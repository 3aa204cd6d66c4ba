#include "SimulatedBackend.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>

#include <json/json.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::testbed {

using connection::headerValue;
using connection::HttpRequest;
using connection::HttpResponse;

namespace {

constexpr Milliseconds queuePoll { 5 };
constexpr std::chrono::hours longest { 1 };
constexpr size_t maxReports = 20'000;
constexpr int crashExitCode = 70;

std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool readJson(const std::string& text, Json::Value& value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

SteadyTime deadlineOf(const HttpRequest& request)
{
    const std::string text = headerValue(request.headers, headers::deadlineMs);
    const long long left = text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
    return std::chrono::steady_clock::now() + (left > 0 ? Milliseconds(left) : Milliseconds(longest));
}

SteadyTime after(double milliseconds)
{
    return std::chrono::steady_clock::now()
        + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

double randomFraction() { return static_cast<double>(randomBelow(1'000'000) + 1) / 1'000'000.0; }

// Writes an answer past the server's own framing, then ends the connection.
void sendRaw(int socket, const std::string& text)
{
    (void)::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_RDWR);
}

}

SimulatedBackend::SimulatedBackend(std::string serverName, const BackendBehavior& firstBehavior)
    : name(std::move(serverName))
    , behavior(firstBehavior)
{
}

HttpResponse SimulatedBackend::handle(const HttpRequest& request)
{
    if (request.path == "/health")
        return this->health(request);
    if (request.path.starts_with("/control"))
        return this->control(request);
    HttpResponse response = this->runWork(request);
    // Every answer echoes the id, refusals too; a crossed answer has another one already.
    response.headers.emplace(headers::requestId, headerValue(request.headers, headers::requestId));
    return response;
}

HttpResponse SimulatedBackend::control(const HttpRequest& request)
{
    if (request.path == "/control/ledger") {
        if (request.method == "DELETE") {
            const std::lock_guard lock(this->mutex);
            // Entries of running work are addressed by index, so they stay.
            if (this->running == 0)
                this->ledger.clear();
            this->shedCount = this->cancelledCount = this->peakRunning = 0;
        }
        return this->ledgerAnswer();
    }
    if (request.method == "PUT")
        return this->changeBehavior(request);
    const std::lock_guard lock(this->mutex);
    return HttpResponse::json(200, writeJson(this->behavior.toJson()));
}

HttpResponse SimulatedBackend::changeBehavior(const HttpRequest& request)
{
    Json::Value changes(Json::objectValue);
    if (request.path == "/control/drain")
        changes["draining"] = true;
    else if (!readJson(request.body, changes))
        return HttpResponse::json(400, "{\"error\":\"no JSON\"}");
    const std::lock_guard lock(this->mutex);
    const std::string fault = this->behavior.apply(changes);
    if (!fault.empty())
        return HttpResponse::json(400, writeJson(Json::Value("bad key or value: " + fault)));
    if (this->behavior.isDraining && this->drainedAtMs == 0)
        this->drainedAtMs = toUnixMilliseconds(std::chrono::system_clock::now());
    if (!this->behavior.isDraining)
        this->drainedAtMs = 0;
    this->slotFreed.notify_all();
    return HttpResponse::json(200, writeJson(this->behavior.toJson()));
}

HttpResponse SimulatedBackend::ledgerAnswer()
{
    const std::lock_guard lock(this->mutex);
    Json::Value answer(Json::objectValue);
    answer["server"] = this->name;
    answer["shed"] = Json::Int64(this->shedCount);
    answer["cancelled"] = Json::Int64(this->cancelledCount);
    answer["health_requests"] = Json::Int64(this->healthCount);
    answer["peak_running"] = Json::Int64(this->peakRunning);
    answer["running"] = Json::Int64(this->running);
    answer["drained_at_ms"] = Json::Int64(this->drainedAtMs);
    Json::Value& entries = answer["entries"] = Json::Value(Json::arrayValue);
    for (const Entry& entry : this->ledger) {
        Json::Value item(Json::objectValue);
        item["request_id"] = entry.requestId;
        item["idempotency_key"] = entry.idempotencyKey;
        item["method"] = entry.method;
        item["path"] = entry.path;
        item["started_ms"] = Json::Int64(entry.startedMs);
        item["ended_ms"] = Json::Int64(entry.endedMs);
        item["end"] = entry.end;
        entries.append(std::move(item));
    }
    return HttpResponse::json(200, writeJson(answer));
}

HttpResponse SimulatedBackend::health(const HttpRequest& request)
{
    bool hangs = false;
    {
        const std::lock_guard lock(this->mutex);
        ++this->healthCount;
        hangs = this->behavior.healthHangs;
    }
    if (hangs)
        waitUntil(request.socket, after(60'000), SteadyTime::max());
    const Report report = this->reportNow();
    Json::Value value(Json::objectValue);
    value["draining"] = report.isDraining;
    value["load"] = report.load;
    return HttpResponse::json(200, writeJson(value));
}

SimulatedBackend::Report SimulatedBackend::reportNow()
{
    const std::lock_guard lock(this->mutex);
    const SteadyTime now = std::chrono::steady_clock::now();
    const double slots = static_cast<double>(std::max<int64_t>(1, this->behavior.slots));
    this->reports.push_back({ now, std::min(1.0, static_cast<double>(this->running) / slots),
        this->behavior.isDraining && !this->behavior.hidesDraining });
    const SteadyTime wanted = now - Milliseconds(this->behavior.healthLagMs);
    while (this->reports.size() > 1 && (this->reports[1].time <= wanted || this->reports.size() > maxReports))
        this->reports.pop_front();
    Report report = this->reports.front();
    if (this->behavior.claimedLoad >= 0)
        report.load = this->behavior.claimedLoad;
    return report;
}

void SimulatedBackend::addReport(HttpResponse& response)
{
    const Report report = this->reportNow();
    response.headers[headers::load] = std::to_string(report.load);
    if (report.isDraining)
        response.headers[headers::draining] = "true";
}

HttpResponse SimulatedBackend::shed(const char* reason)
{
    HttpResponse response = HttpResponse::json(503, std::string("{\"error\":\"") + reason + "\"}");
    response.headers[headers::notRun] = "true";
    this->addReport(response);
    return response;
}

HttpResponse SimulatedBackend::runWork(const HttpRequest& request)
{
    Work work;
    work.deadline = deadlineOf(request);
    if (!this->enter(request, work))
        return this->shed("shed");
    if (request.headers.contains("X-Crash"))
        _exit(crashExitCode);
    const Wait wait = waitUntil(
        request.socket, after(this->serviceMs(work.behavior, static_cast<int64_t>(work.entry))), work.deadline);
    static constexpr const char* ends[] = { "completed", "cancelled", "deadline" };
    this->leave(work, ends[static_cast<int>(wait)]);
    if (wait == Wait::DeadlinePassed)
        return HttpResponse::json(
            504, this->bodyFor(headerValue(request.headers, headers::requestId), request.target, 0));
    return this->answer(request, work);
}

bool SimulatedBackend::enter(const HttpRequest& request, Work& work)
{
    std::unique_lock lock(this->mutex);
    const auto isFull = [this] { return this->running >= this->behavior.slots; };
    if (isFull()) {
        if (this->queued >= this->behavior.queueLength) {
            ++this->shedCount;
            return false;
        }
        ++this->queued;
        while (isFull() && !isCallerGone(request.socket) && std::chrono::steady_clock::now() < work.deadline)
            this->slotFreed.wait_for(lock, queuePoll);
        --this->queued;
        if (isFull()) {
            ++this->shedCount;
            return false;
        }
    }
    ++this->running;
    this->peakRunning = std::max(this->peakRunning, this->running);
    work.behavior = this->behavior;
    if (this->behavior.modeCount == 0)
        work.behavior.mode = AnswerMode::Normal;
    else if (this->behavior.modeCount > 0)
        --this->behavior.modeCount;
    work.entry = this->ledger.size();
    this->ledger.push_back(
        { headerValue(request.headers, headers::requestId), headerValue(request.headers, headers::idempotencyKey),
            request.method, request.target, toUnixMilliseconds(std::chrono::system_clock::now()), 0, "running" });
    return true;
}

void SimulatedBackend::leave(const Work& work, const char* end)
{
    const std::lock_guard lock(this->mutex);
    --this->running;
    this->ledger[work.entry].end = end;
    this->ledger[work.entry].endedMs = toUnixMilliseconds(std::chrono::system_clock::now());
    if (std::string_view(end) == "cancelled")
        ++this->cancelledCount;
    this->slotFreed.notify_one();
}

double SimulatedBackend::serviceMs(const BackendBehavior& current, int64_t startedBefore) const
{
    double milliseconds = current.serviceMs;
    if (current.distribution == ServiceTime::Uniform)
        milliseconds *= 2 * randomFraction();
    else if (current.distribution == ServiceTime::Exponential)
        milliseconds *= -std::log(randomFraction());
    return startedBefore < current.coldRequests ? milliseconds * current.coldFactor : milliseconds;
}

std::string SimulatedBackend::bodyFor(const std::string& requestId, const std::string& path, int64_t padding) const
{
    Json::Value value(Json::objectValue);
    value["request_id"] = requestId;
    value["server"] = this->name;
    value["path"] = path;
    value["padding"] = std::string(static_cast<size_t>(std::max<int64_t>(0, padding)), 'x');
    // The last key in order, so that a body that lost its end can be told from a whole one.
    value["z_end"] = requestId;
    return writeJson(value);
}

HttpResponse SimulatedBackend::normalAnswer(const HttpRequest& request, const Work& work)
{
    const std::string id = headerValue(request.headers, headers::requestId);
    HttpResponse response = HttpResponse::json(200, this->bodyFor(id, request.target, work.behavior.bodyBytes));
    response.headers[headers::requestId] = id;
    this->addReport(response);
    return response;
}

HttpResponse SimulatedBackend::answer(const HttpRequest& request, const Work& work)
{
    HttpResponse response = this->normalAnswer(request, work);
    const std::string id = headerValue(request.headers, headers::requestId);
    const std::string idLine = std::string(headers::requestId) + ": " + id + "\r\n";
    switch (work.behavior.mode) {
    case AnswerMode::Normal:
        break;
    case AnswerMode::Late:
        waitUntil(request.socket, after(static_cast<double>(work.behavior.lateMs)), SteadyTime::max());
        break;
    case AnswerMode::Crossed: {
        const std::lock_guard lock(this->mutex);
        std::string other = this->crossedId.empty() || this->crossedId == id ? "another-request" : this->crossedId;
        this->crossedId = id;
        response.headers[headers::requestId] = other;
        response.body = this->bodyFor(other, request.target, work.behavior.bodyBytes);
        break;
    }
    case AnswerMode::Truncated:
        sendRaw(request.socket,
            "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n"
                + response.body.substr(0, response.body.size() / 2));
        break;
    case AnswerMode::Oversized:
        response.body = this->bodyFor(id, request.target, work.behavior.oversizedBytes);
        break;
    case AnswerMode::WithoutLength:
        sendRaw(request.socket, "HTTP/1.1 200 OK\r\n" + idLine + "\r\n" + response.body);
        break;
    case AnswerMode::Hanging:
        waitUntil(request.socket, SteadyTime::max(), SteadyTime::max());
        break;
    case AnswerMode::Closing:
        ::shutdown(request.socket, SHUT_RDWR);
        break;
    }
    return response;
}

SimulatedBackend::Wait SimulatedBackend::waitUntil(int socket, SteadyTime end, SteadyTime deadline)
{
    while (true) {
        const SteadyTime now = std::chrono::steady_clock::now();
        if (now >= end)
            return Wait::Ended;
        if (now >= deadline)
            return Wait::DeadlinePassed;
        const auto left = std::min(std::chrono::duration_cast<std::chrono::nanoseconds>(std::min(end, deadline) - now),
            std::chrono::nanoseconds(std::chrono::seconds(1)));
        const timespec timeout { left.count() / 1'000'000'000, left.count() % 1'000'000'000 };
        pollfd entry { socket, POLLRDHUP, 0 };
        if (::ppoll(&entry, 1, &timeout, nullptr) > 0)
            return Wait::CallerGone;
    }
}

bool SimulatedBackend::isCallerGone(int socket)
{
    pollfd entry { socket, POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) > 0;
}

}
