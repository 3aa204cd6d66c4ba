#pragma once

#include <wagtailrack/base/Endpoint.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wagtailrack::process {

enum class MemberStatus {
    Alive,
    // Missed probes; still listed until the suspicion deadline.
    Suspect,
    // Stops soon; gets no new work.
    Leaving,
    Dead,
    // In a failure domain that cannot be reached now; not known to be dead.
    Unreachable,
};

// One entry instance as the others know it.
struct Member {
    // Unique name from the settings.
    std::string name;
    // Random identity of the process; a restarted instance has another one.
    std::string processId;
    std::string failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    uint64_t incarnation = 0;
    MemberStatus status = MemberStatus::Alive;

    // Whether new work may be sent there.
    bool canTakeWork() const noexcept
    {
        return this->status == MemberStatus::Alive || this->status == MemberStatus::Suspect;
    }

    friend auto operator<=>(const Member&, const Member&) = default;
};

// What one instance knows of all members at one time, itself included. Immutable; sorted by name.
struct MemberView {
    std::vector<Member> members;

    const Member* find(std::string_view name) const noexcept;

    friend bool operator==(const MemberView&, const MemberView&) = default;
};

using MemberViewPointer = std::shared_ptr<const MemberView>;

const char* toString(MemberStatus status) noexcept;

}
