#include <harness/ChildProcess.h>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <thread>

using namespace wagtailrack;
using namespace wagtailrack::testbed;

TEST_GROUP(EdgeProcess)
{
    const std::string path = std::string(BINARY_FOLDER) + "/edge-process-test.conf";

    void setup() override
    {
        ::unlink(this->path.c_str());
        LONGS_EQUAL(0, ::mkfifo(this->path.c_str(), 0600));
    }

    void teardown() override { ::unlink(this->path.c_str()); }

    // Opens the pipe for writing once the process reads its settings from it, which then waits for them.
    int awaitReader()
    {
        for (int tries = 0; tries < 1000; ++tries) {
            const int writer = ::open(this->path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            if (writer >= 0)
                return writer;
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return -1;
    }
};

// Guards against a process that is ended by a SIGHUP that comes while it starts.
TEST(EdgeProcess, reloadDuringTheStartDoesNotEndTheProcess)
{
    ChildProcess instance({ WAGTAILRACK_BINARY, "edge", "--settings", this->path }, this->path + ".log");
    const int writer = this->awaitReader();
    CHECK_TRUE(writer >= 0);
    instance.reload();
    CHECK_FALSE(instance.waitForExit(std::chrono::steady_clock::now() + Milliseconds(500)).has_value());
    ::close(writer);
}
