#include <wagtailrack/edge/Compression.h>

#include <CppUTest/TestHarness.h>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(Compression) {};

// Guards against text that differs after it has been sent to a peer, for sizes around the inflater's chunks.
TEST(Compression, textSurvivesCompression)
{
    for (const size_t size : { 0UL, 1UL, 65'535UL, 65'536UL, 65'537UL, 1'048'576UL }) {
        std::string text;
        for (size_t index = 0; text.size() < size; ++index)
            text += "{\"name\":\"route-" + std::to_string(index * 7919) + "\",\"prefix\":\"/p" + std::to_string(index)
                + "/\"}";
        text.resize(size);
        const Result<std::string> restored = decompress(compress(text), size);
        CHECK_TRUE(restored.has_value());
        CHECK_TRUE(restored.value() == text);
    }
}

// Guards against a small message of a faulty peer that fills the memory when it is decompressed.
TEST(Compression, textAboveTheLimitIsRefused)
{
    std::string text;
    text.resize(10'000'000, 'a');
    const std::string bytes = compress(text);
    CHECK_TRUE(bytes.size() < 100'000);
    CHECK_TRUE(decompress(bytes, 10'000'000).has_value());
    CHECK_TRUE(decompress(bytes, 9'999'999).has_error());
}

// Guards against damaged or truncated messages that are taken for whole ones, or that never end.
TEST(Compression, damagedBytesAreRefused)
{
    const std::string bytes = compress("a configuration of some length, a configuration of some length");
    for (size_t size = 0; size < bytes.size(); ++size)
        CHECK_TRUE(decompress(bytes.substr(0, size), 1000).has_error());
    CHECK_TRUE(decompress("not compressed", 1000).has_error());
    std::string damaged = bytes;
    damaged.back() = static_cast<char>(damaged.back() ^ 1);
    CHECK_TRUE(decompress(damaged, 1000).has_error());
}

// Guards against a response to peers that keeps the memory of its buffer, which has the size of the text.
TEST(Compression, resultHasNoSpareMemory)
{
    const std::string bytes = compress(std::string(1'000'000, 'a'));
    CHECK_COMPARE(bytes.capacity() - bytes.size(), <, 64);
}
