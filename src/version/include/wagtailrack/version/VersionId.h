#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailrack::version {

// Identifies one accepted state of both tables. Generations only grow; the digest tells two states apart that claim
// the same generation. Generation 0 means that there is no version yet.
struct VersionId {
    uint64_t generation = 0;
    std::string digest;

    friend auto operator<=>(const VersionId&, const VersionId&) = default;
};

// Digest of both tables as used in VersionId.
std::string digestOf(std::string_view routesText, std::string_view poolsText);

}
