#include "CommandOptions.h"
#include "InternalClient.h"
#include "Subcommand.h"

#include <iostream>

namespace wagtailrack::command {

ExitCode runExplain(int argumentCount, char** arguments)
{
    cxxopts::Options options(
        "wagtailrack explain", "Tells where an instance would send a request now, and why, without sending it.");
    options.add_options()("internal", "internal address of an instance, which serves /metrics",
        cxxopts::value<std::string>())("json", "print the instance's response as JSON");
    options.add_options()("id", "id of a request that the instance got in the last minute",
        cxxopts::value<std::string>())("host", "host of the request", cxxopts::value<std::string>())(
        "path", "path of the request", cxxopts::value<std::string>())("method", "method of the request; GET without it",
        cxxopts::value<std::string>())("object", "affinity key of the request", cxxopts::value<std::string>())(
        "workspace", "name of the workspace, never an API key", cxxopts::value<std::string>());
    const ParsedOptions parsed = parseOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    const cxxopts::ParseResult& given = *parsed.options;
    const bool hasRequest = given.count("host") > 0 && given.count("path") > 0;
    const bool hasOther = given.count("host") + given.count("path") + given.count("method") + given.count("object")
            + given.count("workspace")
        > 0;
    if (given.count("internal") == 0 || (given.count("id") > 0 ? hasOther : !hasRequest)) {
        std::cerr << "wagtailrack: --internal is required, and either --id alone or --host and --path\n";
        return ExitCode::Usage;
    }
    const auto instance = Endpoint::parse(given["internal"].as<std::string>());
    if (!instance) {
        reportError(instance.error());
        return ExitCode::Usage;
    }
    std::string target = "/explain";
    char separator = '?';
    for (const char* name : { "id", "host", "path", "method", "object", "workspace" }) {
        if (given.count(name) == 0)
            continue;
        target += separator + std::string(name) + '=' + percentEncode(given[name].as<std::string>());
        separator = '&';
    }
    const auto answer = queryInternal(instance.value(), target, "explain");
    if (!answer)
        return reportInternalError(answer.error());
    std::cout << (given.count("json") > 0 ? encodeJson(answer.value()) : describeExplanation(answer.value()));
    if (answer.value()["outcome"] != "no-route")
        return ExitCode::Success;
    std::cerr << "wagtailrack: the configuration in force has no such route\n";
    return ExitCode::Invalid;
}

}
