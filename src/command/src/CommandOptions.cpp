#include "CommandOptions.h"

#include <iostream>

namespace wagtailrack::command {

ParsedOptions parseOptions(cxxopts::Options& options, int argumentCount, char** arguments)
{
    options.add_options()("h,help", "print this help");
    try {
        auto result = options.parse(argumentCount, arguments);
        if (result.count("help") > 0) {
            std::cout << options.help();
            return { std::nullopt, ExitCode::Success };
        }
        if (!result.unmatched().empty()) {
            std::cerr << "wagtailrack: unexpected argument " << result.unmatched().front() << '\n';
            return { std::nullopt, ExitCode::Usage };
        }
        return { std::move(result), ExitCode::Success };
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "wagtailrack: " << failure.what() << '\n';
        return { std::nullopt, ExitCode::Usage };
    }
}

}
