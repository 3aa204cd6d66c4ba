#pragma once

#include <wagtailrack/base/Error.h>

#include <json/value.h>

#include <string>
#include <string_view>

namespace wagtailrack::version {

// jsoncpp recurses for each level.
inline constexpr int defaultJsonDepth = 64;

// Reads a JSON text from outside the process. Fails with SyntaxError, also for nesting so deep that jsoncpp would
// throw.
Result<Json::Value> parseJson(std::string_view text, const std::string& place, int maxDepth = defaultJsonDepth);

}
