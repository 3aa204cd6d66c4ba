#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// Chunks are at most this long unless a single record is longer.
inline constexpr size_t maxChunkBytes = 8192;

// Cuts a table's text at the starts of records, at places that depend only on the records beside them, so that an
// edit changes one or two chunks. Joining the chunks gives the text back byte for byte. The cut is part of the
// format of the store and of the peers' messages. The views point into `text`; an empty text has no chunks.
std::vector<std::string_view> splitIntoChunks(std::string_view text);

// Content hash of each chunk of the text.
std::vector<std::string> chunkHashes(std::string_view text);

}
