#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/version/Pool.h>
#include <wagtailrack/version/Route.h>

#include <toml.hpp>

#include <string>

namespace wagtailrack::version {

// Each reads one record and checks everything that the record alone decides. Relations between records are checked by
// checkRelations(). Fail with the file, line and key of the first fault.
Result<Route> readRoute(const toml::value& record, const std::string& file);
Result<ClientBlock> readClientBlock(const toml::value& record, const std::string& file);
Result<Pool> readPool(const toml::value& record, const std::string& file);
Result<FailureDomain> readFailureDomain(const toml::value& record, const std::string& file);
Result<Link> readLink(const toml::value& record, const std::string& file);
Result<Shift> readShift(const toml::value& record, const std::string& file);

}
