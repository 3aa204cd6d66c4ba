#pragma once

#include <wagtailrack/base/Error.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailrack {

// An IPv4 address and a TCP port.
struct Endpoint {
    std::string host;
    uint16_t port = 0;

    // Reads "127.0.0.1:8080". Fails with AddressInvalid; names are not resolved, instances talk by IP numbers.
    static Result<Endpoint> parse(std::string_view text);

    std::string toString() const;

    // clang-tidy takes the rewritten comparison with 0 of a defaulted <=> for a null pointer.
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default; // NOLINT(modernize-use-nullptr)
};

// Reads a dotted IPv4 address into host byte order. Fails with AddressInvalid.
Result<uint32_t> parseIPv4(std::string_view text);

}
