#pragma once

#include <atomic>
#include <cstdint>

namespace wagtailrack::process {

// Control traffic of this instance since its start: HTTP heads and bodies, without TCP and IP headers. Lives for the
// process; may be used by any thread.
struct PeerTraffic {
    std::atomic<uint64_t> callsSent { 0 };
    std::atomic<uint64_t> callsFailed { 0 };
    std::atomic<uint64_t> callsReceived { 0 };
    std::atomic<uint64_t> bytesSent { 0 };
    std::atomic<uint64_t> bytesReceived { 0 };
};

}
