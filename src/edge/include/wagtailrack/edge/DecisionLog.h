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

enum class LogImportance {
    // What the process believes: always written.
    State,
    // One request: dropped when there are too many; the number of dropped lines is told in the next line.
    Request,
};

// Structured lines "time=... event=... key=value ..." on standard output. Never waits: lines that the reader does not
// take in time are dropped and counted. Lives for the process; used by one thread.
class DecisionLog {
public:
    // Lines for requests in one second.
    static constexpr int64_t requestLinesPerSecond = 100;
    // Bytes that wait for a slow reader.
    static constexpr size_t maximumPendingBytes = 262'144;

    DecisionLog(const Clock& clock, std::string instance, int descriptor);

    void write(LogImportance importance, const char* event, std::initializer_list<LogField> fields);
    // Writes what is pending as far as the reader takes it.
    void flush();
    uint64_t droppedLines() const noexcept { return this->dropped; }

private:
    bool mayWrite(LogImportance importance);

    const Clock& clock;
    std::string instance;
    int descriptor;
    std::string pending;
    SteadyTime secondEnds;
    int64_t linesInSecond = 0;
    uint64_t dropped = 0;
    uint64_t reportedDropped = 0;
};

}
