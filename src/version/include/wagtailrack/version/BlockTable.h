#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/version/Route.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// Client blocks in a sorted flat array: 4 bytes for the first address and 1 byte for the home of each, plus an index
// of 256 KB over the upper 16 bits of an address. Made for millions of blocks; homes are failure domains or sites, at
// most 255. Immutable; may be called by any thread.
//
//     auto table = BlockTable::decode(chunks);
//     if (!table)
//         return table.error();
//     const std::string_view home = table.value().homeOf(address);
class BlockTable {
public:
    static constexpr uint8_t noHome = 255;
    static constexpr size_t maxChunkBytes = 1'000'000;
    // Most entries of one table; bounds the memory that a damaged chunk can claim.
    static constexpr size_t maxEntries = 16'000'000;

    // Addresses from `first` up to the next entry's have one home; `noHome` for addresses in no block.
    struct Entry {
        uint32_t first = 0;
        uint8_t home = noHome;

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    // Collects entries in rising order of their addresses.
    class Builder {
    public:
        // Fails with TooLarge when there are more than 255 homes, with DuplicateName when one occurs twice.
        static Result<Builder> create(std::vector<std::string> homes);
        void reserve(size_t entries);
        // Fails with Overlap when the address is not above that of the entry before, with UnknownName when `home` is
        // neither an index of the homes nor `noHome`, with TooLarge above `maxEntries`.
        Status add(Entry entry);
        BlockTable build() &&;

    private:
        std::vector<std::string> homes;
        std::vector<uint32_t> starts;
        std::vector<uint8_t> homeOfStart;
    };

    // Takes sorted blocks without overlap, as in Tables; space between them gets entries without a home. Fails like
    // Builder.
    static Result<BlockTable> fromBlocks(const std::vector<ClientBlock>& blocks);

    // Name of the home of an address in host byte order; empty without one.
    std::string_view homeOf(uint32_t address) const noexcept;
    // The entry that contains an address.
    Entry find(uint32_t address) const noexcept;

    size_t size() const noexcept { return this->starts.size(); }
    size_t memoryBytes() const noexcept;

    // Compact binary form: one chunk with the names of the homes and the number of entries, then chunks of entries.
    // The entries are cut at addresses chosen by their hash, so that an edit changes one or two small chunks.
    std::vector<std::string> encode() const;

    // Reads what encode() wrote, chunks in the same order. Everything else fails: SyntaxError for a chunk that is
    // damaged, truncated or not in its shortest form, Overlap for entries that are not in rising order, UnknownName
    // for a home without a name, TooLarge, MissingKey for missing chunks.
    static Result<BlockTable> decode(const std::vector<std::string>& chunks);

    friend bool operator==(const BlockTable&, const BlockTable&) = default;

private:
    BlockTable() = default;

    void buildIndex();

    std::vector<std::string> homes;
    std::vector<uint32_t> starts;
    std::vector<uint8_t> homeOfStart;
    // For each value of the upper 16 bits: position of the first entry at or above it; one more at the end.
    std::vector<uint32_t> upperIndex;
};

}
