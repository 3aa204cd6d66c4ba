#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace wagtailrack {

// Random numbers from a generator per thread, seeded from the operating system.
uint64_t randomNumber() noexcept;

// A uniform number in [0, bound). `bound` must be above zero.
uint64_t randomBelow(uint64_t bound) noexcept;

// Makes this thread's numbers repeatable, for tests.
void seedRandom(uint64_t seed);

// `bytes` random bytes as lower-case hexadecimal digits.
std::string randomHex(size_t bytes);

}
