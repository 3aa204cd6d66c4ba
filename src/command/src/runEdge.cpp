#include "CommandOptions.h"
#include "Subcommand.h"

#include <wagtailrack/platform/PlatformCodec.h>
#include <wagtailrack/platform/PlatformSettings.h>
#include <wagtailrack/platform/PlatformStore.h>
#include <wagtailrack/process/Settings.h>

#include <boost/outcome/try.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace wagtailrack::command {

namespace {

// Longest wait for settings that can be read, and time between two tries. The platform may still be writing the file.
constexpr Milliseconds maximumSettingsWait(5000);
constexpr Milliseconds settingsRetryInterval(50);

// Reads the settings until they are valid, and fails when they still are not after `maximumSettingsWait`.
Result<edge::EdgeSettings> awaitSettings(const edge::SettingsReader& readSettings)
{
    const SteadyTime giveUpAt = BootTimeClock::now() + maximumSettingsWait;
    Result<edge::EdgeSettings> settings = readSettings();
    if (!settings)
        std::cerr << "wagtailrack: waiting for valid settings: " << describe(settings.error()) << std::endl;
    while (!settings && BootTimeClock::now() < giveUpAt) {
        std::this_thread::sleep_for(settingsRetryInterval);
        settings = readSettings();
    }
    return settings;
}

}

ExitCode runEdge(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack edge", "Runs an instance on the users' platform until SIGTERM or SIGINT.");
    options.add_options()("settings", "settings file; by default the one that the environment names",
        cxxopts::value<std::string>())("check", "read the settings and end");
    // The default action would end the process. Until the node handles it, nothing is lost: the settings are read again
    // at intervals as well.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    const char* named = std::getenv(platform::settingsPathVariable);
    std::string path = named ? named : "";
    if (parsed.options->count("settings") > 0)
        path = (*parsed.options)["settings"].as<std::string>();
    if (path.empty()) {
        std::cerr << "wagtailrack: --settings or " << platform::settingsPathVariable << " is required\n";
        return ExitCode::Usage;
    }
    const auto readSettings = [path]() -> Result<edge::EdgeSettings> {
        BOOST_OUTCOME_TRY(text, process::readFile(path));
        return platform::parsePlatformSettings(text, path);
    };
    const bool isCheck = parsed.options->count("check") > 0;
    Result<edge::EdgeSettings> settings = isCheck ? readSettings() : awaitSettings(readSettings);
    if (!settings)
        return reportError(settings.error());
    if (isCheck) {
        std::cout << path << ": valid\n";
        return ExitCode::Success;
    }
    // One thread: the instances have a part of one core, and nothing then needs a lock.
    edge::asio::io_context context(1);
    platform::PlatformStore store(
        context, settings.value().storeAddress, edge::internalTransferLimitsFor(settings.value().memoryBytes));
    const platform::PlatformCodec codec;
    edge::EdgeNode node(
        context, settings.value(), readSettings, platform::headerNames(), platform::edgePaths(), store, codec);
    if (Status status = node.start(); !status)
        return reportError(status.error());
    while (true) {
        try {
            context.run();
            return ExitCode::Success;
        } catch (const std::exception& exception) {
            // The handler that failed is lost; the others go on.
            std::cerr << "wagtailrack: unexpected failure: " << exception.what() << "\n";
        }
    }
}

}
