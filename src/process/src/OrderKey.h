#pragma once

#include <wagtailrack/base/Clock.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailrack::process {

// The parts of an order key. `expiry` counts on the steady clock of the owner, which alone reads it: a step of the
// wall clock must not make an expired key valid again.
struct OrderKey {
    std::string instance;
    std::string processId;
    SteadyTime expiry;
    std::string nonce;
    std::string mac;

    // Nothing when the text does not have the form of an order key.
    static std::optional<OrderKey> parse(std::string_view text);
    std::string toString() const;

    // The text that the MAC covers.
    std::string signedPart() const;

    friend bool operator==(const OrderKey&, const OrderKey&) = default;
};

// Secret of one process for the MAC of its keys.
using OrderKeySecret = std::array<unsigned char, 32>;

OrderKeySecret makeOrderKeySecret();
// HMAC-SHA256 of `text` as hexadecimal digits.
std::string computeMac(const OrderKeySecret& secret, std::string_view text);

}
