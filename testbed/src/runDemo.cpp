#include "runDemo.h"

#include <load/LoadReport.h>
#include <load/LoadRun.h>
#include <load/PromiseCheck.h>

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace wagtailrack::testbed {

namespace {

constexpr std::chrono::seconds startTime { 20 };
constexpr std::chrono::seconds stopTime { 15 };
// Targets of docs/design.md: an edit is active within 5 s, a draining server gets nothing after 3 s.
constexpr std::chrono::seconds editTime { 5 };
constexpr long long drainMs = 3000;
// When the events happen after the start of the load.
constexpr Milliseconds editAt { 3000 };
constexpr Milliseconds stopAt { 5000 };
constexpr Milliseconds drainAt { 7000 };

class Demo {
public:
    Demo(DeploymentOptions options, DeploymentShape deploymentShape)
        : shape(std::move(deploymentShape))
        , deployment(std::move(options))
    {
    }

    int run(const std::string& csvPath);

private:
    void say(const std::string& text) const;
    void editPool();
    void beginStop();
    void awaitStop();
    void drainOneServer();
    LoadSettings loadSettings() const;
    int report(const std::vector<CallRecord>& records);

    DeploymentShape shape;
    Deployment deployment;
    RunFacts facts;
    std::vector<Violation> violations;
    SteadyTime start = std::chrono::steady_clock::now();
};

void Demo::say(const std::string& text) const
{
    const auto elapsed
        = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - this->start).count();
    std::printf("%6.2f s  %s\n", static_cast<double>(elapsed) / 1000, text.c_str());
    std::fflush(stdout);
}

LoadSettings Demo::loadSettings() const
{
    LoadSettings settings = LoadSettings::of(this->shape);
    settings.seed = 20261204;
    settings.phases = { { ArrivalShape::Constant, 300, 300, 7000 }, { ArrivalShape::Surge, 300, 600, 6000 },
        { ArrivalShape::Constant, 300, 300, 3000 } };
    return settings;
}

void Demo::editPool()
{
    std::string pools = this->deployment.poolsText;
    const std::string before = "queue_length = 32";
    for (size_t place = pools.find(before); place != std::string::npos; place = pools.find(before, place))
        pools.replace(place, before.size(), "queue_length = 40");
    const uint64_t generation = generationOf(this->deployment.instances.front());
    const int code = this->deployment.applyTables(this->deployment.routesText, pools);
    if (code != 0) {
        this->violations.push_back({ "P8", "apply ended with exit code " + std::to_string(code) });
        return;
    }
    const auto elapsed
        = waitForGeneration(this->deployment, generation + 1, std::chrono::steady_clock::now() + editTime);
    if (!elapsed)
        this->violations.push_back({ "P8", "an accepted edit is not active everywhere after 5 s" });
    else
        this->say("edited all pools (queue_length 32 -> 40): generation " + std::to_string(generation + 1)
            + " is active at all instances " + std::to_string(elapsed->count()) + " ms after it was accepted");
}

void Demo::beginStop()
{
    const RunningInstance& instance = this->deployment.instances.back();
    instance.process->terminate();
    this->say("instance " + instance.description.name + " is asked to stop");
}

void Demo::awaitStop()
{
    RunningInstance& instance = this->deployment.instances.back();
    const auto code = instance.process->waitForExit(std::chrono::steady_clock::now() + stopTime);
    if (code == 0)
        this->say("instance " + instance.description.name + " has stopped gracefully");
    else
        this->violations.push_back({ "P7",
            instance.description.name + (code ? " ended with exit code " + std::to_string(*code) : " did not end") });
}

void Demo::drainOneServer()
{
    const RunningBackend& backend = this->deployment.backends.front();
    const long long now = wallMsNow();
    if (!sendControl(backend.directAddress, "PUT", "/control/drain"))
        this->violations.push_back({ "P6", "the server does not take the drain order" });
    this->facts.drainedServers[backend.directAddress.toString()] = now + drainMs;
    this->say("backend server " + backend.address.toString() + " of " + backend.pool + " in " + backend.failureDomain
        + " starts to drain");
}

int Demo::report(const std::vector<CallRecord>& records)
{
    for (Violation& violation : checkPromises(this->deployment, records, this->facts))
        this->violations.push_back(std::move(violation));
    std::cout << '\n' << summaryTable(records) << "\nfailures by type\n" << failureTable(records) << '\n';
    static constexpr const char* promises[][2]
        = { { "P1", "no traffic shift above its cap" }, { "P2", "no server overloaded by steering" },
              { "P3", "every answer whole and its own" }, { "P4", "nothing reported not-run that ran" },
              { "P5", "no order ran twice" }, { "P6", "no new work at the draining server after 3 s" },
              { "P7", "graceful stop, no request cut" }, { "P8", "edit active everywhere within 5 s" } };
    constexpr size_t shownEach = 5;
    for (const auto& promise : promises) {
        const std::string id = promise[0];
        const auto count = std::count_if(this->violations.begin(), this->violations.end(),
            [&](const Violation& violation) { return violation.property == id; });
        std::cout << id << "  " << (count == 0 ? "held    " : "BROKEN  ") << promise[1] << '\n';
        size_t shown = 0;
        for (const Violation& violation : this->violations) {
            if (violation.property == id && shown++ < shownEach)
                std::cout << "      " << violation.detail << '\n';
        }
    }
    const size_t done = countOf(records, "", CallEnd::Done);
    const bool isServed = done * 100 >= records.size() * 95;
    if (!isServed)
        std::cout << "less than 95% of the calls were done\n";
    std::cout << (this->violations.empty() && isServed ? "every promise held" : "NOT every promise held") << '\n';
    return this->violations.empty() && isServed ? 0 : 1;
}

int Demo::run(const std::string& csvPath)
{
    this->say("starting " + std::to_string(this->deployment.instances.size()) + " instances, "
        + std::to_string(this->deployment.backends.size()) + " backend servers, the store and the instance list");
    if (auto status = this->deployment.start(this->start + startTime); !status) {
        std::cerr << "the deployment did not start: " << describe(status.error())
                  << "\nlogs: " << this->deployment.folder << '\n';
        return 1;
    }
    this->say("all instances are ready; tables applied with `wagtailrack apply`");
    std::vector<Endpoint> bootstrap;
    for (const RunningInstance& instance : this->deployment.instances)
        bootstrap.push_back(instance.callerAddress);
    const LoadSettings settings = this->loadSettings();
    this->say("load starts: 300 calls a second, 600 in a surge; seed " + std::to_string(settings.seed));
    LoadRun load(settings, bootstrap);
    std::this_thread::sleep_until(load.startTime() + editAt);
    this->editPool();
    std::this_thread::sleep_until(load.startTime() + stopAt);
    this->beginStop();
    std::this_thread::sleep_until(load.startTime() + drainAt);
    this->drainOneServer();
    this->awaitStop();
    const std::vector<CallRecord> records = load.finish();
    this->say("load ends");
    if (!csvPath.empty())
        writeFile(csvPath, toCsv(records));
    const int code = this->report(records);
    if (!this->deployment.stop(std::chrono::steady_clock::now() + stopTime)) {
        std::cout << "not all instances ended with exit code 0; logs: " << this->deployment.folder << '\n';
        return 1;
    }
    return code;
}

}

int runDemo(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack-testbed demo", "Runs the Verband's deployment on loopback under load.");
    options.add_options()("binaries", "folder of wagtailrack and wagtailrack-testbed",
        cxxopts::value<std::string>()->default_value("build"))("csv", "file for one line for each call",
        cxxopts::value<std::string>()->default_value(""))("help", "this text");
    try {
        const auto parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        const DeploymentShape shape = verbandShape();
        DeploymentOptions deploymentOptions = DeploymentOptions::of(shape, parsed["binaries"].as<std::string>());
        deploymentOptions.firstTables = FirstTables::Applied;
        return Demo(std::move(deploymentOptions), shape).run(parsed["csv"].as<std::string>());
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "wagtailrack-testbed demo: " << failure.what() << '\n';
        return 2;
    }
}

}
