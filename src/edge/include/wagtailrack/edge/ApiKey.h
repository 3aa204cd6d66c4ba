#pragma once

#include <wagtailrack/edge/Http.h>

#include <string_view>

namespace wagtailrack::edge {

// Why a request has no valid API key.
enum class KeyProblem {
    Missing,
    // Several Authorization headers, another scheme than Bearer, or no key after it.
    Malformed,
    Unknown,
};

const char* toString(KeyProblem problem) noexcept;

// Returns the API key of a request, from the header `Authorization: Bearer KEY` (RFC 6750, 2.1). Sets `problem` and
// returns an empty text if there is none. The text refers to `fields`.
std::string_view bearerKey(const http::fields& fields, KeyProblem& problem);

}
