#pragma once

#include <algorithm>

namespace wagtailrack::edge {

// Limits the requests of one service that are sent to a second server (retries). The total over all instances stays
// within ratio x requests + slack in any time window, because each instance earns tokens only from its own requests and
// its bucket holds only its share of the slack. One object for each service, for the lifetime of the process; used by
// one thread.
class RetryTokenBucket {
public:
    // Fraction of the permitted ratio that is used. The rest covers requests that earned a token in one window whose
    // retry is sent in the next one.
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
