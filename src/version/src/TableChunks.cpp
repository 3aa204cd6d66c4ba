#include <wagtailrack/version/TableChunks.h>

#include <wagtailrack/base/Hash.h>

#include <limits>

namespace wagtailrack::version {

namespace {

// Mean distance of the cuts chosen by content. Small against maxChunkBytes, so that few cuts are forced by length: a
// forced cut moves with every edit before it.
constexpr uint64_t meanChunkBytes = 3072;

// Start of the next line that opens a record, or the end of the text.
size_t nextRecordStart(std::string_view text, size_t from) noexcept
{
    const size_t found = text.find("\n[[", from);
    return found == std::string_view::npos ? text.size() : found + 1;
}

// The chance grows with the record's length, so that the mean length of a chunk does not depend on the size of the
// records.
bool cutsBefore(std::string_view record) noexcept
{
    constexpr uint64_t perByte = std::numeric_limits<uint64_t>::max() / meanChunkBytes;
    if (record.size() >= meanChunkBytes)
        return true;
    return hash64(record) < perByte * record.size();
}

}

std::vector<std::string_view> splitIntoChunks(std::string_view text)
{
    std::vector<std::string_view> chunks;
    size_t chunkStart = 0;
    size_t recordStart = 0;
    while (recordStart < text.size()) {
        const size_t recordEnd = nextRecordStart(text, recordStart);
        const std::string_view record = text.substr(recordStart, recordEnd - recordStart);
        const bool isTooLong = recordEnd - chunkStart > maxChunkBytes;
        if (recordStart > chunkStart && (isTooLong || cutsBefore(record))) {
            chunks.push_back(text.substr(chunkStart, recordStart - chunkStart));
            chunkStart = recordStart;
        }
        recordStart = recordEnd;
    }
    if (chunkStart < text.size())
        chunks.push_back(text.substr(chunkStart));
    return chunks;
}

std::vector<std::string> chunkHashes(std::string_view text)
{
    std::vector<std::string> hashes;
    for (const std::string_view chunk : splitIntoChunks(text))
        hashes.push_back(contentHash(chunk));
    return hashes;
}

}
