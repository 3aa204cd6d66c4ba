#pragma once

#include <wagtailrack/base/Clock.h>

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailrack::testbed {

// What a running process has used so far, from /proc; 0 when it does not run. The resolution is one clock tick.
double processorSeconds(pid_t process);
int64_t residentKilobytes(pid_t process);

// Time of the first glog line of a file that contains `text`.
std::optional<WallTime> loggedTime(const std::string& path, const std::string& text);

}
