#include <harness/ChildProcess.h>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace wagtailrack;
using namespace wagtailrack::testbed;

namespace {

// Plays the soak of a seed, prints its report if it fails, and returns its exit code, or -1 if it lasts too long.
int playSoak(const std::string& seed)
{
    const std::string folder = std::string(BINARY_FOLDER) + "/soak-" + seed;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const std::string report = folder + "/report.txt";
    ChildProcess soak({ TESTBED_BINARY, "soak", "--seed", seed, "--seconds", "35", "--instances", "3", "--rate", "60",
                          "--binaries", BINARY_FOLDER, "--folder", folder },
        report);
    const int code = soak.waitForExit(std::chrono::steady_clock::now() + std::chrono::seconds(150)).value_or(-1);
    if (code != 0)
        std::cout << std::ifstream(report).rdbuf() << std::flush;
    return code;
}

}

TEST_GROUP(Soak) {};

// Guards against rules that break under planned work: stops, reloads, new versions, evacuations and servers that leave.
TEST(Soak, plannedWorkBreaksNoRule) { LONGS_EQUAL(0, playSoak("4")); }

// Guards against rules that break while instances are killed, links are reset and the store is down as well.
TEST(Soak, faultsOfAllKindsBreakNoRule) { LONGS_EQUAL(0, playSoak("11")); }
