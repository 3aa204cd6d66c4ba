#include <wagtailrack/version/Head.h>

#include <wagtailrack/version/TableChunks.h>

#include <algorithm>

namespace wagtailrack::version {

bool Head::hasVersion(const VersionId& version) const noexcept
{
    return version == this->id || std::any_of(this->edits.begin(), this->edits.end(), [&](const Edit& edit) {
        return edit.version == version;
    });
}

const Edit* Head::findEdit(std::string_view editId) const noexcept
{
    const auto found
        = std::find_if(this->edits.begin(), this->edits.end(), [&](const Edit& edit) { return edit.id == editId; });
    return found == this->edits.end() ? nullptr : &*found;
}

bool Head::reachesBackTo(uint64_t generation) const noexcept
{
    return !this->edits.empty() && this->edits.front().version.generation <= generation;
}

static Head headAfter(std::vector<Edit> edits, uint64_t generation, const std::string& editId,
    std::string_view routesText, std::string_view poolsText)
{
    Head head;
    head.id = { generation + 1, digestOf(routesText, poolsText) };
    head.routesChunks = chunkHashes(routesText);
    head.poolsChunks = chunkHashes(poolsText);
    head.edits = std::move(edits);
    head.edits.push_back({ editId, head.id });
    if (head.edits.size() > Head::maxEdits)
        head.edits.erase(head.edits.begin(), head.edits.end() - Head::maxEdits);
    return head;
}

Head nextHead(const Head& previous, const std::string& editId, std::string_view routesText, std::string_view poolsText)
{
    return headAfter(previous.edits, previous.id.generation, editId, routesText, poolsText);
}

Head joinedHead(const Head& first, const Head& second, const std::string& editId, std::string_view routesText,
    std::string_view poolsText)
{
    std::vector<Edit> edits = first.edits;
    for (const Edit& edit : second.edits) {
        if (std::find(edits.begin(), edits.end(), edit) == edits.end())
            edits.push_back(edit);
    }
    std::stable_sort(edits.begin(), edits.end(),
        [](const Edit& left, const Edit& right) { return left.version.generation < right.version.generation; });
    const uint64_t generation = std::max(first.id.generation, second.id.generation);
    return headAfter(std::move(edits), generation, editId, routesText, poolsText);
}

VersionId commonVersion(const Head& first, const Head& second)
{
    VersionId common;
    for (const Edit& edit : first.edits) {
        if (edit.version.generation >= common.generation && second.hasVersion(edit.version))
            common = edit.version;
    }
    return common;
}

Adoption judgeAdoption(const VersionId& active, const Head& head) noexcept
{
    if (head.id == active)
        return Adoption::AlreadyActive;
    if (head.id.generation < active.generation)
        return Adoption::Older;
    if (head.id.generation == active.generation)
        return Adoption::Conflict;
    const bool isComparable = active.generation > 0 && head.reachesBackTo(active.generation);
    return !isComparable || head.hasVersion(active) ? Adoption::Adopt : Adoption::Conflict;
}

bool mayAdopt(const VersionId& active, const Head& head) noexcept
{
    return judgeAdoption(active, head) == Adoption::Adopt;
}

}
