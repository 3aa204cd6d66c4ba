#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/MetadataStore.h>
#include <wagtailrack/edge/RoutingTable.h>

#include <optional>
#include <string>

namespace wagtailrack::edge {

// Where things lie in the store.
struct StoreLayout {
    std::string operatorPrefix;
    std::string serverPrefix;
    std::string instancePrefix;
};

// Reads what others wrote into the store. Pure; lives for the process.
class ClusterCodec {
public:
    virtual ~ClusterCodec() = default;

    virtual StoreLayout layout() const = 0;
    virtual bool isConfiguration(const std::string& key) const = 0;
    virtual Result<RoutingTablePointer> decodeConfiguration(const std::string& text) const = 0;
    virtual Result<ServerRecord> decodeServer(const StoreItem& item) const = 0;
    // The failure domain that the key evacuates; nothing for other keys.
    virtual std::optional<std::string> evacuatedDomain(const std::string& key) const = 0;
};

}
