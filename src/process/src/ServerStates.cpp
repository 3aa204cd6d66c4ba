#include <wagtailrack/process/ServerStates.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::process {

namespace {

// Part of a new observation in the smoothed latency.
constexpr double latencyWeight = 0.3;
// Without observations, a latency approaches that of the pool with this half-life, so that a server that was slow
// gets a request now and then and is used again when it has recovered.
constexpr double latencyHalfLifeMs = 10'000;
// A server is clearly slower when its latency exceeds the pool's by this factor.
constexpr double slowFactor = 2;
// Cost of a server whose latency is not known yet, when no other server's is known either.
constexpr double defaultLatencyMs = 1;

double millisecondsBetween(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

}

const char* toString(AttemptEnd end) noexcept
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Shed:
        return "shed";
    case AttemptEnd::ConnectFailed:
        return "connect-failed";
    case AttemptEnd::TimedOut:
        return "timed-out";
    case AttemptEnd::ConnectionLost:
        return "connection-lost";
    case AttemptEnd::AnswerWrong:
        return "answer-wrong";
    case AttemptEnd::Overtaken:
        return "overtaken";
    case AttemptEnd::Cancelled:
        return "cancelled";
    }
    return "cancelled";
}

ServerStates::ServerStates(const Clock& processClock, Timeline& processTimeline, const SlotShares& slotShares)
    : clock(processClock)
    , timeline(processTimeline)
    , shares(slotShares)
    , hints(processClock)
{
}

void ServerStates::update(const version::Tables& tables)
{
    const std::lock_guard lock(this->mutex);
    const bool isFirst = this->states.empty();
    std::set<Endpoint> present;
    for (const version::Pool& pool : tables.pools) {
        for (const version::BackendServer& server : pool.servers) {
            present.insert(server.address);
            const auto [entry, isNew] = this->states.try_emplace(server.address);
            if (isNew)
                entry->second.rampStart = isFirst ? SteadyTime::min() : this->clock.now();
        }
    }
    std::erase_if(
        this->states, [&](const auto& entry) { return entry.second.inFlight == 0 && !present.contains(entry.first); });
}

bool ServerStates::isLeaving(const State& state, LeavingSign tolerated) const
{
    return state.leaving > tolerated && this->clock.now() < state.leavingUntil;
}

int64_t ServerStates::limitOf(const version::BackendServer& server, const version::Pool& pool, const State& state) const
{
    const int64_t share = this->hints.lowered(server.address, this->shares.shareOf(server.address), server.slots);
    const SteadyTime now = this->clock.now();
    if (share <= 0 || server.state != version::ServerState::Active)
        return 0;
    // Past its deadline, an ejected server is tried with one request at a time.
    if (state.isEjected)
        return now < state.ejectedUntil ? 0 : 1;
    double part = 1;
    if (state.rampStart != SteadyTime::min() && pool.rampMs > 0)
        part = std::min(1.0, millisecondsBetween(state.rampStart, now) / static_cast<double>(pool.rampMs));
    return std::max<int64_t>(1, std::llround(std::floor(static_cast<double>(share) * part)));
}

double ServerStates::typicalLatency(const version::Pool& pool) const
{
    // The lower median is not moved by a few slow servers.
    std::vector<double> known;
    for (const version::BackendServer& server : pool.servers) {
        const auto found = this->states.find(server.address);
        if (found != this->states.end() && found->second.latencyMs > 0)
            known.push_back(found->second.latencyMs);
    }
    if (known.empty())
        return 0;
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

double ServerStates::costOf(const version::Pool& pool, const State& state, double typicalMs) const
{
    const SteadyTime now = this->clock.now();
    double latency = typicalMs > 0 ? typicalMs : defaultLatencyMs;
    if (state.latencyMs > 0) {
        const double kept = std::exp2(-millisecondsBetween(state.latencyAt, now) / latencyHalfLifeMs);
        latency += (state.latencyMs - latency) * kept;
    }
    double cost = static_cast<double>(state.inFlight + 1) * latency;
    // Waiting for a slot of the others is shorter than being served by a server that is clearly slower.
    if (typicalMs > 0 && latency > slowFactor * typicalMs)
        cost *= latency / typicalMs;
    // A ramping server is chosen less often as well as with fewer requests at a time.
    if (state.rampStart != SteadyTime::min() && pool.rampMs > 0) {
        const double part = millisecondsBetween(state.rampStart, now) / static_cast<double>(pool.rampMs);
        cost /= std::clamp(part, 0.1, 1.0);
    }
    return cost;
}

std::vector<ServerStates::Candidate> ServerStates::candidates(
    const version::Pool& pool, const std::set<Endpoint>& avoided, LeavingSign tolerated, Suspicion suspicion)
{
    std::vector<Candidate> found;
    const double typicalMs = this->typicalLatency(pool);
    for (const version::BackendServer& server : pool.servers) {
        const auto entry = this->states.find(server.address);
        if (entry == this->states.end() || avoided.contains(server.address))
            continue;
        State& state = entry->second;
        if (suspicion == Suspicion::Suspect && state.suspects > 0)
            continue;
        if (this->isLeaving(state, tolerated) || state.inFlight >= this->limitOf(server, pool, state))
            continue;
        found.push_back({ &entry->first, &state, this->costOf(pool, state, typicalMs) });
    }
    return found;
}

bool ServerStates::areAllLeaving(const version::Pool& pool) const
{
    return std::all_of(pool.servers.begin(), pool.servers.end(), [this](const version::BackendServer& server) {
        const auto entry = this->states.find(server.address);
        return entry == this->states.end() || this->isLeaving(entry->second, LeavingSign::None)
            || this->shares.shareOf(server.address) <= 0;
    });
}

ServerPermit ServerStates::acquire(const version::Pool& pool, const std::set<Endpoint>& avoided, Suspicion suspicion)
{
    const std::lock_guard lock(this->mutex);
    std::vector<Candidate> found = this->candidates(pool, avoided, LeavingSign::None, suspicion);
    if (found.empty() && !avoided.empty())
        found = this->candidates(pool, {}, LeavingSign::None, suspicion);
    if (found.empty() && this->areAllLeaving(pool))
        found = this->candidates(pool, {}, LeavingSign::ConnectionClose, suspicion);
    if (found.empty())
        return {};
    const size_t first = randomBelow(found.size());
    size_t chosen = first;
    if (found.size() > 1) {
        const size_t second = (first + 1 + randomBelow(found.size() - 1)) % found.size();
        chosen = found[second].cost < found[first].cost ? second : first;
    }
    ++found[chosen].state->inFlight;
    found[chosen].state->suspects += suspicion == Suspicion::Suspect ? 1 : 0;
    return ServerPermit(*this, *found[chosen].address, this->clock.now(), suspicion);
}

int64_t ServerStates::freeSlots(const version::Pool& pool) const
{
    const std::lock_guard lock(this->mutex);
    int64_t slots = 0;
    for (const version::BackendServer& server : pool.servers) {
        const auto entry = this->states.find(server.address);
        if (entry != this->states.end() && !this->isLeaving(entry->second, LeavingSign::None))
            slots += std::max<int64_t>(0, this->limitOf(server, pool, entry->second) - entry->second.inFlight);
    }
    return slots;
}

bool ServerStates::hasUsableServer(const version::Pool& pool) const
{
    const std::lock_guard lock(this->mutex);
    return std::any_of(pool.servers.begin(), pool.servers.end(), [&](const version::BackendServer& server) {
        const auto entry = this->states.find(server.address);
        return entry != this->states.end() && !this->isLeaving(entry->second, LeavingSign::ConnectionClose)
            && this->limitOf(server, pool, entry->second) > 0;
    });
}

double ServerStates::expectedLatencyMs(const version::Pool& pool) const
{
    const std::lock_guard lock(this->mutex);
    return this->typicalLatency(pool);
}

void ServerStates::release(const ServerPermit& permit, AttemptEnd end)
{
    std::function<void()> listener;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->states.find(permit.address);
        if (found != this->states.end()) {
            State& state = found->second;
            --state.inFlight;
            state.suspects -= permit.suspicion == Suspicion::Suspect ? 1 : 0;
            this->recordEnd(permit.address, state, end, millisecondsBetween(permit.start, this->clock.now()));
        }
        listener = this->releaseListener;
    }
    if (listener)
        listener();
}

void ServerStates::recordEnd(const Endpoint& server, State& state, AttemptEnd end, double elapsedMs)
{
    switch (end) {
    case AttemptEnd::Answered:
        this->recordLatency(state, elapsedMs);
        state.failures = 0;
        if (state.isEjected)
            this->readmit(server, state);
        else
            state.ejection = Milliseconds(0);
        break;
    case AttemptEnd::Overtaken:
        if (elapsedMs > state.latencyMs)
            this->recordLatency(state, elapsedMs);
        break;
    case AttemptEnd::Shed:
    case AttemptEnd::Cancelled:
        break;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::TimedOut:
    case AttemptEnd::ConnectionLost:
    case AttemptEnd::AnswerWrong:
        this->recordFailure(server, state, end);
        break;
    }
}

void ServerStates::recordLatency(State& state, double elapsedMs)
{
    state.latencyMs = state.latencyMs > 0 ? state.latencyMs + latencyWeight * (elapsedMs - state.latencyMs) : elapsedMs;
    state.latencyAt = this->clock.now();
}

void ServerStates::recordFailure(const Endpoint& server, State& state, AttemptEnd end)
{
    ++state.failures;
    if (end == AttemptEnd::ConnectionLost)
        ++state.deaths;
    // A refused connection is a sure sign; other failures may be those of one request.
    if (end == AttemptEnd::ConnectFailed)
        state.wasDown = true;
    if (end == AttemptEnd::ConnectFailed || state.failures >= failureLimit || state.isEjected)
        this->eject(server, state);
}

void ServerStates::eject(const Endpoint& server, State& state)
{
    const SteadyTime now = this->clock.now();
    if (state.isEjected && now < state.ejectedUntil)
        return;
    state.ejection = std::clamp(state.ejection * 2, firstEjection, longestEjection);
    state.ejectedUntil = now + state.ejection;
    if (!state.isEjected)
        this->timeline.record(EventKind::ServerState, server.toString(), "ejected");
    state.isEjected = true;
}

void ServerStates::readmit(const Endpoint& server, State& state)
{
    state.isEjected = false;
    state.failures = 0;
    state.rampStart = this->clock.now();
    this->timeline.record(EventKind::ServerState, server.toString(), "recovered");
}

void ServerStates::noteLeaving(const Endpoint& server, LeavingSign sign)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(server);
    if (found == this->states.end())
        return;
    State& state = found->second;
    const bool isNew = !this->isLeaving(state, LeavingSign::None);
    if (!isNew && sign < state.leaving)
        return;
    state.leaving = sign;
    state.leavingUntil = this->clock.now() + leavingHold;
    state.wasDown = false;
    if (isNew)
        this->timeline.record(EventKind::ServerState, server.toString(),
            sign == LeavingSign::Announced ? "leaving: draining" : "leaving: connection close");
}

void ServerStates::noteLoad(const Endpoint& server, double load)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(server);
    if (found != this->states.end())
        this->hints.report(server, { load, ReportedHealth::Healthy, found->second.inFlight }, loadHold);
}

void ServerStates::noteProbeAnswered(const Endpoint& server, bool isDraining)
{
    if (isDraining)
        this->noteLeaving(server, LeavingSign::Announced);
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(server);
    if (found == this->states.end())
        return;
    State& state = found->second;
    // A server that was down in between is a new process, to which an older sign of leaving does not apply.
    if (!isDraining && state.wasDown && state.leaving != LeavingSign::None) {
        state.leaving = LeavingSign::None;
        state.rampStart = this->clock.now();
    }
    if (!isDraining)
        state.wasDown = false;
    // Health can be wrong: after a second ejection without an answer in between, only a request readmits the server.
    if (state.isEjected && this->clock.now() >= state.ejectedUntil && state.ejection <= firstEjection)
        this->readmit(server, state);
}

void ServerStates::noteProbeFailed(const Endpoint& server, AttemptEnd end)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(server);
    if (found != this->states.end())
        this->recordFailure(server, found->second, end);
}

std::vector<ServerSnapshot> ServerStates::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ServerSnapshot> servers;
    servers.reserve(this->states.size());
    for (const auto& [address, state] : this->states) {
        servers.push_back({ address, state.inFlight, state.latencyMs, state.deaths, state.failures, state.isEjected,
            this->isLeaving(state, LeavingSign::None) ? state.leaving : LeavingSign::None });
    }
    return servers;
}

void ServerStates::setReleaseListener(std::function<void()> listener)
{
    const std::lock_guard lock(this->mutex);
    this->releaseListener = std::move(listener);
}

}
