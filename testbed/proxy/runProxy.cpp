#include "runProxy.h"

#include "FaultScript.h"

#include <wagtailrack/process/Settings.h>

#include <cxxopts.hpp>

#include <iostream>

namespace wagtailrack::testbed {

namespace {

int failWith(const Error& error)
{
    std::cerr << "wagtailrack-testbed proxy: " << describe(error) << '\n';
    return 1;
}

}

int runProxy(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed proxy", "Forwards TCP connections and injects faults by a script.");
    options.add_options()("listen", "address to listen on", cxxopts::value<std::string>())(
        "target", "address to forward to", cxxopts::value<std::string>())("script",
        "fault script: lines of <ms after start> <command>", cxxopts::value<std::string>()->default_value(""))(
        "run-ms", "time to run", cxxopts::value<int64_t>()->default_value("3600000"))("help", "this text");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") != 0 || parsed.count("listen") == 0 || parsed.count("target") == 0) {
            std::cout << options.help();
            return parsed.count("help") != 0 ? 0 : 2;
        }
        const auto listen = Endpoint::parse(parsed["listen"].as<std::string>());
        const auto target = Endpoint::parse(parsed["target"].as<std::string>());
        if (!listen || !target)
            return failWith(listen ? target.error() : listen.error());
        std::vector<ScriptLine> lines;
        if (const std::string path = parsed["script"].as<std::string>(); !path.empty()) {
            const auto text = process::readFile(path);
            if (!text)
                return failWith(text.error());
            auto script = parseFaultScript(text.value(), path);
            if (!script)
                return failWith(script.error());
            lines = std::move(script).value();
        }
        const SteadyTime start = std::chrono::steady_clock::now();
        FaultProxy proxy(listen.value(), target.value());
        for (const ScriptLine& line : lines) {
            std::this_thread::sleep_until(start + Milliseconds(line.afterMs));
            if (auto status = applyFaultCommand(proxy, line.command); !status)
                return failWith(status.error());
            std::cout << line.afterMs << " ms: " << line.command << std::endl;
        }
        std::this_thread::sleep_until(start + Milliseconds(parsed["run-ms"].as<int64_t>()));
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "wagtailrack-testbed proxy: " << failure.what() << '\n';
        return 2;
    }
    return 0;
}

}
