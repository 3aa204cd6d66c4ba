#include <wagtailrack/process/MemberView.h>

#include <algorithm>

namespace wagtailrack::process {

const Member* MemberView::find(std::string_view name) const noexcept
{
    const auto found = std::lower_bound(this->members.begin(), this->members.end(), name,
        [](const Member& member, std::string_view wanted) { return member.name < wanted; });
    return found == this->members.end() || found->name != name ? nullptr : &*found;
}

const char* toString(MemberStatus status) noexcept
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Leaving:
        return "leaving";
    case MemberStatus::Dead:
        return "dead";
    case MemberStatus::Unreachable:
        return "unreachable";
    }
    return "dead";
}

}
