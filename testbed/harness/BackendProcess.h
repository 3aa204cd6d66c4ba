#pragma once

#include "ChildProcess.h"

#include <wagtailrack/base/Endpoint.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace wagtailrack::testbed {

// A `wagtailrack-testbed backend` process, ready when the constructor returns; ends with this object.
class BackendProcess {
public:
    // `options` are added to the command line, for example { "--slots", "2" }.
    explicit BackendProcess(const std::string& testbedBinary, const std::vector<std::string>& options = {});
    BackendProcess(BackendProcess&&) noexcept = default;

    // Changes the behavior, for example R"({"service_ms":50})".
    void control(const std::string& changes) const;
    void drain() const;
    Json::Value ledger() const;
    // Entries of the ledger with this request id.
    int64_t runsOf(const std::string& requestId) const;
    int64_t runs() const;
    // Starts the program again at the same address.
    void restart();

    const Endpoint endpoint;

private:
    std::string send(const std::string& method, const std::string& target, const std::string& body) const;
    void waitReady() const;

    std::vector<std::string> commandLine;

public:
    ChildProcess process;
};

}
