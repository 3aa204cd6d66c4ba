#include <wagtailrack/version/BlockTable.h>

namespace wagtailrack::version {

// Names chunk: magic, number of entries, number of homes, then length and text of each name.
// Entry chunk: magic, number of entries, then for each its distance from the one before (the first: its address) and
// its home. Numbers are base-128 with the low bits first, except the home, which is one byte.
static constexpr std::string_view namesMagic = "WTBN1";
static constexpr std::string_view entriesMagic = "WTBE1";

// A chunk ends at an entry whose hash is 0 modulo this number. About 3 bytes an entry make 12 KB, so an edit of one or
// two chunks fits into the 52 KB that an instance may receive in 13 s.
static constexpr uint32_t averageChunkEntries = 4096;
// A longer run is cut at this number, so that the two chunks that an edit can change stay below 52 KB together.
static constexpr size_t maxChunkEntries = size_t { 2 } * averageChunkEntries;
static constexpr size_t maxNameBytes = 255;

// Mixes all bits, since blocks start at multiples of large powers of two.
static bool isChunkEnd(uint32_t start) noexcept
{
    uint32_t hash = (start ^ (start >> 16)) * 0x85ebca6bU;
    hash = (hash ^ (hash >> 13)) * 0xc2b2ae35U;
    return (hash ^ (hash >> 16)) % averageChunkEntries == 0;
}

static void writeNumber(std::string& text, uint32_t number)
{
    for (; number >= 0x80; number >>= 7)
        text += static_cast<char>(number | 0x80);
    text += static_cast<char>(number);
}

namespace {

// Reads the parts of one chunk; after the first fault all reads give 0 and isGood() is false.
class ChunkReader {
public:
    explicit ChunkReader(std::string_view chunk)
        : rest(chunk)
    {
    }

    bool isGood() const noexcept { return this->good; }
    bool isAtEnd() const noexcept { return this->rest.empty(); }

    std::string_view bytes(size_t count)
    {
        if (this->rest.size() < count) {
            this->good = false;
            this->rest = {};
            return {};
        }
        const std::string_view part = this->rest.substr(0, count);
        this->rest.remove_prefix(count);
        return part;
    }

    uint8_t byte()
    {
        const std::string_view part = this->bytes(1);
        return part.empty() ? 0 : static_cast<uint8_t>(part[0]);
    }

    uint32_t number()
    {
        uint64_t value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            const uint8_t part = this->byte();
            value |= static_cast<uint64_t>(part & 0x7f) << shift;
            if (part & 0x80)
                continue;
            // A last byte of 0 is a longer form of the same number, which would give one table two encodings.
            if (value > UINT32_MAX || (part == 0 && shift > 0))
                break;
            return static_cast<uint32_t>(value);
        }
        this->good = false;
        return 0;
    }

private:
    std::string_view rest;
    bool good = true;
};

}

static std::string placeOf(size_t chunk) { return "client block chunk " + std::to_string(chunk); }

std::vector<std::string> BlockTable::encode() const
{
    std::string names(namesMagic);
    writeNumber(names, static_cast<uint32_t>(this->starts.size()));
    writeNumber(names, static_cast<uint32_t>(this->homes.size()));
    for (const std::string& home : this->homes) {
        writeNumber(names, static_cast<uint32_t>(home.size()));
        names += home;
    }
    std::vector<std::string> chunks { std::move(names) };
    std::string entries;
    uint32_t count = 0;
    uint32_t previous = 0;
    const auto finishChunk = [&] {
        std::string chunk(entriesMagic);
        writeNumber(chunk, count);
        chunk += entries;
        chunks.push_back(std::move(chunk));
        entries.clear();
        count = 0;
        previous = 0;
    };
    for (size_t position = 0; position < this->starts.size(); ++position) {
        const uint32_t start = this->starts[position];
        writeNumber(entries, start - previous);
        entries += static_cast<char>(this->homeOfStart[position]);
        previous = start;
        if (++count == maxChunkEntries || isChunkEnd(start))
            finishChunk();
    }
    if (count > 0)
        finishChunk();
    return chunks;
}

Result<BlockTable> BlockTable::decode(const std::vector<std::string>& chunks)
{
    if (chunks.empty())
        return makeError(ErrorCode::MissingKey, placeOf(0), "no names chunk");
    for (size_t index = 0; index < chunks.size(); ++index) {
        if (chunks[index].size() > maxChunkBytes)
            return makeError(ErrorCode::TooLarge, placeOf(index), "a chunk may have 1,000,000 bytes");
    }
    ChunkReader names(chunks[0]);
    const bool isNames = names.bytes(namesMagic.size()) == namesMagic;
    const size_t entryCount = names.number();
    const size_t homeCount = names.number();
    if (!isNames || !names.isGood())
        return makeError(ErrorCode::SyntaxError, placeOf(0), "not a names chunk");
    if (entryCount > maxEntries || homeCount > noHome)
        return makeError(ErrorCode::TooLarge, placeOf(0), "too many entries or homes");
    std::vector<std::string> homes;
    for (size_t home = 0; home < homeCount; ++home) {
        const size_t length = names.number();
        if (length == 0 || length > maxNameBytes)
            return makeError(ErrorCode::SyntaxError, placeOf(0), "length of a name");
        homes.emplace_back(names.bytes(length));
    }
    if (!names.isGood() || !names.isAtEnd())
        return makeError(ErrorCode::SyntaxError, placeOf(0), "damaged names chunk");
    auto created = Builder::create(std::move(homes));
    if (!created)
        return created.error();
    Builder builder = std::move(created).value();
    builder.reserve(entryCount);
    size_t read = 0;
    for (size_t index = 1; index < chunks.size(); ++index) {
        ChunkReader reader(chunks[index]);
        const bool isEntries = reader.bytes(entriesMagic.size()) == entriesMagic;
        const size_t count = reader.number();
        if (!isEntries || !reader.isGood() || count == 0 || count > maxChunkEntries)
            return makeError(ErrorCode::SyntaxError, placeOf(index), "not a chunk of entries");
        uint64_t start = 0;
        for (size_t entry = 0; entry < count; ++entry) {
            start += reader.number();
            const uint8_t home = reader.byte();
            if (!reader.isGood() || start > UINT32_MAX)
                return makeError(ErrorCode::SyntaxError, placeOf(index), "entry " + std::to_string(entry));
            if (auto status = builder.add({ static_cast<uint32_t>(start), home }); !status)
                return makeError(status.error().code, placeOf(index), status.error().detail);
            const bool isLast = entry + 1 == count;
            if (!isLast && isChunkEnd(static_cast<uint32_t>(start)))
                return makeError(ErrorCode::SyntaxError, placeOf(index), "chunk not cut at its end");
        }
        if (!reader.isAtEnd())
            return makeError(ErrorCode::SyntaxError, placeOf(index), "bytes behind the last entry");
        read += count;
        const bool isLastChunk = index + 1 == chunks.size();
        if (!isLastChunk && count < maxChunkEntries && !isChunkEnd(static_cast<uint32_t>(start)))
            return makeError(ErrorCode::SyntaxError, placeOf(index), "chunk cut at a wrong place");
    }
    if (read < entryCount)
        return makeError(ErrorCode::MissingKey, placeOf(chunks.size()), "chunks are missing");
    if (read > entryCount)
        return makeError(ErrorCode::SyntaxError, placeOf(0), "wrong number of entries");
    return std::move(builder).build();
}

}
