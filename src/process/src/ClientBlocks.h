#pragma once

#include <wagtailrack/version/Tables.h>

#include <cstdint>
#include <string_view>

namespace wagtailrack::process {

// What the client block of an address is at home in, and the number that its hashes start from.
struct BlockOfAddress {
    uint32_t first = 0;
    std::string_view home;
    uint64_t hash = 0;
};

// The block of an address. An address outside all blocks has no home and counts as part of a /24.
BlockOfAddress blockOf(const version::Tables& tables, uint32_t address) noexcept;

}
