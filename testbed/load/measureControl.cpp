#include "measureControl.h"

#include "ProcessUsage.h"
#include "harness/ControlCluster.h"

#include <cxxopts.hpp>
#include <json/reader.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <thread>

namespace wagtailrack::testbed {

namespace {

constexpr std::chrono::seconds editInterval { 1 };

struct Options {
    std::string folder;
    std::vector<int> instances;
    int failureDomains = 6;
    int edits = 20;
    int seconds = 20;
    // After the last instance has joined, until gossip about the start has ended.
    int settleSeconds = 45;
    int clientBlocks = 500;
};

// Sums over all instances at one time.
struct Sample {
    SteadyTime at;
    double processorSeconds = 0;
    double bytes = 0;
    double calls = 0;
    double storeCalls = 0;
};

Sample takeSample(ControlCluster& cluster)
{
    Sample sample;
    sample.at = std::chrono::steady_clock::now();
    for (const ControlInstance& instance : cluster.instances) {
        sample.processorSeconds += processorSeconds(instance.process->id());
        const auto answer = cluster.call(instance, "traffic", Json::Value(Json::objectValue));
        if (!answer)
            continue;
        sample.bytes += answer.value()["bytes_sent"].asDouble() + answer.value()["bytes_received"].asDouble();
        sample.calls += answer.value()["calls_sent"].asDouble() + answer.value()["calls_received"].asDouble();
    }
    Json::Value counters;
    const std::string text = cluster.storeCounters();
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (reader->parse(text.data(), text.data() + text.size(), &counters, nullptr) && counters.isObject())
        sample.storeCalls = counters["reads"].asDouble() + counters["writes"].asDouble();
    return sample;
}

void printRates(const char* phase, const Sample& first, const Sample& last, size_t instances)
{
    const double seconds = std::chrono::duration<double>(last.at - first.at).count();
    const double perInstance = seconds * static_cast<double>(instances);
    std::printf("  %-6s bytes/s %7.0f  calls/s %5.2f  cpu %6.3f%%  store calls/s (all) %6.2f\n", phase,
        (last.bytes - first.bytes) / perInstance, (last.calls - first.calls) / perInstance,
        100 * (last.processorSeconds - first.processorSeconds) / perInstance,
        (last.storeCalls - first.storeCalls) / seconds);
}

// Milliseconds from the write of the head until each instance logged the version, or a later one that it took in its
// place, as active; empty when one did not.
std::vector<double> activationDelays(
    const ControlCluster& cluster, uint64_t generation, uint64_t lastGeneration, WallTime written)
{
    std::vector<double> delays;
    for (const ControlInstance& instance : cluster.instances) {
        std::optional<WallTime> active;
        for (uint64_t next = generation; !active && next <= lastGeneration; ++next)
            active = loggedTime(instance.logPath, "event=version-active generation=" + std::to_string(next) + " ");
        if (!active)
            return {};
        delays.push_back(std::chrono::duration<double, std::milli>(*active - written).count());
    }
    return delays;
}

void printDelays(const ControlCluster& cluster, const std::vector<std::pair<uint64_t, WallTime>>& edits)
{
    std::vector<double> all;
    std::vector<double> slowest;
    for (const auto& [generation, written] : edits) {
        std::vector<double> delays;
        ControlCluster::waitUntil([&, generation = generation, written = written] {
            delays = activationDelays(cluster, generation, edits.back().first, written);
            return !delays.empty();
        });
        if (delays.empty()) {
            std::printf("  generation %llu was not active on all\n", static_cast<unsigned long long>(generation));
            continue;
        }
        all.insert(all.end(), delays.begin(), delays.end());
        slowest.push_back(*std::max_element(delays.begin(), delays.end()));
    }
    std::sort(all.begin(), all.end());
    std::sort(slowest.begin(), slowest.end());
    const auto quantile = [](const std::vector<double>& sorted, double part) {
        return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, size_t(part * double(sorted.size())))];
    };
    std::printf("  head write to active: each instance median %.0f ms p99 %.0f ms max %.0f ms; all instances median "
                "%.0f ms max %.0f ms; %zu edits\n",
        quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1), quantile(slowest, 0.5), quantile(slowest, 1),
        slowest.size());
}

bool measure(const Options& options, int count)
{
    ControlCluster cluster(options.folder);
    cluster.clientBlocks = options.clientBlocks;
    if (cluster.edit().generation == 0)
        return false;
    for (int index = 0; index < count; ++index)
        cluster.add("i" + std::to_string(index), "fd-" + std::to_string(index % options.failureDomains));
    cluster.publishAll();
    for (ControlInstance& instance : cluster.instances)
        cluster.start(instance);
    const SteadyTime started = std::chrono::steady_clock::now();
    const bool isComplete = ControlCluster::waitUntil([&] { return cluster.hasConverged(); });
    std::printf("%d instances in %d failure domains: %s after %.1f s\n", count, std::min(count, options.failureDomains),
        isComplete ? "converged" : "NOT converged",
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count());
    std::this_thread::sleep_for(std::chrono::seconds(options.settleSeconds));

    const Sample idleStart = takeSample(cluster);
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    const Sample idleEnd = takeSample(cluster);
    printRates("idle", idleStart, idleEnd, cluster.instances.size());

    std::vector<std::pair<uint64_t, WallTime>> edits;
    for (int edit = 0; edit < options.edits; ++edit) {
        const version::VersionId id = cluster.edit();
        edits.emplace_back(id.generation, cluster.headWrittenAt);
        std::this_thread::sleep_for(editInterval);
    }
    printRates("edits", idleEnd, takeSample(cluster), cluster.instances.size());
    printDelays(cluster, edits);
    int64_t memory = 0;
    for (const ControlInstance& instance : cluster.instances)
        memory = std::max(memory, residentKilobytes(instance.process->id()));
    std::printf("  resident memory, largest: %.1f MB\n", double(memory) / 1024);
    std::fflush(stdout);
    return isComplete;
}

}

int measureControl(int argumentCount, char** arguments)
{
    cxxopts::Options description("wagtailrack-testbed measure-control", "Measures the cost of the control plane.");
    description.add_options()("folder", "folder of the programs", cxxopts::value<std::string>());
    description.add_options()(
        "instances", "numbers of instances", cxxopts::value<std::vector<int>>()->default_value("6,12,24,48"));
    description.add_options()("failure-domains", "number", cxxopts::value<int>()->default_value("6"));
    description.add_options()("edits", "number", cxxopts::value<int>()->default_value("20"));
    description.add_options()("seconds", "length of the idle part", cxxopts::value<int>()->default_value("20"));
    description.add_options()("settle", "seconds before the idle part", cxxopts::value<int>()->default_value("45"));
    description.add_options()("client-blocks", "in the tables", cxxopts::value<int>()->default_value("500"));
    Options options;
    try {
        const auto parsed = description.parse(argumentCount, arguments);
        options.folder = parsed["folder"].as<std::string>();
        options.instances = parsed["instances"].as<std::vector<int>>();
        options.failureDomains = parsed["failure-domains"].as<int>();
        options.edits = parsed["edits"].as<int>();
        options.seconds = parsed["seconds"].as<int>();
        options.settleSeconds = parsed["settle"].as<int>();
        options.clientBlocks = parsed["client-blocks"].as<int>();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n' << description.help();
        return 2;
    }
    bool isComplete = true;
    for (const int count : options.instances)
        isComplete = measure(options, count) && isComplete;
    return isComplete ? 0 : 1;
}

}
