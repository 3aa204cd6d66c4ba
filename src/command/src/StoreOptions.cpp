#include "StoreOptions.h"

#include "Subcommand.h"

#include <iostream>

namespace wagtailrack::command {

ParsedStoreOptions parseStoreOptions(cxxopts::Options& options, int argumentCount, char** arguments)
{
    options.add_options()("store", "address of the store, IP:port", cxxopts::value<std::string>())(
        "folder", "folder of routes.toml, pools.toml and base.json", cxxopts::value<std::string>())(
        "timeout-ms", "time for the whole command", cxxopts::value<int64_t>()->default_value("10000"));
    ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return { std::nullopt, parsed.exitCode, std::nullopt };
    const auto& given = *parsed.options;
    if (given.count("store") == 0 || given.count("folder") == 0) {
        std::cerr << "wagtailrack: --store and --folder are required\n";
        return { std::nullopt, ExitCode::Usage, std::nullopt };
    }
    const auto store = Endpoint::parse(given["store"].as<std::string>());
    const int64_t timeoutMs = given["timeout-ms"].as<int64_t>();
    if (!store || timeoutMs < 1 || timeoutMs > 3'600'000) {
        std::cerr << "wagtailrack: "
                  << (store ? "--timeout-ms: expected 1 to 3600000" : "--store: " + describe(store.error())) << '\n';
        return { std::nullopt, ExitCode::Usage, std::nullopt };
    }
    const SteadyTime deadline = SystemClock::shared().now() + Milliseconds(timeoutMs);
    return { StoreOptions { store.value(), given["folder"].as<std::string>(), deadline }, ExitCode::Success,
        std::move(parsed.options) };
}

}
