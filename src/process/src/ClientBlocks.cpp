#include "ClientBlocks.h"

#include "Rendezvous.h"

#include <algorithm>

namespace wagtailrack::process {

BlockOfAddress blockOf(const version::Tables& tables, uint32_t address) noexcept
{
    BlockOfAddress block { address & 0xffffff00U, {}, 0 };
    const auto after = std::upper_bound(tables.clientBlocks.begin(), tables.clientBlocks.end(), address,
        [](uint32_t value, const version::ClientBlock& candidate) { return value < candidate.first; });
    if (after != tables.clientBlocks.begin() && address <= (after - 1)->last) {
        block.first = (after - 1)->first;
        block.home = (after - 1)->failureDomain;
    }
    block.hash = mixHashes(block.first, 0);
    return block;
}

}
