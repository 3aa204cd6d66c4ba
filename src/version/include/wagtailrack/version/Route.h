#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailrack::version {

// How requests of a route are treated when there is not room for all of them.
enum class RequestClass {
    Interactive,
    Order,
    Deferrable,
};

// Whether a request may be sent again after an unclear end.
enum class Idempotency {
    Idempotent,
    NonIdempotent,
};

// One record of the routes table.
struct Route {
    std::string name;
    std::string pathPrefix;
    std::vector<std::string> methods;
    std::string pool;
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::Idempotent;
    // Longest time from arrival to answer, in milliseconds; callers may ask for less.
    int64_t deadlineMs = 1000;
    int64_t maxRequestBytes = 65536;

    friend bool operator==(const Route&, const Route&) = default;
};

// Callers with addresses in [first, last] (host byte order) are at home in a failure domain.
struct ClientBlock {
    uint32_t first = 0;
    uint32_t last = 0;
    std::string failureDomain;

    friend bool operator==(const ClientBlock&, const ClientBlock&) = default;
};

const char* toString(RequestClass requestClass) noexcept;

}
