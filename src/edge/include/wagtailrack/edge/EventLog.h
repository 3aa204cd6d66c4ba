#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace wagtailrack::edge {

// A name and a value that is quoted if necessary.
struct LogField {
    LogField(const char* name, std::string_view text);
    LogField(const char* name, const char* text);
    LogField(const char* name, const std::string& text);
    LogField(const char* name, int64_t number);
    LogField(const char* name, uint64_t number);
    LogField(const char* name, int number);

    const char* name;
    std::string value;
};

enum class LogCategory {
    // A change of the process's own state: exempt from the limit on lines per second.
    ProcessState,
    // The outcome of one request: dropped when the limit is exceeded. The next line that is written reports the number
    // of dropped lines.
    Request,
};

// Writes structured lines "time=... instance=... event=... key=value ..." to a file descriptor, for example standard
// output. Never blocks: lines that the reader does not read in time are dropped and counted. Lives for the process;
// used by one thread.
class EventLog {
public:
    // Lines of both categories count towards this limit, but only request lines are dropped because of it.
    static constexpr int64_t maximumRequestLinesPerSecond = 100;
    // Limit on the bytes that are buffered for a slow reader; beyond it, lines of both categories are dropped.
    static constexpr size_t maximumPendingBytes = 262'144;

    EventLog(const Clock& clock, std::string instance, int descriptor);

    void write(LogCategory importance, const char* event, std::initializer_list<LogField> fields)
    {
        this->write(importance, event, std::span(fields.begin(), fields.size()));
    }
    void write(LogCategory importance, const char* event, std::span<const LogField> fields);
    // Writes buffered lines until none is left or the next write would block.
    void flush();
    uint64_t droppedLineCount() const noexcept { return this->totalDroppedLines; }

private:
    bool admitLine(LogCategory importance);

    const Clock& clock;
    std::string instance;
    int descriptor;
    std::string pending;
    SteadyTime rateWindowEndsAt;
    int64_t linesInRateWindow = 0;
    uint64_t totalDroppedLines = 0;
    uint64_t reportedDroppedLines = 0;
};

}
