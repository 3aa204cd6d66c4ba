#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailrack {

// 64-bit xxHash; stable over processes and versions, so that instances with the same input decide alike.
uint64_t hash64(std::string_view text, uint64_t seed = 0) noexcept;

// 128-bit xxHash as 32 hexadecimal digits; names content in the store.
std::string contentHash(std::string_view content);

}
