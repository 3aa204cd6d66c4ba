#include "runInstanceList.h"

#include "SimulatedInstanceList.h"

#include <wagtailrack/connection/HttpServer.h>

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace wagtailrack::testbed {

int runInstanceList(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed instance-list", "Serves a simulated, lagging list of instances.");
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

    SimulatedInstanceList list;
    connection::HttpServer server({}, [&](const connection::HttpRequest& request) { return list.handle(request); });
    if (auto status = server.start(endpoint.value()); !status) {
        std::cerr << describe(status.error()) << '\n';
        return 1;
    }
    int received = 0;
    sigwait(&stopSignals, &received);
    server.stop();
    return 0;
}

}
