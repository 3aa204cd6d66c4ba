#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/edge/BackendFleet.h>
#include <wagtailrack/edge/MetadataStore.h>
#include <wagtailrack/edge/RoutingTable.h>

#include <optional>
#include <string>

namespace wagtailrack::edge {

// Prefixes of the keys in the store.
struct StoreLayout {
    std::string operatorPrefix;
    std::string serverPrefix;
    std::string instancePrefix;
    std::string quarantinePrefix;
};

// Decodes keys and values that operators and servers wrote to the store. Stateless; lives for the process.
class ClusterCodec {
public:
    virtual ~ClusterCodec() = default;

    virtual StoreLayout layout() const = 0;
    virtual bool isConfiguration(const std::string& key) const = 0;
    virtual Result<RoutingTablePointer> decodeConfiguration(const std::string& text) const = 0;
    virtual Result<ServerRecord> decodeServer(const StoreItem& item) const = 0;
    // The failure domain that an evacuation key names; nullopt for other keys.
    virtual std::optional<std::string> evacuatedDomain(const std::string& key) const = 0;
};

}
