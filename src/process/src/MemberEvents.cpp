#include <wagtailrack/process/MemberEvents.h>

#include <glog/logging.h>

namespace wagtailrack::process {

MemberEvents::MemberEvents(Timeline& events)
    : timeline(events)
    , previous(std::make_shared<MemberView>())
{
}

void MemberEvents::observe(MemberViewPointer view)
{
    for (const Member& member : view->members) {
        const Member* before = this->previous->find(member.name);
        if (!before || before->status != member.status || before->processId != member.processId)
            this->report(member, toString(member.status));
    }
    for (const Member& member : this->previous->members) {
        if (!view->find(member.name))
            this->report(member, "forgotten");
    }
    this->previous = std::move(view);
}

void MemberEvents::report(const Member& member, const char* status)
{
    LOG(INFO) << "event=member-state name=" << member.name << " status=" << status
              << " failure_domain=" << member.failureDomain << " process_id=" << member.processId
              << " incarnation=" << member.incarnation;
    this->timeline.record(EventKind::MemberState, member.name,
        std::string("status=") + status + " failure_domain=" + member.failureDomain + " process_id=" + member.processId
            + " incarnation=" + std::to_string(member.incarnation));
}

}
