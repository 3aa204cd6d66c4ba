#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/version/Tables.h>

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailrack::process {

// Bytes that this instance may send over the links between regions: a token bucket for each direction of each link,
// filled with a part of the link's capacity. Regions without a link record have no limit. Lives for the process; may
// be called by any thread.
//
//     if (!budget.tryTake("muenchen", "augsburg", request.body.size()))
//         return refuse(...);
class LinkBudget {
public:
    static constexpr int64_t defaultPercent = 1;
    // The bucket holds what the budget fills in this time.
    static constexpr Milliseconds bucketTime { 200 };

    explicit LinkBudget(const Clock& clock, int64_t percentOfCapacity = defaultPercent);

    // Takes the links of `tables`. What has been taken from links that stay is kept.
    void update(const version::Tables& tables);

    // Takes `bytes` if the bucket has them. A full bucket gives more than it holds, so that an answer larger than the
    // bucket is possible; it then stays empty until that has been refilled.
    bool tryTake(std::string_view fromRegion, std::string_view toRegion, int64_t bytes);

    // Takes bytes that have already been sent, for example an answer whose size was not known before.
    void charge(std::string_view fromRegion, std::string_view toRegion, int64_t bytes);

private:
    struct Bucket {
        double bytesPerSecond = 0;
        // When everything taken so far has been refilled.
        SteadyTime refilledAt;
    };
    using Direction = std::pair<std::string, std::string>;

    Bucket* find(std::string_view fromRegion, std::string_view toRegion);

    const Clock& clock;
    const int64_t percent;
    std::mutex mutex;
    std::map<Direction, Bucket, std::less<>> buckets;
};

}
