#include <wagtailrack/version/BlockTable.h>

#include <algorithm>
#include <map>
#include <set>

namespace wagtailrack::version {

static constexpr size_t upperValues = 1 << 16;

Result<BlockTable::Builder> BlockTable::Builder::create(std::vector<std::string> homes)
{
    if (homes.size() > noHome)
        return makeError(ErrorCode::TooLarge, "client blocks", "more than 255 homes");
    if (std::set<std::string_view>(homes.begin(), homes.end()).size() != homes.size())
        return makeError(ErrorCode::DuplicateName, "client blocks", "a home occurs twice");
    Builder builder;
    builder.homes = std::move(homes);
    return builder;
}

void BlockTable::Builder::reserve(size_t entries)
{
    this->starts.reserve(std::min(entries, maxEntries));
    this->homeOfStart.reserve(std::min(entries, maxEntries));
}

Status BlockTable::Builder::add(Entry entry)
{
    if (!this->starts.empty() && entry.first <= this->starts.back())
        return makeError(ErrorCode::Overlap, "client blocks", "entry " + std::to_string(this->starts.size()));
    if (entry.home != noHome && entry.home >= this->homes.size())
        return makeError(ErrorCode::UnknownName, "client blocks", "home " + std::to_string(entry.home));
    if (this->starts.size() >= maxEntries)
        return makeError(ErrorCode::TooLarge, "client blocks", "too many entries");
    this->starts.push_back(entry.first);
    this->homeOfStart.push_back(entry.home);
    return success();
}

BlockTable BlockTable::Builder::build() &&
{
    BlockTable table;
    table.homes = std::move(this->homes);
    table.starts = std::move(this->starts);
    table.homeOfStart = std::move(this->homeOfStart);
    table.starts.shrink_to_fit();
    table.homeOfStart.shrink_to_fit();
    table.buildIndex();
    return table;
}

Result<BlockTable> BlockTable::fromBlocks(const std::vector<ClientBlock>& blocks)
{
    std::map<std::string, uint8_t> indexOfHome;
    for (const ClientBlock& block : blocks)
        indexOfHome.try_emplace(block.failureDomain, 0);
    std::vector<std::string> homes;
    for (auto& [name, index] : indexOfHome) {
        index = static_cast<uint8_t>(homes.size());
        homes.push_back(name);
    }
    auto created = Builder::create(std::move(homes));
    if (!created)
        return created.error();
    Builder builder = std::move(created).value();
    builder.reserve(blocks.size());
    // First address behind the block before; 2^32 at the end of the address space.
    uint64_t covered = 0;
    for (const ClientBlock& block : blocks) {
        if (block.first < covered || block.last < block.first)
            return makeError(ErrorCode::Overlap, "client blocks", "blocks overlap or are not sorted");
        if (block.first > covered && covered > 0) {
            if (auto status = builder.add({ static_cast<uint32_t>(covered), noHome }); !status)
                return status.error();
        }
        if (auto status = builder.add({ block.first, indexOfHome[block.failureDomain] }); !status)
            return status.error();
        covered = uint64_t { block.last } + 1;
    }
    if (covered > 0 && covered <= UINT32_MAX) {
        if (auto status = builder.add({ static_cast<uint32_t>(covered), noHome }); !status)
            return status.error();
    }
    return std::move(builder).build();
}

void BlockTable::buildIndex()
{
    this->upperIndex.assign(upperValues + 1, 0);
    for (const uint32_t start : this->starts)
        ++this->upperIndex[(start >> 16) + 1];
    for (size_t value = 1; value <= upperValues; ++value)
        this->upperIndex[value] += this->upperIndex[value - 1];
}

BlockTable::Entry BlockTable::find(uint32_t address) const noexcept
{
    const size_t upper = address >> 16;
    const auto begin = this->starts.begin();
    const auto after = std::upper_bound(begin + this->upperIndex[upper], begin + this->upperIndex[upper + 1], address);
    if (after == begin)
        return { 0, noHome };
    const auto position = static_cast<size_t>(after - begin) - 1;
    return { this->starts[position], this->homeOfStart[position] };
}

std::string_view BlockTable::homeOf(uint32_t address) const noexcept
{
    const Entry entry = this->find(address);
    return entry.home == noHome ? std::string_view() : std::string_view(this->homes[entry.home]);
}

size_t BlockTable::memoryBytes() const noexcept
{
    return this->starts.capacity() * sizeof(uint32_t) + this->homeOfStart.capacity()
        + this->upperIndex.capacity() * sizeof(uint32_t);
}

}
