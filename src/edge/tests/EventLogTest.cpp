#include <wagtailrack/edge/EventLog.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(EventLog)
{
    FakeClock clock;
    std::array<int, 2> ends {};

    void setup() override { CHECK_EQUAL(0, ::pipe(this->ends.data())); }

    void teardown() override
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    std::string read()
    {
        std::array<char, 8192> buffer {};
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t size = ::read(this->ends[0], buffer.data(), buffer.size());
        return size > 0 ? std::string(buffer.data(), static_cast<size_t>(size)) : std::string();
    }
};

// Guards against values that break a line or can be read as other fields.
TEST(EventLog, valuesAreQuotedAndStayOnOneLine)
{
    EventLog log(this->clock, "n1", this->ends[1]);
    log.write(LogCategory::ProcessState, "start", { { "text", "a b\n\"c\"" }, { "number", int64_t(5) } });
    log.flush();
    STRCMP_EQUAL("time=1700001000000 instance=n1 event=start text=\"a b?\\\"c\\\"\" number=5\n", this->read().c_str());
}

// Guards against a log volume that grows with the request rate. Lines on the state of the process are not limited.
TEST(EventLog, requestLinesAreLimitedAndDroppedLinesAreReported)
{
    EventLog log(this->clock, "n1", this->ends[1]);
    for (int line = 0; line < EventLog::maximumRequestLinesPerSecond + 20; ++line)
        log.write(LogCategory::Request, "request", {});
    LONGS_EQUAL(20, log.droppedLineCount());
    log.write(LogCategory::ProcessState, "stop", {});
    log.flush();
    std::string text = this->read();
    CHECK_TRUE(text.find("event=stop lines_dropped=20\n") != std::string::npos);
}

// Guards against a process that blocks because the reader of its log has stopped reading.
TEST(EventLog, slowReaderDoesNotBlock)
{
    EventLog log(this->clock, "n1", this->ends[1]);
    const std::string filler(1000, 'x');
    for (int line = 0; line < 2000; ++line) {
        log.write(LogCategory::ProcessState, "filler", { { "text", filler } });
        log.flush();
    }
    CHECK_TRUE(log.droppedLineCount() > 0);
}
