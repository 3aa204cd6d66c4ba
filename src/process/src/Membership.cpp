#include <wagtailrack/process/Membership.h>

#include "UpdateQueue.h"

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <mutex>
#include <optional>
#include <tuple>

namespace wagtailrack::process {

namespace {

int statusRank(MemberStatus status) noexcept
{
    switch (status) {
    case MemberStatus::Dead:
        return 3;
    case MemberStatus::Leaving:
        return 2;
    case MemberStatus::Suspect:
        return 1;
    case MemberStatus::Alive:
    case MemberStatus::Unreachable:
        break;
    }
    return 0;
}

}

// The process id makes the order total: of two processes with one name and one incarnation, all members prefer the
// same one, and the other raises its incarnation.
bool outranks(const Member& left, const Member& right) noexcept
{
    return std::tuple(left.incarnation, statusRank(left.status), std::string_view(left.processId))
        > std::tuple(right.incarnation, statusRank(right.status), std::string_view(right.processId));
}

class Membership::Implementation {
public:
    struct Record {
        Member member;
        SteadyTime learnedAt;
        // When a suspect, or a leaving member that does not answer, is declared dead.
        std::optional<SteadyTime> deadAt;
        SteadyTime forgetAt;
    };

    Implementation(const Clock& source, Member self, std::function<void(MemberViewPointer)> callback)
        : clock(source)
        , selfName(self.name)
        , ownFailureDomain(self.failureDomain)
        , onChange(std::move(callback))
    {
        this->records[this->selfName] = Record { std::move(self), source.now(), {}, {} };
        this->publish();
        this->notified = this->current.load();
    }

    void store(const Member& member, Spread spread = Spread::Tell)
    {
        const SteadyTime now = this->clock.now();
        Record& record = this->records[member.name];
        const bool isSameProcess = record.member.processId == member.processId;
        if (!isSameProcess)
            record.learnedAt = now;
        record.member = member;
        record.deadAt.reset();
        if (member.status == MemberStatus::Suspect)
            record.deadAt = now + suspicionTime;
        if (member.status == MemberStatus::Dead)
            record.forgetAt = now + deadRetention;
        if (spread == Spread::Tell)
            this->updates.add(member.name, this->peerCount());
    }

    // Applies one piece of news; false when it is not new.
    bool apply(const Member& news, Spread spread)
    {
        if (news.status == MemberStatus::Unreachable || news.incarnation > maxIncarnation)
            return false;
        const auto known = this->records.find(news.name);
        if (known == this->records.end()) {
            // A dead member that is unknown here is forgotten or was never seen. Storing it would let the dead
            // circulate for ever.
            if (news.status == MemberStatus::Dead)
                return false;
            this->store(news, spread);
            return true;
        }
        if (!outranks(news, known->second.member))
            return false;
        if (news.name == this->selfName) {
            Member refutation = known->second.member;
            refutation.incarnation = news.incarnation + 1;
            this->store(refutation);
            return true;
        }
        this->store(news, spread);
        return true;
    }

    size_t peerCount() const
    {
        return static_cast<size_t>(std::count_if(this->records.begin(), this->records.end(),
            [this](const auto& entry) { return entry.second.member.failureDomain == this->ownFailureDomain; }));
    }

    Member shown(const Record& record) const
    {
        Member member = record.member;
        if (!member.canTakeWork())
            return member;
        if (this->unreachable.contains(member.failureDomain))
            member.status = MemberStatus::Unreachable;
        else if (this->leavingHints.contains(member.name))
            member.status = MemberStatus::Leaving;
        return member;
    }

    void publish()
    {
        auto view = std::make_shared<MemberView>();
        view->members.reserve(this->records.size());
        for (const auto& [name, record] : this->records)
            view->members.push_back(this->shown(record));
        this->current.store(std::move(view));
    }

    // Runs `change` under the lock; when it returns true, publishes a new view and calls onChange without the lock.
    template <typename Change> void update(const Change& change)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (!change())
                return;
            this->publish();
        }
        const std::lock_guard lock(this->notification);
        const MemberViewPointer latest = this->current.load();
        if (latest == this->notified || *latest == *this->notified)
            return;
        this->notified = latest;
        if (this->onChange)
            this->onChange(latest);
    }

    const Clock& clock;
    const std::string selfName;
    const std::string ownFailureDomain;
    const std::function<void(MemberViewPointer)> onChange;
    mutable std::mutex mutex;
    std::map<std::string, Record> records;
    std::set<std::string> unreachable;
    std::set<std::string> leavingHints;
    UpdateQueue updates;
    std::atomic<MemberViewPointer> current;
    std::mutex notification;
    MemberViewPointer notified;
};

Membership::Membership(const Clock& clock, Member self, std::function<void(MemberViewPointer)> onChange)
    : implementation(std::make_shared<Implementation>(clock, std::move(self), std::move(onChange)))
{
}

MemberViewPointer Membership::view() const noexcept { return this->implementation->current.load(); }

Member Membership::self() const
{
    Implementation& state = *this->implementation;
    const std::lock_guard lock(state.mutex);
    return state.records.at(state.selfName).member;
}

std::vector<Member> Membership::merge(const std::vector<Member>& news, Spread spread)
{
    std::vector<Member> accepted;
    this->implementation->update([&] {
        for (const Member& member : news) {
            if (this->implementation->apply(member, spread))
                accepted.push_back(this->implementation->records.at(member.name).member);
        }
        return !accepted.empty();
    });
    return accepted;
}

std::vector<Member> Membership::mergeList(const Member& source, const std::vector<Member>& list, Spread spread)
{
    std::set<std::string> listed;
    for (const Member& member : list)
        listed.insert(member.name);
    Implementation& state = *this->implementation;
    std::vector<Member> news = list;
    {
        const std::lock_guard lock(state.mutex);
        const SteadyTime learnedBefore = state.clock.now() - listGrace;
        const auto sender = state.records.find(source.name);
        const bool isSettled = sender != state.records.end() && sender->second.learnedAt <= learnedBefore;
        for (const auto& [name, record] : state.records) {
            const bool isOmitted = record.member.failureDomain == source.failureDomain && !listed.contains(name);
            if (!isSettled || !isOmitted || name == state.selfName || record.learnedAt > learnedBefore)
                continue;
            Member dead = record.member;
            dead.status = MemberStatus::Dead;
            news.push_back(std::move(dead));
        }
    }
    return this->merge(news, spread);
}

void Membership::suspect(const std::string& name, uint64_t incarnation)
{
    Implementation& state = *this->implementation;
    state.update([&] {
        const auto found = state.records.find(name);
        if (found == state.records.end() || name == state.selfName)
            return false;
        Implementation::Record& record = found->second;
        if (record.member.incarnation != incarnation || record.deadAt)
            return false;
        if (record.member.status == MemberStatus::Leaving) {
            record.deadAt = state.clock.now() + suspicionTime;
            return false;
        }
        if (record.member.status != MemberStatus::Alive)
            return false;
        Member suspected = record.member;
        suspected.status = MemberStatus::Suspect;
        state.store(suspected);
        return true;
    });
}

void Membership::setUnreachable(const std::string& failureDomain)
{
    Implementation& state = *this->implementation;
    state.update(
        [&] { return failureDomain != state.ownFailureDomain && state.unreachable.insert(failureDomain).second; });
}

void Membership::setReachable(const std::string& failureDomain)
{
    this->implementation->update([&] { return this->implementation->unreachable.erase(failureDomain) > 0; });
}

void Membership::setLeavingHints(std::set<std::string> names)
{
    Implementation& state = *this->implementation;
    state.update([&] {
        const bool isChanged = state.leavingHints != names;
        state.leavingHints = std::move(names);
        return isChanged;
    });
}

void Membership::leave()
{
    Implementation& state = *this->implementation;
    state.update([&] {
        Member self = state.records.at(state.selfName).member;
        if (self.status == MemberStatus::Leaving)
            return false;
        self.status = MemberStatus::Leaving;
        state.store(self);
        return true;
    });
}

void Membership::expire()
{
    Implementation& state = *this->implementation;
    state.update([&] {
        const SteadyTime now = state.clock.now();
        bool isChanged = false;
        for (auto next = state.records.begin(); next != state.records.end();) {
            auto current = next++;
            const Implementation::Record& record = current->second;
            if (record.member.status == MemberStatus::Dead) {
                if (now >= record.forgetAt) {
                    state.records.erase(current);
                    isChanged = true;
                }
                continue;
            }
            if (!record.deadAt || now < *record.deadAt || record.member.failureDomain != state.ownFailureDomain)
                continue;
            Member dead = record.member;
            dead.status = MemberStatus::Dead;
            state.store(dead);
            isChanged = true;
        }
        return isChanged;
    });
}

void Membership::extendSuspicions(Milliseconds pause)
{
    const std::lock_guard lock(this->implementation->mutex);
    for (auto& [name, record] : this->implementation->records) {
        if (record.deadAt)
            *record.deadAt += pause;
    }
}

std::vector<Member> Membership::records(const std::string& failureDomain) const
{
    const std::lock_guard lock(this->implementation->mutex);
    std::vector<Member> members;
    for (const auto& [name, record] : this->implementation->records) {
        if (record.member.failureDomain == failureDomain)
            members.push_back(record.member);
    }
    return members;
}

std::vector<Member> Membership::recordOf(const std::string& name) const
{
    const std::lock_guard lock(this->implementation->mutex);
    const auto found = this->implementation->records.find(name);
    return found == this->implementation->records.end() ? std::vector<Member>()
                                                        : std::vector<Member> { found->second.member };
}

std::vector<Member> Membership::takeUpdates(size_t limit)
{
    const std::lock_guard lock(this->implementation->mutex);
    std::vector<Member> members;
    for (const std::string& name : this->implementation->updates.take(limit)) {
        const auto found = this->implementation->records.find(name);
        if (found != this->implementation->records.end())
            members.push_back(found->second.member);
    }
    return members;
}

MemberDigests Membership::digests() const
{
    const std::lock_guard lock(this->implementation->mutex);
    std::map<std::string, std::string> texts;
    for (const auto& [name, record] : this->implementation->records) {
        const Member& member = record.member;
        if (member.status == MemberStatus::Dead)
            continue;
        texts[member.failureDomain] += name + ' ' + member.processId + ' ' + std::to_string(member.incarnation) + ' '
            + toString(member.status) + '\n';
    }
    MemberDigests digests;
    for (const auto& [failureDomain, text] : texts)
        digests[failureDomain] = hash64(text);
    return digests;
}

}
