#include "TableEdit.h"

#include <wagtailrack/base/Random.h>

#include <thread>

namespace wagtailrack::command {

// Edits that race are tried again after a random part of this time.
static constexpr uint64_t maxPauseMs = 100;

static EditResult failed(Error error)
{
    EditResult result;
    result.status = std::move(error);
    return result;
}

TableEdit::TableEdit(
    process::TableStore& tableStore, const Clock& processClock, FolderContent baseContent, FolderContent ownContent)
    : store(tableStore)
    , clock(processClock)
    , base(std::move(baseContent))
    , own(std::move(ownContent))
    , editId(randomHex(16))
{
}

EditResult TableEdit::run(SteadyTime deadline)
{
    bool isUnknown = false;
    while (true) {
        EditResult result = this->attempt(deadline);
        if (result.status)
            return result;
        const ErrorCode code = result.status.error().code;
        isUnknown = isUnknown || code == ErrorCode::OutcomeUnknown;
        // A merge that finds the records in the store already sends nothing, so trying again is safe.
        const bool isRepeatable = code == ErrorCode::VersionConflict || code == ErrorCode::OutcomeUnknown;
        if (!isRepeatable || this->clock.now() + Milliseconds(maxPauseMs) >= deadline) {
            // What an earlier try did stays unknown.
            if (isUnknown && code != ErrorCode::OutcomeUnknown)
                result.status = makeError(ErrorCode::OutcomeUnknown, result.status.error().place,
                    "a reply was lost, then: " + describe(result.status.error()));
            return result;
        }
        std::this_thread::sleep_for(Milliseconds(randomBelow(maxPauseMs)));
    }
}

Status TableEdit::checkBase(const version::Head& head) const
{
    const version::VersionId& id = this->base.id;
    if (id.generation == 0)
        return success();
    const std::string place = process::TableStore::headKey;
    if (head.id.generation < id.generation)
        return makeError(ErrorCode::StaleVersion, place,
            "the store has generation " + std::to_string(head.id.generation) + ", older than the base "
                + std::to_string(id.generation) + "; try again when an instance has written it back");
    if (head.reachesBackTo(id.generation) && !head.hasVersion(id))
        return makeError(ErrorCode::StaleVersion, place, "the base is not part of the store's history");
    return success();
}

EditResult TableEdit::attempt(SteadyTime deadline)
{
    const auto seen = this->store.readHead(deadline);
    if (!seen)
        return failed(seen.error());
    const version::Head& head = seen.value().head;
    if (auto status = this->checkBase(head); !status)
        return failed(status.error());
    version::TableVersion known { this->base.id, this->base.routesText, this->base.poolsText, {}, {} };
    FolderContent stored;
    if (head.id.generation > 0) {
        const auto version
            = this->store.load(head, std::make_shared<const version::TableVersion>(std::move(known)), deadline);
        if (!version)
            return failed(version.error());
        stored = { head.id, version.value()->routesText, version.value()->poolsText };
    }

    const auto routes
        = version::mergeTable("routes.toml", this->base.routesText, this->own.routesText, stored.routesText);
    const auto pools = version::mergeTable("pools.toml", this->base.poolsText, this->own.poolsText, stored.poolsText);
    EditResult result;
    for (const version::TableMerge* merge : { &routes, &pools }) {
        result.changes.insert(result.changes.end(), merge->ownChanges.begin(), merge->ownChanges.end());
        result.conflicts.insert(result.conflicts.end(), merge->conflicts.begin(), merge->conflicts.end());
    }
    if (!result.conflicts.empty()) {
        result.status = makeError(ErrorCode::EditConflict, result.conflicts.front().record,
            "changed in the store since generation " + std::to_string(this->base.id.generation));
        return result;
    }
    result.content = { stored.id, routes.text, pools.text };
    if (result.content == stored && head.id.generation > 0) {
        result.changes.clear();
        return result;
    }
    // Both sides are valid; together they may not be, for example with two routes of the same prefix.
    if (const auto tables
        = version::parseTables(routes.text, pools.text, { "merged routes.toml", "merged pools.toml" });
        !tables)
        return failed(tables.error());
    const auto published = this->store.publish(seen.value(), this->editId, routes.text, pools.text, deadline);
    if (!published)
        return failed(published.error());
    result.content.id = published.value();
    return result;
}

}
