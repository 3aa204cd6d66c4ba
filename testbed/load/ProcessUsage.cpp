#include "ProcessUsage.h"

#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <sstream>

namespace wagtailrack::testbed {

double processorSeconds(pid_t process)
{
    std::ifstream stream("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(stream, line);
    const size_t afterName = line.rfind(')');
    if (afterName == std::string::npos)
        return 0;
    std::istringstream fields(line.substr(afterName + 1));
    std::string skipped;
    // The state and ten numbers stand before the user and system times.
    for (int field = 0; field < 11; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int64_t residentKilobytes(pid_t process)
{
    std::ifstream stream("/proc/" + std::to_string(process) + "/status");
    std::string key;
    int64_t value = 0;
    while (stream >> key) {
        if (key == "VmRSS:" && stream >> value)
            return value;
    }
    return 0;
}

std::optional<WallTime> loggedTime(const std::string& path, const std::string& text)
{
    std::ifstream stream(path);
    std::string line;
    while (std::getline(stream, line)) {
        if (line.find(text) == std::string::npos)
            continue;
        std::tm parts {};
        long microseconds = 0;
        if (std::sscanf(line.c_str() + 1, "%4d%2d%2d %2d:%2d:%2d.%6ld", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &microseconds)
            != 7)
            return std::nullopt;
        parts.tm_year -= 1900;
        parts.tm_mon -= 1;
        parts.tm_isdst = -1;
        return std::chrono::system_clock::from_time_t(std::mktime(&parts)) + std::chrono::microseconds(microseconds);
    }
    return std::nullopt;
}

}
