#include "VersionKeeper.h"

#include <glog/logging.h>

#include <algorithm>

namespace wagtailrack::process {

namespace {

// Versions that are remembered as rejected or conflicting; bounds the memory.
constexpr size_t maxRemembered = 256;

bool contains(const std::vector<version::VersionId>& ids, const version::VersionId& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void remember(std::vector<version::VersionId>& ids, const version::VersionId& id)
{
    if (ids.size() >= maxRemembered)
        ids.erase(ids.begin());
    ids.push_back(id);
}

}

bool isInvalidVersion(const Error& error) noexcept
{
    switch (error.code) {
    case ErrorCode::SyntaxError:
    case ErrorCode::UnknownKey:
    case ErrorCode::MissingKey:
    case ErrorCode::WrongType:
    case ErrorCode::OutOfRange:
    case ErrorCode::DuplicateName:
    case ErrorCode::UnknownName:
    case ErrorCode::Overlap:
    case ErrorCode::TooLarge:
        return true;
    default:
        return false;
    }
}

void VersionKeeper::setObservers(Observers newObservers)
{
    const std::lock_guard lock(this->mutex);
    this->observers = std::move(newObservers);
}

version::VersionId VersionKeeper::activeId() const
{
    const auto version = this->active();
    return version ? version->id : version::VersionId {};
}

bool VersionKeeper::adopt(const version::TableVersionPointer& candidate, const std::string& source)
{
    const std::lock_guard adoptionLock(this->adoption);
    const version::Adoption judgement = version::judgeAdoption(this->activeId(), candidate->head);
    if (judgement == version::Adoption::Conflict)
        this->reportConflict(candidate->id, source);
    if (judgement != version::Adoption::Adopt)
        return false;
    this->current.store(candidate);
    Observers told;
    {
        const std::lock_guard lock(this->mutex);
        told = this->observers;
    }
    LOG(INFO) << "event=version-active generation=" << candidate->id.generation << " digest=" << candidate->id.digest
              << " source=" << source;
    if (told.timeline)
        told.timeline->record(EventKind::VersionActive, std::to_string(candidate->id.generation),
            "digest=" + candidate->id.digest + " source=" + source);
    if (told.onActive)
        told.onActive(candidate);
    return true;
}

bool VersionKeeper::isWanted(const version::VersionId& id) const
{
    if (id.generation <= this->activeId().generation)
        return false;
    const std::lock_guard lock(this->mutex);
    return !contains(this->rejected, id) && !contains(this->conflicts, id);
}

void VersionKeeper::reject(const version::VersionId& id, const Error& error)
{
    const std::lock_guard lock(this->mutex);
    if (contains(this->rejected, id))
        return;
    remember(this->rejected, id);
    LOG(ERROR) << "event=version-rejected generation=" << id.generation << " digest=" << id.digest << " error=\""
               << describe(error) << '"';
    if (this->observers.timeline)
        this->observers.timeline->record(EventKind::VersionConflict, std::to_string(id.generation),
            "digest=" + id.digest + " rejected=" + toString(error.code));
}

void VersionKeeper::reportConflict(const version::VersionId& id, const std::string& source)
{
    const version::VersionId active = this->activeId();
    const std::lock_guard lock(this->mutex);
    if (contains(this->conflicts, id))
        return;
    remember(this->conflicts, id);
    LOG(ERROR) << "event=version-conflict generation=" << id.generation << " digest=" << id.digest
               << " active_generation=" << active.generation << " active_digest=" << active.digest
               << " source=" << source;
    if (this->observers.timeline)
        this->observers.timeline->record(EventKind::VersionConflict, std::to_string(id.generation),
            "digest=" + id.digest + " active_generation=" + std::to_string(active.generation)
                + " active_digest=" + active.digest + " source=" + source);
}

}
