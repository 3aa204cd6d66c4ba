#pragma once

#include <wagtailrack/version/Head.h>
#include <wagtailrack/version/Tables.h>
#include <wagtailrack/version/VersionId.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailrack::version {

// One accepted version: its identity, the texts and what they mean. Immutable; shared by all requests that it serves.
struct TableVersion {
    VersionId id;
    std::string routesText;
    std::string poolsText;
    Tables tables;
    // What the store and the peers are given of this version.
    Head head;
};

using TableVersionPointer = std::shared_ptr<const TableVersion>;

// Validates both texts and joins them with their head. Fails with AnswerMismatched when the texts are not those that
// the head names, and with the errors of parseTables().
Result<TableVersionPointer> buildVersion(const Head& head, std::string routesText, std::string poolsText);

// Text of one chunk by its hash, or an error of the source.
using ChunkSource = std::function<Result<std::string>(const std::string& hash)>;

// Joins the chunks that the head names and builds the version. Chunks of `known` (may be null) are reused, so that
// the source is asked for the changed ones only. Fails with AnswerMismatched when a chunk is not what its hash says.
Result<TableVersionPointer> assembleVersion(
    const Head& head, const TableVersionPointer& known, const ChunkSource& source);

// Chunk of one of the version's tables; nothing when the version has no such chunk. The view lives as long as the
// version.
std::optional<std::string_view> findChunk(const TableVersion& version, std::string_view hash);

}
