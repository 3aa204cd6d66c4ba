#pragma once

#include <wagtailrack/base/Clock.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wagtailrack::edge {

// One field of a log line.
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
    // What the process believes: always written.
    ProcessState,
    // One request: dropped when there are too many; the number of dropped lines is told in the next line.
    Request,
};

// Structured lines "time=... event=... key=value ..." on standard output. Never waits: lines that the reader does not
// take in time are dropped and counted. Lives for the process; used by one thread.
class EventLog {
public:
    // Lines for requests in one second.
    static constexpr int64_t maximumRequestLinesPerSecond = 100;
    // Bytes that wait for a slow reader.
    static constexpr size_t maximumPendingBytes = 262'144;

    EventLog(const Clock& clock, std::string instance, int descriptor);

    void write(LogCategory importance, const char* event, std::initializer_list<LogField> fields);
    // Writes what is pending as far as the reader takes it.
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
