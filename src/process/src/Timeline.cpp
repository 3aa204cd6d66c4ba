#include <wagtailrack/process/Timeline.h>

#include <algorithm>
#include <cassert>

namespace wagtailrack::process {

const char* toString(EventKind kind) noexcept
{
    switch (kind) {
    case EventKind::Request:
        return "request";
    case EventKind::Attempt:
        return "attempt";
    case EventKind::ShiftStep:
        return "shift-step";
    case EventKind::VersionActive:
        return "version-active";
    case EventKind::VersionConflict:
        return "version-conflict";
    case EventKind::MemberState:
        return "member-state";
    case EventKind::ServerState:
        return "server-state";
    case EventKind::CrashGuard:
        return "crash-guard";
    case EventKind::Process:
        return "process";
    }
    return "process";
}

Timeline::Timeline(const Clock& source, size_t capacity)
    : clock(source)
    , ring(capacity)
{
    assert(capacity > 0);
}

void Timeline::record(EventKind kind, std::string subject, std::string detail)
{
    const WallTime time = this->clock.wallNow();
    const std::lock_guard lock(this->mutex);
    const uint64_t sequence = this->nextSequence++;
    this->ring[sequence % this->ring.size()] = Event { sequence, time, kind, std::move(subject), std::move(detail) };
}

std::vector<Event> Timeline::since(uint64_t after) const
{
    const std::lock_guard lock(this->mutex);
    const uint64_t kept = this->ring.size();
    const uint64_t oldest = this->nextSequence > kept ? this->nextSequence - kept : 1;
    std::vector<Event> events;
    for (uint64_t sequence = std::max(after + 1, oldest); sequence < this->nextSequence; ++sequence)
        events.push_back(this->ring[sequence % kept]);
    return events;
}

}
