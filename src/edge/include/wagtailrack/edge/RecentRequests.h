#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/edge/CrashDetector.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace wagtailrack::edge {

// What is kept of a caller's request, so that an operator can ask about it by its id. Has no API key: neither header
// fields nor the query, which may contain one.
struct RecentRequest {
    std::string id;
    std::string route;
    std::string object;
    std::string workspace;
    std::string host;
    std::string method;
    std::string path;
    RequestFingerprint fingerprint = 0;
    // Whether the path was longer than what is kept.
    bool isPathTruncated = false;

    friend bool operator==(const RecentRequest&, const RecentRequest&) = default;
};

// The requests of the last minute, fewer if there were many. Lost at a restart. Lives as long as its owner; used by one
// thread.
class RecentRequests {
public:
    static constexpr std::chrono::seconds retentionTime { 60 };
    // 68 requests a second for a minute; an instance of the larger deployment gets about 20.
    static constexpr size_t maximumRequests = 4096;
    // Longest path, id and object that are kept whole; a host's longest name is shorter.
    static constexpr size_t maximumTextBytes = 512;
    // Under 2% of the memory of the smallest instance (112 MB).
    static constexpr size_t maximumBytes = 2'000'000;

    explicit RecentRequests(const Clock& clock)
        : clock(clock)
    {
    }

    // Drops the query of the path and what exceeds the bounds, and a request without an id.
    void add(RecentRequest request);
    // Returns the newest request with this id.
    std::optional<RecentRequest> find(const std::string& id) const;
    size_t size() const noexcept { return this->requests.size(); }
    size_t bytes() const noexcept { return this->heldBytes; }

private:
    struct Entry {
        RecentRequest request;
        SteadyTime addedAt;
    };

    static size_t bytesOf(const RecentRequest& request) noexcept;

    const Clock& clock;
    // The oldest first.
    std::deque<Entry> requests;
    size_t heldBytes = 0;
};

}
