#include <wagtailrack/version/TableVersion.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/version/TableChunks.h>

#include <map>

namespace wagtailrack::version {

namespace {

using ChunkMap = std::map<std::string, std::string_view, std::less<>>;

void addChunks(ChunkMap& chunks, std::string_view text)
{
    for (const std::string_view chunk : splitIntoChunks(text))
        chunks.emplace(contentHash(chunk), chunk);
}

Result<std::string> joinChunks(const std::vector<std::string>& hashes, const ChunkMap& known, const ChunkSource& source)
{
    std::string text;
    for (const std::string& hash : hashes) {
        if (const auto found = known.find(hash); found != known.end()) {
            text += found->second;
            continue;
        }
        const auto chunk = source(hash);
        if (!chunk)
            return chunk.error();
        if (contentHash(chunk.value()) != hash)
            return makeError(ErrorCode::AnswerMismatched, "chunk " + hash, "the content has another hash");
        text += chunk.value();
        if (text.size() > maxTableBytes)
            return makeError(ErrorCode::TooLarge, "chunk " + hash, "the chunks exceed the size of a table");
    }
    return text;
}

}

std::string digestOf(std::string_view routesText, std::string_view poolsText)
{
    // The length keeps two pairs of texts apart that have the same concatenation.
    return contentHash(std::to_string(routesText.size()) + '\n' + std::string(routesText) + std::string(poolsText));
}

Result<TableVersionPointer> buildVersion(const Head& head, std::string routesText, std::string poolsText)
{
    const std::string place = "version " + std::to_string(head.id.generation);
    if (digestOf(routesText, poolsText) != head.id.digest)
        return makeError(ErrorCode::AnswerMismatched, place, "the texts do not have the digest of the head");
    if (chunkHashes(routesText) != head.routesChunks || chunkHashes(poolsText) != head.poolsChunks)
        return makeError(ErrorCode::AnswerMismatched, place, "the texts do not have the chunks of the head");
    auto tables = parseTables(routesText, poolsText);
    if (!tables)
        return tables.error();
    return std::make_shared<const TableVersion>(
        TableVersion { head.id, std::move(routesText), std::move(poolsText), std::move(tables).value(), head });
}

Result<TableVersionPointer> assembleVersion(
    const Head& head, const TableVersionPointer& known, const ChunkSource& source)
{
    ChunkMap chunks;
    if (known) {
        addChunks(chunks, known->routesText);
        addChunks(chunks, known->poolsText);
    }
    auto routes = joinChunks(head.routesChunks, chunks, source);
    if (!routes)
        return routes.error();
    auto pools = joinChunks(head.poolsChunks, chunks, source);
    if (!pools)
        return pools.error();
    return buildVersion(head, std::move(routes).value(), std::move(pools).value());
}

std::optional<std::string_view> findChunk(const TableVersion& version, std::string_view hash)
{
    ChunkMap chunks;
    addChunks(chunks, version.routesText);
    addChunks(chunks, version.poolsText);
    const auto found = chunks.find(hash);
    return found == chunks.end() ? std::nullopt : std::optional(found->second);
}

}
