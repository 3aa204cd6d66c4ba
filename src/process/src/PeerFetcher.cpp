#include "PeerFetcher.h"

#include "PeerMessages.h"

#include <wagtailrack/connection/JsonRpc.h>

#include <glog/logging.h>
#include <json/writer.h>

#include <algorithm>
#include <set>

namespace wagtailrack::process {

namespace {

constexpr size_t maxSources = 8;
constexpr Milliseconds callTimeout { 3000 };
constexpr size_t hashesInCall = 16;
// A delta is fetched at once; a whole table is a bulk transfer that leaves the peer's link and core to callers.
constexpr size_t unlimitedBytes = 64 << 10;
constexpr size_t bulkBytesPerSecond = 512 << 10;

std::string compactText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::set<std::string> hashesOf(const version::Head& head)
{
    std::set<std::string> hashes(head.routesChunks.begin(), head.routesChunks.end());
    hashes.insert(head.poolsChunks.begin(), head.poolsChunks.end());
    return hashes;
}

}

PeerFetcher::PeerFetcher(const FollowerParts& followerParts, VersionKeeper& versionKeeper)
    : parts(followerParts)
    , keeper(versionKeeper)
    , thread([this] { this->run(); })
{
}

PeerFetcher::~PeerFetcher()
{
    this->requestStop();
    this->thread.join();
}

void PeerFetcher::requestStop() noexcept
{
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
    if (this->client)
        this->client->cancel();
    this->wakeUp.notify_all();
}

void PeerFetcher::want(const version::VersionId& id, const Endpoint& source)
{
    const std::lock_guard lock(this->mutex);
    const bool isKnown = std::any_of(this->queue.begin(), this->queue.end(),
        [&](const Wanted& wanted) { return wanted.id == id && wanted.source == source; });
    if (isKnown || this->queue.size() >= maxSources)
        return;
    this->queue.push_back({ id, source });
    this->wakeUp.notify_all();
}

bool PeerFetcher::waitUntil(SteadyTime deadline)
{
    std::unique_lock lock(this->mutex);
    return !this->wakeUp.wait_until(lock, deadline, [this] { return this->isStopping; });
}

void PeerFetcher::run()
{
    while (true) {
        Wanted wanted;
        {
            std::unique_lock lock(this->mutex);
            this->wakeUp.wait(lock, [this] { return this->isStopping || !this->queue.empty(); });
            if (this->isStopping)
                return;
            wanted = std::move(this->queue.front());
            this->queue.pop_front();
            if (!this->keeper.isWanted(wanted.id))
                continue;
            this->client = std::make_shared<PeerClient>(wanted.source, this->parts.traffic);
        }
        // A failure is repaired by the next probe answer that tells of the version.
        if (const Status status = this->fetch(wanted); !status)
            LOG(INFO) << "event=version-fetch-failed generation=" << wanted.id.generation
                      << " peer=" << wanted.source.toString() << " error=\"" << describe(status.error()) << '"';
    }
}

Status PeerFetcher::fetch(const Wanted& wanted)
{
    try {
        auto head = this->fetchHead(*this->client);
        if (!head)
            return head.error();
        const version::Adoption judgement = version::judgeAdoption(this->keeper.activeId(), head.value());
        if (judgement == version::Adoption::Conflict)
            this->keeper.reportConflict(head.value().id, wanted.source.toString());
        if (judgement != version::Adoption::Adopt)
            return success();
        const auto chunks = this->fetchChunks(*this->client, head.value());
        if (!chunks)
            return chunks.error();
        const auto source = [&](const std::string& hash) -> Result<std::string> {
            const auto found = chunks.value().find(hash);
            if (found == chunks.value().end())
                return makeError(ErrorCode::NotFound, "chunk " + hash, "the peer does not have the chunk");
            return found->second;
        };
        auto loaded = version::assembleVersion(head.value(), this->keeper.active(), source);
        if (!loaded) {
            if (isInvalidVersion(loaded.error()))
                this->keeper.reject(head.value().id, loaded.error());
            return loaded.error();
        }
        this->keeper.adopt(loaded.value(), wanted.source.toString());
        return success();
    } catch (const connection::JsonRpcFailure& failure) {
        return makeError(ErrorCode::AnswerInvalid, wanted.source.toString(), failure.message);
    }
}

Result<version::Head> PeerFetcher::fetchHead(PeerClient& opened)
{
    const auto active = this->keeper.active();
    Json::Value parameters(Json::objectValue);
    if (active) {
        parameters["known"] = Json::Value(Json::objectValue);
        setVersion(parameters["known"], active->id);
    }
    const auto answer = opened.call("head", parameters, this->parts.clock.now() + callTimeout);
    if (!answer)
        return answer.error();
    auto head = version::decodeHead(compactText(field(answer.value(), "head")), opened.endpoint().toString());
    if (!head || field(answer.value(), "isDelta") != Json::Value(true))
        return head;
    if (!active || head.value().edits.front().version.generation <= active->id.generation)
        return makeError(ErrorCode::AnswerInvalid, opened.endpoint().toString(), "the delta does not follow");
    // The sender has found the active version in its list, so the edits up to it are the same.
    std::vector<version::Edit>& edits = head.value().edits;
    edits.insert(edits.begin(), active->head.edits.begin(), active->head.edits.end());
    if (edits.size() > version::Head::maxEdits)
        edits.erase(edits.begin(), edits.end() - version::Head::maxEdits);
    return head;
}

Result<PeerFetcher::Chunks> PeerFetcher::fetchChunks(PeerClient& opened, const version::Head& head)
{
    std::set<std::string> missing = hashesOf(head);
    if (const auto active = this->keeper.active()) {
        for (const std::string& hash : hashesOf(active->head))
            missing.erase(hash);
    }
    Chunks chunks;
    size_t bytes = 0;
    while (!missing.empty()) {
        Json::Value parameters(Json::objectValue);
        parameters["hashes"] = Json::Value(Json::arrayValue);
        auto next = missing.begin();
        for (size_t count = 0; count < hashesInCall && next != missing.end(); ++count)
            parameters["hashes"].append(*next++);
        const auto answer = opened.call("chunks", parameters, this->parts.clock.now() + callTimeout);
        if (!answer)
            return answer.error();
        const Json::Value& received = field(answer.value(), "chunks");
        if (!received.isObject() || received.empty())
            return makeError(ErrorCode::NotFound, opened.endpoint().toString(), "the peer has none of the chunks");
        size_t receivedBytes = 0;
        for (const std::string& hash : received.getMemberNames()) {
            if (missing.erase(hash) == 0 || !received[hash].isString())
                return makeError(ErrorCode::AnswerInvalid, opened.endpoint().toString(), "a chunk was not asked for");
            receivedBytes += (chunks[hash] = received[hash].asString()).size();
        }
        bytes += receivedBytes;
        if (bytes <= unlimitedBytes || missing.empty())
            continue;
        const Milliseconds pause(receivedBytes * 1000 / bulkBytesPerSecond);
        if (!this->waitUntil(this->parts.clock.now() + pause))
            return makeError(ErrorCode::Cancelled, opened.endpoint().toString(), "stopping");
    }
    return chunks;
}

}
