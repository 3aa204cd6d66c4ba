#pragma once

#include <wagtailrack/base/Clock.h>

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace wagtailrack::process {

enum class EventKind {
    // A request ended; `subject` is its id, `detail` its outcome and reason.
    Request,
    // One attempt at a backend server or a forward to an instance.
    Attempt,
    ShiftStep,
    VersionActive,
    VersionConflict,
    MemberState,
    ServerState,
    CrashGuard,
    Process,
};

const char* toString(EventKind kind) noexcept;

// Something that happened in one instance. `subject` is what it happened to (request id, address, name).
struct Event {
    uint64_t sequence = 0;
    WallTime time;
    EventKind kind = EventKind::Process;
    std::string subject;
    std::string detail;

    friend auto operator<=>(const Event&, const Event&) = default;
};

// The last events of this instance, bounded in number. Lives for the process; may be called by any thread.
class Timeline {
public:
    Timeline(const Clock& clock, size_t capacity);

    void record(EventKind kind, std::string subject, std::string detail);

    // Events with a sequence above `after`, oldest first; older ones may be gone.
    std::vector<Event> since(uint64_t after) const;

private:
    const Clock& clock;
    mutable std::mutex mutex;
    std::vector<Event> ring;
    uint64_t nextSequence = 1;
};

}
