// Time, the record of what happened, and lifetimes of a scene.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace scene {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point sceneStart = Clock::now();

// Milliseconds since the scene began.
inline int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sceneStart).count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleepUntilMs(int64_t ms) { sleepMs(std::max<int64_t>(0, ms - nowMs())); }

// What was sent, answered and run: one line for each event, with the time in milliseconds.
class Record {
public:
    static Record& shared()
    {
        static Record record;
        return record;
    }
    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(this->mutex);
        if (!this->file)
            return;
        std::fprintf(this->file, "%8lld ", static_cast<long long>(nowMs()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

// The case could not run: ends with status 2.
struct CannotRun {
    std::string reason;
};

// Creates an object that lives until the process ends, because the threads of its connections do.
template <typename Type, typename... Arguments> Type& makeLasting(Arguments&&... arguments)
{
    return *new Type(std::forward<Arguments>(arguments)...);
}

}
