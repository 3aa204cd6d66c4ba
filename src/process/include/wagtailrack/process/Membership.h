#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/process/MemberView.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace wagtailrack::process {

// Digest of one failure domain's live members, by the failure domain's name.
using MemberDigests = std::map<std::string, uint64_t>;

// Whether news is sent along to peers after it was merged.
enum class Spread {
    Tell,
    // The peers have it already, as with the lists that a new instance fetches.
    Keep,
};

// The members as this instance sees them: the merge rules and the suspicion deadlines, without any network. Owns the
// state; PeerTasks feed it. Lives for the process; may be called by any thread.
//
//     Membership membership(clock, self, [](MemberViewPointer view) { ... });
//     membership.merge(newsOfAPeer);
//     const std::vector<Member> updates = membership.takeUpdates(8);
class Membership {
public:
    static constexpr Milliseconds suspicionTime { 3000 };
    // Dead members are remembered for this long, so that old news does not bring them back.
    static constexpr std::chrono::minutes deadRetention { 10 };
    // A list that omits a member says nothing when the member was learned more recently, because the sender may not
    // have heard of it yet, or when the sender was, because it may not have joined its peers yet.
    static constexpr std::chrono::seconds listGrace { 30 };
    // A member with a higher incarnation is not accepted, so that an incarnation can always be raised.
    static constexpr uint64_t maxIncarnation = uint64_t(1) << 60;

    // `onChange` is called, without a lock held, after each change of the view; the last call has the latest view. It
    // must not call a function that changes the membership.
    Membership(const Clock& clock, Member self, std::function<void(MemberViewPointer)> onChange);

    MemberViewPointer view() const noexcept;
    Member self() const;

    // Merges news. Higher incarnation wins; with equal ones dead > leaving > suspect > alive. News that says this
    // instance is suspect or dead is refuted with a higher incarnation. News of the status `Unreachable` is ignored:
    // it is each instance's own observation. Returns what was new here.
    std::vector<Member> merge(const std::vector<Member>& news, Spread spread = Spread::Tell);

    // Merges the member list that `source` gave of its own failure domain. Members that it omits have been forgotten
    // there as dead, unless the source or the member is new.
    std::vector<Member> mergeList(const Member& source, const std::vector<Member>& list, Spread spread = Spread::Tell);

    // A member did not answer direct and indirect probes. A leaving member keeps its status, but is declared dead by
    // the same deadline.
    void suspect(const std::string& name, uint64_t incarnation);
    // No member of a failure domain has answered until its deadline. No effect on the own failure domain.
    void setUnreachable(const std::string& failureDomain);
    // A member of that failure domain has answered.
    void setReachable(const std::string& failureDomain);
    // Members that the platform's list reports as leaving. They are shown as leaving for as long as it does.
    void setLeavingHints(std::set<std::string> names);
    // This instance stops soon.
    void leave();
    // Turns suspects whose deadline has passed into dead members and forgets old dead ones. Only members of the own
    // failure domain are declared dead here; those of others are declared dead by their own peers.
    void expire();
    // Moves all suspicion deadlines. Called when this process was paused, so that members get their full time to
    // refute.
    void extendSuspicions(Milliseconds pause);

    // Members of one failure domain as they are told to peers: without this instance's own observations, with dead
    // ones.
    std::vector<Member> records(const std::string& failureDomain) const;
    // What is told to peers of one member; nothing when it is unknown.
    std::vector<Member> recordOf(const std::string& name) const;
    // Recent changes to send along with a message, at most `limit`. Each is returned a number of times that grows with
    // the logarithm of the number of members of the own failure domain, which are the ones that it is sent to.
    std::vector<Member> takeUpdates(size_t limit);
    // Digests of all known failure domains; dead members do not count.
    MemberDigests digests() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

// Whether `left` is newer than `right`, both about the same name.
bool outranks(const Member& left, const Member& right) noexcept;

}
