#include <wagtailrack/base/Random.h>

#include <cassert>
#include <random>

namespace wagtailrack {

static std::mt19937_64& generator()
{
    thread_local std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }();
    return engine;
}

uint64_t randomNumber() noexcept { return generator()(); }

uint64_t randomBelow(uint64_t bound) noexcept
{
    assert(bound > 0);
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(generator());
}

void seedRandom(uint64_t seed) { generator().seed(seed); }

std::string randomHex(size_t bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes * 2);
    for (size_t index = 0; index < bytes; ++index) {
        const uint64_t value = randomNumber();
        text += digits[value & 15];
        text += digits[(value >> 4) & 15];
    }
    return text;
}

}
