#pragma once

#include <wagtailrack/edge/ClusterCodec.h>
#include <wagtailrack/edge/CrashQuarantine.h>
#include <wagtailrack/edge/EventLog.h>
#include <wagtailrack/edge/InstanceMembership.h>
#include <wagtailrack/edge/MetadataStore.h>

#include <wagtailrack/process/Metrics.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::edge {

// Brings the quarantines of all instances into agreement. Datagrams tell every instance of a change at once; summaries,
// to some instances in turn, reach those that were cut off or started later. The reader of each region keeps the
// quarantines in the store, so that they outlive all processes and reach instances that cannot reach any other.
//
// An entry in the store is removed some time after it was last written, and is written again while a quarantine lasts.
// Lives for the process; used by one thread.
class QuarantineExchange {
public:
    struct Datagram {
        // IPv4 address in host byte order.
        uint32_t target = 0;
        std::string bytes;
    };

    QuarantineExchange(const Clock& clock, CrashQuarantine& quarantine, const InstanceMembership& membership,
        MetadataStore& store, const ClusterCodec& codec, process::Metrics& metrics, EventLog& log);

    // Returns the datagrams that are due. Must be called often; most calls return none.
    std::vector<Datagram> collectDueDatagrams();
    // Processes a datagram; returns false if it is malformed.
    bool receive(std::string_view bytes);

    // Reads the quarantines from the store and writes those that it lacks. Does nothing before the next exchange is
    // due: `isReader` says whether this instance reads the store for its region; others do so once, after their start.
    asio::awaitable<void> exchangeWithStore(bool isReader);

private:
    // The value of an entry of the store: a quarantine, or when an operator cleared the request.
    struct StoredEntry {
        bool isCleared = false;
        SteadyTime beganAt;
        SteadyTime lastRequestAt;
        StoreRevision revision;
    };

    void applyListing(const StoreListing& listing);
    // Writes what the store lacks of the quarantines and clearances known here.
    asio::awaitable<void> writeMissing();
    asio::awaitable<void> write(RequestFingerprint request, StoredEntry entry);
    std::string encode(const StoredEntry& entry) const;
    std::optional<StoredEntry> decode(const StoreItem& item) const;

    const Clock& clock;
    CrashQuarantine& quarantine;
    const InstanceMembership& membership;
    MetadataStore& store;
    const ClusterCodec& codec;
    process::Metrics& metrics;
    EventLog& log;
    SteadyTime nextSummaryAt;
    SteadyTime nextExchangeAt;
    bool hasReadStore = false;
    std::map<RequestFingerprint, StoredEntry> stored;
};

}
