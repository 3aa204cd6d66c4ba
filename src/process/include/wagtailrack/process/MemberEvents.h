#pragma once

#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/process/Timeline.h>

namespace wagtailrack::process {

// Records and logs how members changed between two views. Owned by the wiring; call it from Membership's onChange.
class MemberEvents {
public:
    explicit MemberEvents(Timeline& timeline);

    void observe(MemberViewPointer view);

private:
    void report(const Member& member, const char* status);

    Timeline& timeline;
    MemberViewPointer previous;
};

}
