#include "runStore.h"

#include "SimulatedStore.h"

#include <wagtailrack/connection/HttpServer.h>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace wagtailrack::testbed {

namespace {

// Two watches for each of 56 failure domains at the target size, and operators.
constexpr int64_t maxConnections = 1024;
// Above the largest value, so that the store itself answers 413.
constexpr int64_t maxBodyBytes = 2 << 20;

}

int runStore(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed store", "Serves a simulated key-value store.");
    options.add_options()("listen", "address", cxxopts::value<std::string>());
    std::string address;
    try {
        address = options.parse(argumentCount, arguments)["listen"].as<std::string>();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n' << options.help();
        return 2;
    }
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint) {
        std::cerr << describe(endpoint.error()) << '\n';
        return 2;
    }
    // Blocked before any thread starts, so that sigwait() is the only receiver.
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    SimulatedStore store;
    connection::HttpServer server({ .maxConnections = maxConnections, .maxBodyBytes = maxBodyBytes },
        [&](const connection::HttpRequest& request) { return store.handle(request); });
    if (auto status = server.start(endpoint.value()); !status) {
        std::cerr << describe(status.error()) << '\n';
        return 1;
    }
    int received = 0;
    sigwait(&stopSignals, &received);
    store.stop();
    server.stop();
    return 0;
}

}
