#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/version/Pool.h>
#include <wagtailrack/version/Route.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// The operators' two tables, parsed, validated and joined. Immutable once shared: instances hold it as
// std::shared_ptr<const Tables>, a request keeps the pointer that it started with.
//
//     auto tables = parseTables(routesText, poolsText);
//     if (!tables)
//         return tables.error();
//     const Route* route = tables.value().findRoute("GET", "/prices/17");
struct Tables {
    std::vector<Route> routes;
    // Sorted by address, without overlap.
    std::vector<ClientBlock> clientBlocks;
    std::vector<Pool> pools;
    std::vector<FailureDomain> failureDomains;
    std::vector<Link> links;
    std::vector<Shift> shifts;

    // Route with the longest prefix of `path` among those that allow `method`; null without one.
    const Route* findRoute(std::string_view method, std::string_view path) const noexcept;
    const Route* findRouteByName(std::string_view name) const noexcept;
    const Pool* findPool(std::string_view name) const noexcept;
    const FailureDomain* findFailureDomain(std::string_view name) const noexcept;
    // Region of a failure domain; empty when it is not in the tables.
    std::string_view regionOf(std::string_view failureDomain) const noexcept;
    // Home failure domain of an address in host byte order; empty when no block has it.
    std::string_view homeOf(uint32_t address) const noexcept;
    // One-way latency between two regions in milliseconds; 0 inside a region or without a link record.
    int64_t latencyMsBetween(std::string_view firstRegion, std::string_view secondRegion) const noexcept;

    friend bool operator==(const Tables&, const Tables&) = default;
};

// Longest text of one table; also the longest value of the store.
inline constexpr size_t maxTableBytes = 1'000'000;

// Names of the two texts in error places.
struct TableNames {
    std::string routes = "routes.toml";
    std::string pools = "pools.toml";
};

// Parses and validates both tables as a whole. This is the only validation: `check`, `apply` and every instance
// use it. Fails with the table, line and key of the first fault.
Result<Tables> parseTables(std::string_view routesText, std::string_view poolsText, const TableNames& names = {});

}
