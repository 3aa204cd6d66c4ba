#include "checkRelations.h"

#include <wagtailrack/version/TomlReader.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace wagtailrack::version {

namespace {

// The records of one kind, for error places.
class RecordPlaces {
public:
    RecordPlaces(const toml::value& parent, std::string fileName, const std::string& key, const std::string& record)
        : file(std::move(fileName))
        , recordName(record)
    {
        if (parent.is_table() && parent.as_table().contains(key))
            this->records = &parent.as_table().at(key).as_array();
    }

    Error error(size_t index, const std::string& key, ErrorCode code, const std::string& detail) const
    {
        return makeError(code, TomlReader(this->at(index), this->file, this->recordName).placeOf(key), detail);
    }

    const toml::value& at(size_t index) const { return this->records->at(index); }

private:
    std::string file;
    std::string recordName;
    const toml::array* records = nullptr;
};

template <typename Records> Status checkNames(const Records& records, const RecordPlaces& places)
{
    std::set<std::string_view> names;
    for (size_t index = 0; index < records.size(); ++index) {
        if (!names.insert(records[index].name).second)
            return places.error(index, "name", ErrorCode::DuplicateName, records[index].name + " is given twice");
    }
    return success();
}

Status checkRoutes(const Tables& tables, const RecordPlaces& places)
{
    if (auto status = checkNames(tables.routes, places); !status)
        return status;
    std::map<std::pair<std::string, std::string>, const Route*> matches;
    for (size_t index = 0; index < tables.routes.size(); ++index) {
        const Route& route = tables.routes[index];
        if (!tables.findPool(route.pool))
            return places.error(index, "pool", ErrorCode::UnknownName, "no pool " + route.pool);
        for (const std::string& method : route.methods) {
            const auto [other, isNew] = matches.emplace(std::pair(route.pathPrefix, method), &route);
            if (!isNew)
                return places.error(index, "path_prefix", ErrorCode::Overlap,
                    "route " + other->second->name + " has " + method + " " + route.pathPrefix + " too");
        }
    }
    return success();
}

Status checkClientBlocks(const Tables& tables, const RecordPlaces& places)
{
    const std::vector<ClientBlock>& blocks = tables.clientBlocks;
    std::vector<size_t> order(blocks.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
        [&](size_t left, size_t right) { return blocks[left].first < blocks[right].first; });
    for (size_t position = 0; position < order.size(); ++position) {
        const size_t index = order[position];
        if (!tables.findFailureDomain(blocks[index].failureDomain))
            return places.error(
                index, "failure_domain", ErrorCode::UnknownName, "no failure domain " + blocks[index].failureDomain);
        if (position > 0 && blocks[order[position - 1]].last >= blocks[index].first)
            return places.error(std::max(index, order[position - 1]), "prefix", ErrorCode::Overlap,
                "has addresses of another client block");
    }
    return success();
}

Status checkPools(const Tables& tables, const RecordPlaces& places, const std::string& file)
{
    if (auto status = checkNames(tables.pools, places); !status)
        return status;
    for (size_t index = 0; index < tables.pools.size(); ++index) {
        const Pool& pool = tables.pools[index];
        const RecordPlaces servers(places.at(index), file, "server", "pool.server");
        std::set<std::string> addresses;
        for (size_t server = 0; server < pool.servers.size(); ++server) {
            const BackendServer& record = pool.servers[server];
            if (!tables.findFailureDomain(record.failureDomain))
                return servers.error(
                    server, "failure_domain", ErrorCode::UnknownName, "no failure domain " + record.failureDomain);
            if (!addresses.insert(record.address.toString()).second)
                return servers.error(server, "address", ErrorCode::DuplicateName,
                    record.address.toString() + " is given twice in pool " + pool.name);
        }
    }
    return success();
}

Status checkLinks(const Tables& tables, const RecordPlaces& places)
{
    std::set<std::string_view> regions;
    for (const FailureDomain& domain : tables.failureDomains)
        regions.insert(domain.region);
    std::set<std::pair<std::string, std::string>> pairs;
    for (size_t index = 0; index < tables.links.size(); ++index) {
        const Link& link = tables.links[index];
        for (const std::string& region : { link.firstRegion, link.secondRegion }) {
            if (!regions.contains(region))
                return places.error(index, "regions", ErrorCode::UnknownName, "no failure domain in region " + region);
        }
        if (link.firstRegion == link.secondRegion)
            return places.error(index, "regions", ErrorCode::OutOfRange, "expected two different regions");
        if (!pairs.insert(std::minmax(link.firstRegion, link.secondRegion)).second)
            return places.error(index, "regions", ErrorCode::DuplicateName, "this pair is given twice");
    }
    return success();
}

Status checkShifts(const Tables& tables, const RecordPlaces& places)
{
    std::set<std::pair<std::string_view, std::string_view>> sources;
    for (size_t index = 0; index < tables.shifts.size(); ++index) {
        const Shift& shift = tables.shifts[index];
        if (!tables.findPool(shift.pool))
            return places.error(index, "pool", ErrorCode::UnknownName, "no pool " + shift.pool);
        if (!tables.findFailureDomain(shift.fromFailureDomain))
            return places.error(index, "from", ErrorCode::UnknownName, "no failure domain " + shift.fromFailureDomain);
        if (!tables.findFailureDomain(shift.toFailureDomain))
            return places.error(index, "to", ErrorCode::UnknownName, "no failure domain " + shift.toFailureDomain);
        // Two shifts of the same traffic would not say where it goes.
        if (!sources.emplace(shift.pool, shift.fromFailureDomain).second)
            return places.error(index, "from", ErrorCode::Overlap,
                "pool " + shift.pool + " is shifted from " + shift.fromFailureDomain + " already");
    }
    return success();
}

}

Status checkRelations(const Tables& tables, const TableDocuments& documents)
{
    const std::string& routesFile = documents.names.routes;
    const std::string& poolsFile = documents.names.pools;
    if (auto status
        = checkNames(tables.failureDomains, { documents.pools, poolsFile, "failure_domain", "failure_domain" });
        !status)
        return status;
    if (auto status = checkPools(tables, { documents.pools, poolsFile, "pool", "pool" }, poolsFile); !status)
        return status;
    if (auto status = checkLinks(tables, { documents.pools, poolsFile, "link", "link" }); !status)
        return status;
    if (auto status = checkShifts(tables, { documents.pools, poolsFile, "shift", "shift" }); !status)
        return status;
    if (auto status = checkRoutes(tables, { documents.routes, routesFile, "route", "route" }); !status)
        return status;
    return checkClientBlocks(tables, { documents.routes, routesFile, "client_block", "client_block" });
}

}
