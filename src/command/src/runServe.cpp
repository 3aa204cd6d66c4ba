#include "CommandOptions.h"
#include "Instance.h"
#include "Subcommand.h"

#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace wagtailrack::command {

namespace {

int64_t millisecondsLeft(SteadyTime deadline)
{
    return std::max<int64_t>(0, std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now()).count());
}

timespec toTimespec(int64_t milliseconds)
{
    return { static_cast<time_t>(milliseconds / 1000), static_cast<long>(milliseconds % 1000) * 1'000'000 };
}

}

ExitCode runServe(int argumentCount, char** arguments)
{
    cxxopts::Options options(
        "wagtailrack serve", "Runs an entry instance until SIGTERM or SIGINT, then stops gracefully.");
    options.add_options()("settings", "settings file (TOML)", cxxopts::value<std::string>());
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    if (parsed.options->count("settings") == 0) {
        std::cerr << "wagtailrack: --settings is required\n";
        return ExitCode::Usage;
    }
    const std::string path = (*parsed.options)["settings"].as<std::string>();
    const auto text = process::readFile(path);
    if (!text)
        return reportError(text.error());
    auto settings = process::parseSettings(text.value(), path);
    if (!settings)
        return reportError(settings.error());

    google::InitGoogleLogging("wagtailrack");
    FLAGS_logtostderr = true;
    // Blocked before any thread starts, so that all threads inherit the mask and sigwait() below is the only receiver.
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    Instance instance(SystemClock::shared(), std::move(settings).value());
    if (auto status = instance.start(); !status)
        return reportError(status.error());
    int received = 0;
    sigwait(&stopSignals, &received);
    const SteadyTime serveUntil = instance.leave();
    LOG(INFO) << "event=leaving signal=" << received << " serve_ms=" << millisecondsLeft(serveUntil);
    // A second signal ends the wait for callers that still hold answers or keys of this instance.
    while (millisecondsLeft(serveUntil) > 0) {
        const timespec left = toTimespec(millisecondsLeft(serveUntil));
        if (sigtimedwait(&stopSignals, nullptr, &left) > 0)
            break;
    }
    instance.stop();
    return ExitCode::Success;
}

}
