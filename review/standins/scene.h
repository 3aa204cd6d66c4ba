// Stand-ins for the scripts of the review: the platform's store, backend servers, callers, and the platform that
// starts, watches and stops the program's own processes. Loopback addresses and the real clock only.
#pragma once

#include "deployment.h"
#include "server.h"

namespace scene {

// Runs `body` with a temporary folder; returns the exit status of the case.
inline int runScene(
    const std::string& recordPath, const std::function<bool(const std::string& folder, bool trouble)>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::shared().open(recordPath);
    const char* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::string(setting) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "wagtailrack-review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return 2;
    int status = 2;
    try {
        if (!std::filesystem::exists("target/wagtailrack"))
            throw CannotRun { "target/wagtailrack has not been built" };
        status = body(folder, hasTrouble) ? 1 : 0;
    } catch (const CannotRun& failure) {
        Record::shared().line("cannot run: %s", failure.reason.c_str());
    }
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder);
    Record::shared().line("exit status %d", status);
    std::printf("exit status %d\n", status);
    std::fflush(stdout);
    // Threads of open connections end with the process.
    std::_Exit(status);
}

}
