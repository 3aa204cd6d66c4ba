#include "BackendProcess.h"

#include "freePort.h"

#include <wagtailrack/connection/HttpConnection.h>

#include <json/reader.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

namespace wagtailrack::testbed {

static std::vector<std::string> commandLineOf(
    const std::string& binary, const Endpoint& endpoint, const std::vector<std::string>& options)
{
    std::vector<std::string> line { binary, "backend", "--listen", endpoint.toString() };
    line.insert(line.end(), options.begin(), options.end());
    return line;
}

BackendProcess::BackendProcess(const std::string& testbedBinary, const std::vector<std::string>& options)
    : endpoint(freeEndpoint())
    , commandLine(commandLineOf(testbedBinary, this->endpoint, options))
    , process(this->commandLine, "/dev/null")
{
    this->waitReady();
}

void BackendProcess::waitReady() const
{
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!connection::canConnect(this->endpoint, deadline)) {
        if (std::chrono::steady_clock::now() > deadline) {
            std::fprintf(stderr, "the simulated backend server does not answer\n");
            std::abort();
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

void BackendProcess::restart()
{
    this->process.kill();
    this->process.waitForExit(std::chrono::steady_clock::now() + std::chrono::seconds(20));
    this->process.~ChildProcess();
    new (&this->process) ChildProcess(this->commandLine, "/dev/null");
    this->waitReady();
}

std::string BackendProcess::send(const std::string& method, const std::string& target, const std::string& body) const
{
    connection::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    connection::ExchangeLimits limits { deadline, deadline, deadline };
    limits.maxBodyBytes = int64_t(1) << 30;
    const auto result = connection::exchangeOnce(this->endpoint, request, limits);
    if (!result.response || result.response.value().status != 200) {
        std::fprintf(stderr, "%s %s failed at the simulated backend server\n", method.c_str(), target.c_str());
        std::abort();
    }
    return result.response.value().body;
}

void BackendProcess::control(const std::string& changes) const { this->send("PUT", "/control", changes); }

void BackendProcess::drain() const { this->send("PUT", "/control/drain", "{}"); }

Json::Value BackendProcess::ledger() const
{
    const std::string text = this->send("GET", "/control/ledger", "");
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

int64_t BackendProcess::runsOf(const std::string& requestId) const
{
    int64_t count = 0;
    const Json::Value all = this->ledger();
    for (const Json::Value& entry : all["entries"])
        count += entry["request_id"].asString() == requestId ? 1 : 0;
    return count;
}

int64_t BackendProcess::runs() const { return this->ledger()["entries"].size(); }

}
