#include <wagtailrack/edge/EventLog.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <charconv>

namespace wagtailrack::edge {

namespace {

// Quotes empty values and values with blanks, quotes, backslashes, equals signs or control characters, so that a value
// cannot be read as further fields. Replaces control characters, so that a line stays one line.
std::string quoteIfNeeded(std::string_view text)
{
    bool isPlain = !text.empty();
    for (const char character : text) {
        if (character <= ' ' || character == '"' || character == '\\' || character == '=' || character == 127)
            isPlain = false;
    }
    if (isPlain)
        return std::string(text);
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\')
            quoted += '\\';
        quoted += static_cast<unsigned char>(character) < ' ' ? '?' : character;
    }
    return quoted + '"';
}

}

LogField::LogField(const char* name, std::string_view text)
    : name(name)
    , value(quoteIfNeeded(text))
{
}

LogField::LogField(const char* name, const char* text)
    : LogField(name, std::string_view(text))
{
}

LogField::LogField(const char* name, const std::string& text)
    : LogField(name, std::string_view(text))
{
}

LogField::LogField(const char* name, int64_t number)
    : name(name)
    , value(std::to_string(number))
{
}

LogField::LogField(const char* name, uint64_t number)
    : name(name)
    , value(std::to_string(number))
{
}

LogField::LogField(const char* name, int number)
    : name(name)
    , value(std::to_string(number))
{
}

EventLog::EventLog(const Clock& clock, std::string instance, int descriptor)
    : clock(clock)
    , instance(std::move(instance))
    , descriptor(descriptor)
{
}

bool EventLog::admitLine(LogCategory importance)
{
    const SteadyTime now = this->clock.now();
    if (now >= this->rateWindowEndsAt) {
        this->rateWindowEndsAt = now + Milliseconds(1000);
        this->linesInRateWindow = 0;
    }
    ++this->linesInRateWindow;
    if (this->pending.size() >= maximumPendingBytes)
        return false;
    return importance == LogCategory::ProcessState || this->linesInRateWindow <= maximumRequestLinesPerSecond;
}

void EventLog::write(LogCategory importance, const char* event, std::span<const LogField> fields)
{
    if (!this->admitLine(importance)) {
        ++this->totalDroppedLines;
        return;
    }
    std::string& line = this->pending;
    line += "time=";
    line += std::to_string(toUnixMilliseconds(this->clock.wallNow()));
    line += " instance=";
    line += this->instance;
    line += " event=";
    line += event;
    for (const LogField& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += field.value;
    }
    if (this->totalDroppedLines != this->reportedDroppedLines) {
        line += " lines_dropped=";
        line += std::to_string(this->totalDroppedLines - this->reportedDroppedLines);
        this->reportedDroppedLines = this->totalDroppedLines;
    }
    line += '\n';
}

void EventLog::flush()
{
    while (!this->pending.empty()) {
        // poll() shows whether a write would block. The descriptor is not made non-blocking, because other processes
        // share that mode.
        pollfd state { this->descriptor, POLLOUT, 0 };
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
            return;
        // A pipe that is reported as writable accepts at least this many bytes without blocking.
        constexpr size_t atomicBytes = 4096;
        const size_t size = std::min(this->pending.size(), atomicBytes);
        const ssize_t written = ::write(this->descriptor, this->pending.data(), size);
        if (written <= 0) {
            // The reader has closed the descriptor, so the buffered lines cannot be delivered.
            this->pending.clear();
            return;
        }
        this->pending.erase(0, static_cast<size_t>(written));
    }
}

}
