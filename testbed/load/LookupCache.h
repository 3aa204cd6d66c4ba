#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Endpoint.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wagtailrack::testbed {

// Look-up answers of one client block, kept until their validity ends. May be called by any thread.
class LookupCache {
public:
    // Instances to use for a service, best first; nothing when there is no valid answer.
    std::optional<std::vector<Endpoint>> find(const std::string& service) const;
    void store(const std::string& service, std::vector<Endpoint> instances, SteadyTime validUntil);
    // Forgets the answer, after all of its instances failed.
    void drop(const std::string& service);

private:
    struct Answer {
        std::vector<Endpoint> instances;
        SteadyTime validUntil;
    };

    mutable std::mutex mutex;
    std::map<std::string, Answer> answers;
};

}
