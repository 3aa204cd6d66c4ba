#include <wagtailrack/edge/Compression.h>

#include <zlib.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace wagtailrack::edge {

namespace {

constexpr size_t chunkBytes = 65'536;

// Instances have a tenth of a core, and records of one kind compress well at the lowest level already.
constexpr int compressionLevel = Z_BEST_SPEED;

}

std::string compress(std::string_view text)
{
    std::string bytes(compressBound(text.size()), '\0');
    uLongf size = bytes.size();
    const int result = compress2(reinterpret_cast<Bytef*>(bytes.data()), &size,
        reinterpret_cast<const Bytef*>(text.data()), text.size(), compressionLevel);
    if (result != Z_OK)
        throw std::runtime_error("zlib: compress2 failed with " + std::to_string(result));
    bytes.resize(size);
    // The bound is several times the size, and callers keep the result.
    bytes.shrink_to_fit();
    return bytes;
}

Result<std::string> decompress(std::string_view bytes, size_t maximumBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return makeError(ErrorCode::AnswerInvalid, "zlib", "inflateInit failed");
    // zlib does not write to its input.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, chunkBytes> chunk {};
    int result = Z_OK;
    while (result == Z_OK && text.size() <= maximumBytes) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk.size();
        result = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (text.size() > maximumBytes)
        return makeError(ErrorCode::AnswerInvalid, "zlib", "more than " + std::to_string(maximumBytes) + " bytes");
    if (result != Z_STREAM_END)
        return makeError(ErrorCode::AnswerInvalid, "zlib", "damaged or truncated data");
    return text;
}

}
