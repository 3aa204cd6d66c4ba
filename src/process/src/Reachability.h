#pragma once

#include <wagtailrack/process/Membership.h>
#include <wagtailrack/process/PeerService.h>

#include <map>
#include <mutex>

namespace wagtailrack::process {

// Which failure domains can be reached, shared inside the own failure domain: at the target size one member contacts
// each other failure domain only every five minutes, its failure domain together every twelve seconds. The newest
// observation counts. Owned by PeerNetwork; may be called by any thread.
class Reachability {
public:
    Reachability(const Clock& clock, Membership& membership);

    // This instance has contacted the failure domain, or failed to.
    void observe(const std::string& failureDomain, bool isReachable);
    void merge(const std::vector<ReachabilityNews>& news);
    // Recent changes to send along with a message.
    std::vector<ReachabilityNews> take();

private:
    struct Observation {
        bool isReachable = true;
        SteadyTime at;
        int sends = 0;
    };

    void apply(const std::string& failureDomain, bool isReachable, SteadyTime at);

    const Clock& clock;
    Membership& membership;
    std::mutex mutex;
    std::map<std::string, Observation> observations;
};

}
