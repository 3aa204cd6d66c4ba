#pragma once

#include <wagtailrack/base/Clock.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// A process that a test started; ends with the test. Used by one thread. All signals go to its process id only.
//
//     ChildProcess instance({ binary, "serve", "--settings", path }, logPath);
//     instance.freeze();
//     instance.resume();
//     instance.terminate();
//     std::optional<int> code = instance.waitForExit(std::chrono::steady_clock::now() + std::chrono::seconds(5));
class ChildProcess {
public:
    // Starts the program; its standard output and error are appended to `logPath`. Aborts the test program when the
    // program cannot be started.
    ChildProcess(const std::vector<std::string>& commandLine, const std::string& logPath);
    // Kills the process if it still runs.
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&&) = delete;

    void terminate() const noexcept; // SIGTERM
    void kill() const noexcept; // SIGKILL
    void freeze() const noexcept; // SIGSTOP
    void resume() const noexcept; // SIGCONT
    void reload() const noexcept; // SIGHUP

    // Exit code, or minus the signal's number; nothing when it still runs at the deadline.
    std::optional<int> waitForExit(SteadyTime deadline);
    bool isRunning();
    pid_t id() const noexcept;

private:
    void signal(int number) const noexcept;

    pid_t processId = -1;
    std::optional<int> exitCode;
};

}
