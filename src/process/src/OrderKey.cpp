#include "OrderKey.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>
#include <cstdlib>
#include <vector>

namespace wagtailrack::process {

namespace {

constexpr std::string_view keyPrefix = "wt1";
constexpr size_t partCount = 6;
constexpr size_t maxKeyLength = 300;

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const size_t dot = text.find('.');
        parts.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos)
            return parts;
        text.remove_prefix(dot + 1);
    }
}

}

std::optional<OrderKey> OrderKey::parse(std::string_view text)
{
    if (text.size() > maxKeyLength)
        return std::nullopt;
    const auto parts = split(text);
    if (parts.size() != partCount || parts[0] != keyPrefix)
        return std::nullopt;
    long long expiryMs = 0;
    const auto [end, status] = std::from_chars(parts[3].data(), parts[3].data() + parts[3].size(), expiryMs);
    if (status != std::errc() || end != parts[3].data() + parts[3].size())
        return std::nullopt;
    constexpr long long maxExpiryMs = 1LL << 50;
    if (expiryMs < 0 || expiryMs > maxExpiryMs)
        return std::nullopt;
    return OrderKey { std::string(parts[1]), std::string(parts[2]), SteadyTime(Milliseconds(expiryMs)),
        std::string(parts[4]), std::string(parts[5]) };
}

std::string OrderKey::signedPart() const
{
    const auto expiryMs = std::chrono::duration_cast<Milliseconds>(this->expiry.time_since_epoch()).count();
    return std::string(keyPrefix) + "." + this->instance + "." + this->processId + "." + std::to_string(expiryMs) + "."
        + this->nonce;
}

std::string OrderKey::toString() const { return this->signedPart() + "." + this->mac; }

OrderKeySecret makeOrderKeySecret()
{
    OrderKeySecret secret {};
    // Without a source of randomness no key could be trusted, and nothing could be served safely.
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
        std::abort();
    return secret;
}

std::string computeMac(const OrderKeySecret& secret, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest, &length);
    static constexpr char digits[] = "0123456789abcdef";
    std::string mac;
    for (unsigned index = 0; index < length; ++index) {
        mac += digits[digest[index] >> 4];
        mac += digits[digest[index] & 15];
    }
    return mac;
}

}
