#include "ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

extern char** environ;

namespace wagtailrack::testbed {

ChildProcess::ChildProcess(const std::vector<std::string>& commandLine, const std::string& logPath)
{
    std::vector<char*> arguments;
    arguments.reserve(commandLine.size() + 1);
    for (const std::string& argument : commandLine)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&this->processId, arguments[0], &files, nullptr, arguments.data(), environ) != 0) {
        std::fprintf(stderr, "cannot start %s\n", arguments[0]);
        std::abort();
    }
    posix_spawn_file_actions_destroy(&files);
}

ChildProcess::~ChildProcess()
{
    if (this->processId < 0 || this->exitCode)
        return;
    this->kill();
    this->waitForExit(SteadyTime::max());
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : processId(std::exchange(other.processId, -1))
    , exitCode(other.exitCode)
{
}

void ChildProcess::signal(int number) const noexcept
{
    if (this->processId > 0 && !this->exitCode)
        ::kill(this->processId, number);
}

void ChildProcess::terminate() const noexcept { this->signal(SIGTERM); }

void ChildProcess::kill() const noexcept { this->signal(SIGKILL); }

void ChildProcess::freeze() const noexcept { this->signal(SIGSTOP); }

void ChildProcess::resume() const noexcept { this->signal(SIGCONT); }

void ChildProcess::reload() const noexcept { this->signal(SIGHUP); }

std::optional<int> ChildProcess::waitForExit(SteadyTime deadline)
{
    constexpr Milliseconds pollInterval { 10 };
    while (!this->exitCode) {
        int status = 0;
        const pid_t ended = waitpid(this->processId, &status, WNOHANG);
        if (ended == this->processId)
            this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        else if (ended < 0 || std::chrono::steady_clock::now() >= deadline)
            break;
        else
            std::this_thread::sleep_for(pollInterval);
    }
    return this->exitCode;
}

bool ChildProcess::isRunning() { return !this->waitForExit(SteadyTime::min()); }

pid_t ChildProcess::id() const noexcept { return this->processId; }

}
