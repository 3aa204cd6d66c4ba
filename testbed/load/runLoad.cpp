#include "runLoad.h"

#include "LoadReport.h"
#include "LoadRun.h"

#include <harness/Deployment.h>
#include <wagtailrack/process/Settings.h>

#include <cxxopts.hpp>

#include <iostream>

namespace wagtailrack::testbed {

namespace {

int failWith(const Error& error)
{
    std::cerr << "wagtailrack-testbed load: " << describe(error) << '\n';
    return 1;
}

Result<std::vector<CallRecord>> readResults(const std::string& path)
{
    const auto text = process::readFile(path);
    if (!text)
        return text.error();
    return parseCsv(text.value(), path);
}

int compare(const std::vector<std::string>& paths)
{
    if (paths.size() != 2) {
        std::cerr << "wagtailrack-testbed load: --compare needs two files, separated by a comma\n";
        return 2;
    }
    const auto before = readResults(paths[0]);
    const auto after = readResults(paths[1]);
    if (!before || !after)
        return failWith(before ? after.error() : before.error());
    std::cout << comparisonTable(before.value(), after.value());
    return 0;
}

int run(const std::string& settingsPath, const std::string& csvPath)
{
    const auto text = process::readFile(settingsPath);
    if (!text)
        return failWith(text.error());
    const auto settings = parseLoadSettings(text.value(), settingsPath);
    if (!settings)
        return failWith(settings.error());
    std::vector<Endpoint> bootstrap;
    for (const std::string& address : settings.value().bootstrap) {
        auto endpoint = Endpoint::parse(address);
        if (!endpoint)
            return failWith(endpoint.error());
        bootstrap.push_back(std::move(endpoint).value());
    }
    std::cout << "seed " << settings.value().seed << std::endl;
    LoadRun load(settings.value(), std::move(bootstrap));
    const std::vector<CallRecord> records = load.finish();
    if (!csvPath.empty())
        writeFile(csvPath, toCsv(records));
    std::cout << summaryTable(records) << '\n' << failureTable(records);
    return 0;
}

}

int runLoad(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed load", "Sends open-loop load and reports what callers saw.");
    options.add_options()("settings", "load settings (TOML)", cxxopts::value<std::string>())(
        "csv", "file for one line for each call", cxxopts::value<std::string>()->default_value(""))(
        "compare", "two result files to compare", cxxopts::value<std::vector<std::string>>())("help", "this text");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("compare") != 0)
            return compare(parsed["compare"].as<std::vector<std::string>>());
        if (parsed.count("settings") != 0)
            return run(parsed["settings"].as<std::string>(), parsed["csv"].as<std::string>());
        std::cout << options.help();
        return parsed.count("help") != 0 ? 0 : 2;
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "wagtailrack-testbed load: " << failure.what() << '\n';
        return 2;
    }
}

}
