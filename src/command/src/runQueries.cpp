#include "CommandOptions.h"
#include "InstanceClient.h"
#include "InternalClient.h"
#include "Subcommand.h"

#include <json/writer.h>

#include <iostream>

namespace wagtailrack::command {

namespace {

void addInstanceOption(cxxopts::Options& options)
{
    options.add_options()("instance", "caller address of an instance; the first one that answers is used",
        cxxopts::value<std::vector<std::string>>());
}

ExitCode printFirstAnswer(const cxxopts::ParseResult& options, const std::string& target)
{
    if (options.count("instance") == 0) {
        std::cerr << "wagtailrack: --instance is required\n";
        return ExitCode::Usage;
    }
    const auto instances = parseEndpoints(options["instance"].as<std::vector<std::string>>());
    if (!instances)
        return reportError(instances.error());
    const auto answer = InstanceClient::queryFirst(instances.value(), target);
    if (!answer)
        return reportError(answer.error());
    std::cout << answer.value().toStyledString();
    return ExitCode::Success;
}

}

ExitCode runLookup(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack lookup", "Asks which entry instances a caller should use.");
    addInstanceOption(options);
    options.add_options()("service", "name of a route", cxxopts::value<std::string>());
    options.add_options()(
        "block", "IPv4 address of the caller; without it, the address of this host", cxxopts::value<std::string>());
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    std::string target = "/.wagtailrack/lookup";
    char separator = '?';
    for (const char* name : { "service", "block" }) {
        if (parsed.options->count(name) == 0)
            continue;
        target += separator + std::string(name) + "=" + (*parsed.options)[name].as<std::string>();
        separator = '&';
    }
    return printFirstAnswer(*parsed.options, target);
}

ExitCode runStatus(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack status", "Shows the state of one instance and the members that it knows.");
    addInstanceOption(options);
    options.add_options()("internal",
        "internal address of an instance of wagtailrack edge: lists its servers with their estimates",
        cxxopts::value<std::string>())("json", "with --internal: print JSON");
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    if (parsed.options->count("internal") == 0)
        return printFirstAnswer(*parsed.options, "/.wagtailrack/status");
    if (parsed.options->count("instance") > 0) {
        std::cerr << "wagtailrack: give either --instance or --internal\n";
        return ExitCode::Usage;
    }
    return printServers((*parsed.options)["internal"].as<std::string>(), parsed.options->count("json") > 0);
}

}
