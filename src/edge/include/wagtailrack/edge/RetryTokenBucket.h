#pragma once

#include <algorithm>

namespace wagtailrack::edge {

// Bounds the requests of one service that are sent to a second server. The total over all instances stays within
// ratio x requests + slack in any window, because each instance earns tokens only from its own requests and holds a
// share of the slack. Lives for the process, one for each service; used by one thread.
class RetryTokenBucket {
public:
    // Part of the permitted ratio that is used; the rest covers requests counted in a neighbouring window.
    static constexpr double ratioSafetyFactor = 0.8;

    void recordRequest(double ratio, double slackShare) noexcept
    {
        this->tokens = std::min(this->tokens + ratio * ratioSafetyFactor, std::max(slackShare, 1.0));
    }

    bool tryTakeToken() noexcept
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double tokens = 1;
};

}
