#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/version/Tables.h>

#include <map>
#include <mutex>
#include <vector>

namespace wagtailrack::process {

// The slots of each backend server that this instance may use now. A share that shrinks does so at once; one that
// grows does so after `growthDelay`, when the other members have seen the change, so that the sum of all shares never
// exceeds the slots. Starts with no share. Lives for the process; may be called by any thread.
class SlotShares {
public:
    static constexpr Milliseconds growthDelay { 3000 };
    // Added for servers of another failure domain: its members must have been dead for the suspicion time.
    static constexpr Milliseconds adoptionDelay { 3000 };

    explicit SlotShares(const Clock& clock);

    // Takes the shares of all servers of `tables` for the member `self`. Called after each change of the view or the
    // tables.
    void update(const version::Tables& tables, const MemberView& view, const Member& self);

    // 0 for servers that are not this instance's to use. Servers of two pools with one address share its slots; the
    // smaller number counts.
    int64_t shareOf(const Endpoint& server) const;

private:
    struct Step {
        SteadyTime from;
        int64_t slots = 0;
    };
    // The lowest target of the last `growthDelay`, as rising steps: the current one first, then those to come.
    using Share = std::vector<Step>;

    static void setTarget(Share& share, SteadyTime now, Milliseconds delay, int64_t target);
    static int64_t currentSlots(const Share& share, SteadyTime now) noexcept;

    const Clock& clock;
    mutable std::mutex mutex;
    std::map<Endpoint, Share> shares;
};

}
