#pragma once

#include <cmath>
#include <cstdint>

namespace wagtailrack::process {

// Mixes two hashes into one; the finalizer of SplitMix64 over both.
inline uint64_t mixHashes(uint64_t first, uint64_t second) noexcept
{
    uint64_t value = first ^ (second + 0x9e3779b97f4a7c15 + (first << 6) + (first >> 2));
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Score of a weighted rendezvous hash: the candidate with the highest score wins, each in proportion to its weight.
inline double rendezvousScore(uint64_t hash, double weight) noexcept
{
    // 53 bits, moved by half a step so that the logarithm is never of 0 or 1.
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
    return weight / -std::log(uniform);
}

}
