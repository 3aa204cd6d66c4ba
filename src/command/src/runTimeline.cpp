#include "CommandOptions.h"
#include "InstanceClient.h"
#include "Subcommand.h"
#include "TimelineMerge.h"

#include <iostream>

namespace wagtailrack::command {

namespace {

// All events that one instance still has; it answers in pages.
Result<std::vector<MergedEvent>> collect(const Endpoint& instance)
{
    std::vector<MergedEvent> events;
    uint64_t after = 0;
    while (true) {
        const auto answer = InstanceClient::query(instance, "/.wagtailrack/timeline?after=" + std::to_string(after));
        if (!answer)
            return answer.error();
        auto page = readEvents(answer.value());
        if (!page || page.value().empty()) {
            if (!page)
                return page.error();
            return events;
        }
        after = page.value().back().sequence;
        events.insert(events.end(), page.value().begin(), page.value().end());
    }
}

std::string textOption(const cxxopts::ParseResult& options, const char* name)
{
    return options.count(name) > 0 ? options[name].as<std::string>() : std::string();
}

}

ExitCode runTimeline(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack timeline", "Merges the events of all instances by time.");
    options.add_options()("instance", "caller address of an instance to start from; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    options.add_options()("request", "only events of this request id", cxxopts::value<std::string>());
    options.add_options()("name", "only events of the instance with this name", cxxopts::value<std::string>());
    options.add_options()(
        "kind", "only events of this kind, such as request or member-state", cxxopts::value<std::string>());
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    if (parsed.options->count("instance") == 0) {
        std::cerr << "wagtailrack: --instance is required\n";
        return ExitCode::Usage;
    }
    const auto seeds = parseEndpoints((*parsed.options)["instance"].as<std::vector<std::string>>());
    if (!seeds)
        return reportError(seeds.error());
    const auto instances = InstanceClient::discover(seeds.value());
    if (!instances)
        return reportError(instances.error());
    std::vector<std::vector<MergedEvent>> lists;
    for (const Endpoint& instance : instances.value()) {
        auto events = collect(instance);
        if (events)
            lists.push_back(std::move(events).value());
        else
            std::cerr << "wagtailrack: events of " << instance.toString()
                      << " are missing: " << describe(events.error()) << '\n';
    }
    const EventFilter filter { textOption(*parsed.options, "request"), textOption(*parsed.options, "name"),
        textOption(*parsed.options, "kind") };
    for (const MergedEvent& event : mergeEvents(std::move(lists), filter))
        std::cout << event.toLine() << '\n';
    return ExitCode::Success;
}

}
