#include <wagtailrack/version/Tables.h>

#include "checkRelations.h"
#include "recordReaders.h"

#include <wagtailrack/version/TomlReader.h>

#include <algorithm>

namespace wagtailrack::version {

namespace {

Result<toml::value> parseTable(std::string_view text, const std::string& file)
{
    if (text.size() > maxTableBytes)
        return makeError(ErrorCode::TooLarge, file,
            std::to_string(text.size()) + " bytes; a table may have " + std::to_string(maxTableBytes));
    return parseToml(text, file);
}

template <typename Record, typename Read>
Status readAll(
    TomlReader& top, const std::string& key, const std::string& file, Read read, std::vector<Record>& records)
{
    for (const toml::value& value : top.optionalTables(key)) {
        auto record = read(value, file);
        if (!record)
            return record.error();
        records.push_back(std::move(record).value());
    }
    return success();
}

Status readRoutes(const toml::value& document, const std::string& file, Tables& tables)
{
    TomlReader top(document, file, "");
    if (auto status = readAll(top, "route", file, readRoute, tables.routes); !status)
        return status;
    if (auto status = readAll(top, "client_block", file, readClientBlock, tables.clientBlocks); !status)
        return status;
    return top.finish();
}

Status readPools(const toml::value& document, const std::string& file, Tables& tables)
{
    TomlReader top(document, file, "");
    if (auto status = readAll(top, "failure_domain", file, readFailureDomain, tables.failureDomains); !status)
        return status;
    if (auto status = readAll(top, "link", file, readLink, tables.links); !status)
        return status;
    if (auto status = readAll(top, "pool", file, readPool, tables.pools); !status)
        return status;
    if (auto status = readAll(top, "shift", file, readShift, tables.shifts); !status)
        return status;
    return top.finish();
}

}

Result<Tables> parseTables(std::string_view routesText, std::string_view poolsText, const TableNames& names)
{
    const auto routes = parseTable(routesText, names.routes);
    if (!routes)
        return routes.error();
    const auto pools = parseTable(poolsText, names.pools);
    if (!pools)
        return pools.error();
    Tables tables;
    if (auto status = readRoutes(routes.value(), names.routes, tables); !status)
        return status.error();
    if (auto status = readPools(pools.value(), names.pools, tables); !status)
        return status.error();
    if (auto status = checkRelations(tables, { routes.value(), pools.value(), names }); !status)
        return status.error();
    std::sort(tables.clientBlocks.begin(), tables.clientBlocks.end(),
        [](const ClientBlock& left, const ClientBlock& right) { return left.first < right.first; });
    return tables;
}

}
