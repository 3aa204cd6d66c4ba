#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <string>
#include <vector>

namespace wagtailrack::process {

// One entry of the platform's list.
struct ListedInstance {
    std::string name;
    std::string failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    bool isLeaving = false;

    friend auto operator<=>(const ListedInstance&, const ListedInstance&) = default;
};

// The platform's list of live and leaving instances, which lags behind the real state. The only class to replace for
// a list with another wire format. Lives for the process; may be called by any thread.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    // Fails with ConnectFailed, ConnectionLost, TimedOut or AnswerInvalid.
    virtual Result<std::vector<ListedInstance>> read(SteadyTime deadline) = 0;
};

}
