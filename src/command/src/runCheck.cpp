#include "CommandOptions.h"
#include "Subcommand.h"

#include <wagtailrack/process/Settings.h>
#include <wagtailrack/version/Tables.h>

#include <iostream>

namespace wagtailrack::command {

static Status checkTables(const std::string& routesPath, const std::string& poolsPath)
{
    const auto routes = process::readFile(routesPath);
    if (!routes)
        return routes.error();
    const auto pools = process::readFile(poolsPath);
    if (!pools)
        return pools.error();
    const auto tables = version::parseTables(routes.value(), pools.value(), { routesPath, poolsPath });
    if (!tables)
        return tables.error();
    std::cout << "tables are valid: " << tables.value().routes.size() << " routes, " << tables.value().pools.size()
              << " pools\n";
    return success();
}

static Status checkSettings(const std::string& path)
{
    const auto text = process::readFile(path);
    if (!text)
        return text.error();
    const auto settings = process::parseSettings(text.value(), path);
    if (!settings)
        return settings.error();
    std::cout << "settings are valid: " << settings.value().name << '\n';
    return success();
}

ExitCode runCheck(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack check", "Validates both tables, a settings file, or all of them.");
    options.add_options()("routes", "routes table", cxxopts::value<std::string>())("pools", "pools table",
        cxxopts::value<std::string>())("settings", "settings file", cxxopts::value<std::string>());
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    const auto& given = *parsed.options;
    const bool hasTables = given.count("routes") > 0 && given.count("pools") > 0;
    if (given.count("routes") != given.count("pools") || (!hasTables && given.count("settings") == 0)) {
        std::cerr << "wagtailrack: give --routes and --pools together, or --settings\n";
        return ExitCode::Usage;
    }
    if (hasTables) {
        if (auto status = checkTables(given["routes"].as<std::string>(), given["pools"].as<std::string>()); !status)
            return reportError(status.error());
    }
    if (given.count("settings") > 0) {
        if (auto status = checkSettings(given["settings"].as<std::string>()); !status)
            return reportError(status.error());
    }
    return ExitCode::Success;
}

}
