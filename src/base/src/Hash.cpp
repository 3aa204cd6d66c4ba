#include <wagtailrack/base/Hash.h>

#include <xxhash.h>

#include <cstdio>

namespace wagtailrack {

uint64_t hash64(std::string_view text, uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string contentHash(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return text;
}

}
