#pragma once

#include <wagtailrack/base/Error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailrack::edge {

// Compresses `text` into the zlib format, the content coding "deflate" of HTTP.
std::string compress(std::string_view text);

// Reverses compress(). Fails with AnswerInvalid if `bytes` are damaged or truncated, or if the result would have more
// than `maximumBytes`.
Result<std::string> decompress(std::string_view bytes, size_t maximumBytes);

}
