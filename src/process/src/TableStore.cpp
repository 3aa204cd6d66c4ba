#include <wagtailrack/process/TableStore.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/version/TableChunks.h>
#include <wagtailrack/version/TableMerge.h>

#include <cassert>
#include <set>
#include <thread>

namespace wagtailrack::process {

using version::Head;
using version::TableVersionPointer;
using version::VersionId;

namespace {

std::string chunkKey(const std::string& hash) { return "wagtailrack/chunk/" + hash; }

// Both parts of the id: two histories may reach the same texts at different generations.
std::string manifestKey(const VersionId& id)
{
    return "wagtailrack/version/" + std::to_string(id.generation) + "-" + id.digest;
}

// A head without its history: enough to load the version.
std::string encodeManifest(const Head& head)
{
    Head manifest = head;
    manifest.edits.erase(manifest.edits.begin(), manifest.edits.end() - 1);
    return version::encodeHead(manifest);
}

// Failures after which the same call may succeed a little later.
bool isTransient(ErrorCode code) noexcept
{
    return code == ErrorCode::RateLimited || code == ErrorCode::StoreUnavailable || code == ErrorCode::TimedOut;
}

Error unknownOutcome(const std::string& detail)
{
    return makeError(ErrorCode::OutcomeUnknown, TableStore::headKey, detail);
}

}

TableStore::TableStore(ConfigurationStore& configurationStore, const Clock& processClock, Milliseconds pause)
    : store(configurationStore)
    , clock(processClock)
    , retryPause(pause)
{
}

bool TableStore::pause(SteadyTime deadline) const
{
    if (this->clock.now() + this->retryPause >= deadline)
        return false;
    std::this_thread::sleep_for(this->retryPause);
    return true;
}

Result<StoredHead> TableStore::decode(const StoredValue& value)
{
    auto head = version::decodeHead(value.value, headKey);
    if (!head)
        return head.error();
    return StoredHead { std::move(head).value(), value.version };
}

Result<StoredHead> TableStore::readHead(SteadyTime deadline)
{
    const auto value = this->store.read(headKey, deadline);
    if (!value)
        return value.error();
    if (!value.value())
        return StoredHead {};
    return decode(*value.value());
}

Result<TableVersionPointer> TableStore::load(const Head& head, const TableVersionPointer& known, SteadyTime deadline)
{
    return version::assembleVersion(head, known, [&](const std::string& hash) -> Result<std::string> {
        while (true) {
            const auto chunk = this->store.read(chunkKey(hash), deadline);
            if (chunk && chunk.value())
                return chunk.value()->value;
            if (chunk)
                return makeError(ErrorCode::NotFound, chunkKey(hash), "the store has no such chunk");
            // A large table is read faster than the store's rate allows.
            if (chunk.error().code != ErrorCode::RateLimited || !this->pause(deadline))
                return chunk.error();
        }
    });
}

Result<TableVersionPointer> TableStore::loadEarlier(
    const VersionId& id, const TableVersionPointer& known, SteadyTime deadline)
{
    const auto manifest = this->store.read(manifestKey(id), deadline);
    if (!manifest)
        return manifest.error();
    if (!manifest.value())
        return makeError(ErrorCode::NotFound, manifestKey(id), "the store has no such version");
    const auto head = version::decodeHead(manifest.value()->value, manifestKey(id));
    if (!head)
        return head.error();
    if (head.value().id != id)
        return makeError(ErrorCode::AnswerMismatched, manifestKey(id), "the manifest is of another version");
    return this->load(head.value(), known, deadline);
}

Status TableStore::writeOnce(const std::string& key, const std::string& value, SteadyTime deadline)
{
    while (true) {
        const auto written = this->store.write(key, value, 0, deadline);
        // The key names the content, so whoever wrote it wrote the same.
        if (written || written.error().code == ErrorCode::VersionConflict)
            return success();
        const ErrorCode code = written.error().code;
        if (code != ErrorCode::OutcomeUnknown && !isTransient(code))
            return written.error();
        if (!this->pause(deadline))
            return code == ErrorCode::OutcomeUnknown
                ? makeError(ErrorCode::StoreUnavailable, key, written.error().detail)
                : written.error();
    }
}

Status TableStore::writeContent(const Head& base, const Content& content, SteadyTime deadline)
{
    std::set<std::string> present(base.routesChunks.begin(), base.routesChunks.end());
    present.insert(base.poolsChunks.begin(), base.poolsChunks.end());
    for (const std::string* text : { &content.routesText, &content.poolsText }) {
        for (const std::string_view chunk : version::splitIntoChunks(*text)) {
            const std::string hash = contentHash(chunk);
            if (!present.insert(hash).second)
                continue;
            if (auto status = this->writeOnce(chunkKey(hash), std::string(chunk), deadline); !status)
                return status;
        }
    }
    return this->writeOnce(manifestKey(content.head.id), encodeManifest(content.head), deadline);
}

Status TableStore::commit(
    const StoredHead& base, const std::vector<Content>& contents, const Verdict& verdict, SteadyTime deadline)
{
    for (const Content& content : contents) {
        if (auto status = this->writeContent(base.head, content, deadline); !status)
            return status;
    }
    const std::string value = version::encodeHead(contents.front().head);
    bool wasSent = false;
    // Whether all content was written again after the head.
    bool isComplete = false;
    // Ends by the verdict on the head as it is read, also after a write that succeeded: the store may have been
    // restored since, and may have the expected key version with another head.
    while (true) {
        const auto current = this->readHead(deadline);
        if (!current) {
            if (isComplete)
                return success();
            if (isTransient(current.error().code) && this->pause(deadline))
                continue;
            return wasSent ? unknownOutcome(current.error().detail) : current.error();
        }
        if (const auto decided = verdict(current.value(), wasSent)) {
            if (!*decided || !wasSent || isComplete)
                return *decided;
            // A restore between the chunks and the head may have taken the chunks away.
            for (const Content& content : contents) {
                if (auto status = this->writeContent(base.head, content, deadline); !status)
                    return unknownOutcome("committed, but not all chunks are certain: " + status.error().detail);
            }
            isComplete = true;
            continue;
        }
        const auto written = this->store.write(headKey, value, base.keyVersion, deadline);
        const ErrorCode code = written ? ErrorCode::OutcomeUnknown : written.error().code;
        wasSent = wasSent || code == ErrorCode::OutcomeUnknown;
        isComplete = false;
        if (written)
            continue;
        const bool isRepeatable
            = code == ErrorCode::VersionConflict || code == ErrorCode::OutcomeUnknown || isTransient(code);
        if (!isRepeatable || !this->pause(deadline))
            return wasSent ? unknownOutcome(written.error().detail) : written.error();
    }
}

Result<VersionId> TableStore::publish(const StoredHead& base, const std::string& editId, const std::string& routesText,
    const std::string& poolsText, SteadyTime deadline)
{
    const Head head = version::nextHead(base.head, editId, routesText, poolsText);
    VersionId published = head.id;
    const Verdict verdict = [&](const StoredHead& current, bool wasSent) -> std::optional<Status> {
        if (const version::Edit* edit = current.head.findEdit(editId)) {
            published = edit->version;
            return success();
        }
        if (current == base)
            return std::nullopt;
        // The edit may have been made and lost again with a restore, after an instance fetched it.
        if (wasSent)
            return unknownOutcome("the store's history does not show the edit");
        const bool isContinued = base.head.id.generation == 0 || current.head.hasVersion(base.head.id);
        if (!isContinued && current.head.id.generation < base.head.id.generation)
            return makeError(ErrorCode::StaleVersion, headKey, "the store went back to an older version");
        return makeError(ErrorCode::VersionConflict, headKey, "another edit came first");
    };
    if (auto status = this->commit(base, { { head, routesText, poolsText } }, verdict, deadline); !status)
        return status.error();
    return published;
}

Status TableStore::writeBack(const TableVersionPointer& active, const StoredHead& seen, SteadyTime deadline)
{
    const Head& head = active->head;
    assert(seen.head.id.generation < head.id.generation);
    const bool isComparable = seen.head.id.generation > 0 && head.reachesBackTo(seen.head.id.generation);
    if (isComparable && !head.hasVersion(seen.head.id))
        return makeError(ErrorCode::EditConflict, headKey, "the store was edited after it was restored");
    const Verdict verdict = [&](const StoredHead& current, bool) -> std::optional<Status> {
        if (current == seen)
            return std::nullopt;
        const version::Adoption adoption = version::judgeAdoption(head.id, current.head);
        if (adoption == version::Adoption::Adopt || adoption == version::Adoption::AlreadyActive)
            return success();
        return makeError(ErrorCode::VersionConflict, headKey, "the head changed meanwhile");
    };
    return this->commit(seen, { { head, active->routesText, active->poolsText } }, verdict, deadline);
}

Result<VersionId> TableStore::reconcile(const TableVersionPointer& active, const StoredHead& seen, SteadyTime deadline)
{
    const VersionId commonId = version::commonVersion(active->head, seen.head);
    std::string commonRoutes;
    std::string commonPools;
    if (commonId.generation > 0) {
        const auto common = this->loadEarlier(commonId, active, deadline);
        if (!common)
            return common.error();
        commonRoutes = common.value()->routesText;
        commonPools = common.value()->poolsText;
    } else if (!active->head.reachesBackTo(1) || !seen.head.reachesBackTo(1)) {
        return makeError(ErrorCode::NotFound, headKey, "the histories have no version in common");
    }
    // Otherwise the store was empty and got its first edits again: both histories start from empty tables.
    const auto other = this->load(seen.head, active, deadline);
    if (!other)
        return other.error();
    const auto routes = version::mergeTable("routes.toml", commonRoutes, active->routesText, other.value()->routesText);
    const auto pools = version::mergeTable("pools.toml", commonPools, active->poolsText, other.value()->poolsText);
    for (const version::TableMerge* merge : { &routes, &pools }) {
        if (!merge->conflicts.empty())
            return makeError(ErrorCode::EditConflict, merge->conflicts.front().record,
                "changed by both histories, after generation " + std::to_string(commonId.generation));
    }
    if (const auto tables = version::parseTables(routes.text, pools.text); !tables)
        return makeError(ErrorCode::EditConflict, tables.error().place, describe(tables.error()));
    // The same for every instance that joins these two versions, so that only one commit counts.
    const std::string editId = "join-" + contentHash(manifestKey(active->id) + manifestKey(seen.head.id));
    const Head head = version::joinedHead(active->head, seen.head, editId, routes.text, pools.text);
    VersionId published = head.id;
    const Verdict verdict = [&](const StoredHead& current, bool) -> std::optional<Status> {
        if (const version::Edit* edit = current.head.findEdit(editId)) {
            published = edit->version;
            return success();
        }
        if (current == seen)
            return std::nullopt;
        return makeError(ErrorCode::VersionConflict, headKey, "the head changed meanwhile");
    };
    // The active version becomes part of the store's history, so others may need it as their common version.
    const std::vector<Content> contents
        = { { head, routes.text, pools.text }, { active->head, active->routesText, active->poolsText } };
    if (auto status = this->commit(seen, contents, verdict, deadline); !status)
        return status.error();
    return published;
}

}
