#include "runBackend.h"

#include "SimulatedBackend.h"

#include <wagtailrack/connection/HttpServer.h>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace wagtailrack::testbed {

namespace {

cxxopts::Options backendOptions()
{
    cxxopts::Options options("wagtailrack-testbed backend", "Runs one simulated backend server until SIGTERM.");
    options.add_options()("listen", "address:port", cxxopts::value<std::string>())(
        "slots", "requests run at the same time", cxxopts::value<int64_t>()->default_value("3"))(
        "queue", "requests that wait for a slot", cxxopts::value<int64_t>()->default_value("6"))(
        "service-ms", "mean service time", cxxopts::value<double>()->default_value("5"))(
        "distribution", "fixed, uniform or exponential", cxxopts::value<std::string>()->default_value("fixed"))(
        "cold-requests", "first requests that are slow", cxxopts::value<int64_t>()->default_value("0"))(
        "body-bytes", "padding of each answer", cxxopts::value<int64_t>()->default_value("0"));
    return options;
}

BackendBehavior behaviorOf(const cxxopts::ParseResult& parsed)
{
    Json::Value changes(Json::objectValue);
    changes["slots"] = Json::Int64(parsed["slots"].as<int64_t>());
    changes["queue"] = Json::Int64(parsed["queue"].as<int64_t>());
    changes["service_ms"] = parsed["service-ms"].as<double>();
    changes["distribution"] = parsed["distribution"].as<std::string>();
    changes["cold_requests"] = Json::Int64(parsed["cold-requests"].as<int64_t>());
    changes["body_bytes"] = Json::Int64(parsed["body-bytes"].as<int64_t>());
    BackendBehavior behavior;
    const std::string fault = behavior.apply(changes);
    if (!fault.empty())
        throw std::invalid_argument("bad value of " + fault);
    return behavior;
}

int serve(const Endpoint& endpoint, const BackendBehavior& behavior)
{
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    SimulatedBackend backend(endpoint.toString(), behavior);
    connection::HttpServer server({ .maxConnections = 4096, .requestReadMs = 60'000 },
        [&backend](const connection::HttpRequest& request) { return backend.handle(request); });
    if (auto started = server.start(endpoint); !started) {
        std::cerr << describe(started.error()) << '\n';
        return 1;
    }
    std::cout << "listening on " << endpoint.toString() << std::endl;
    int received = 0;
    sigwait(&stopSignals, &received);
    server.stop();
    return 0;
}

}

int runBackend(int argumentCount, char** arguments)
{
    try {
        auto options = backendOptions();
        const auto parsed = options.parse(argumentCount, arguments);
        const auto endpoint = Endpoint::parse(parsed["listen"].as<std::string>());
        if (!endpoint)
            throw std::invalid_argument(describe(endpoint.error()));
        return serve(endpoint.value(), behaviorOf(parsed));
    } catch (const std::exception& fault) {
        std::cerr << fault.what() << '\n' << backendOptions().help();
        return 2;
    }
}

}
