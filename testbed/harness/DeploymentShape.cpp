#include "DeploymentShape.h"

#include <sstream>

namespace wagtailrack::testbed {

namespace {

constexpr size_t domainsPerRegion = 2;
constexpr int firstClientNetwork = 10;
constexpr int firstServerPort = 20'000;

std::string regionOf(const std::string& failureDomain) { return failureDomain.substr(0, failureDomain.rfind('-')); }

}

std::vector<std::string> DeploymentShape::failureDomains() const
{
    std::vector<std::string> names;
    for (const std::string& region : this->regions) {
        for (size_t domain = 1; domain <= domainsPerRegion; ++domain)
            names.push_back(region + "-" + std::to_string(domain));
    }
    return names;
}

std::vector<InstanceDescription> DeploymentShape::instanceDescriptions() const
{
    const std::vector<std::string> domains = this->failureDomains();
    std::vector<InstanceDescription> descriptions;
    for (int64_t number = 0; number < this->instances; ++number) {
        const std::string& domain = domains[static_cast<size_t>(number) % domains.size()];
        const auto round = static_cast<char>('a' + static_cast<size_t>(number) / domains.size());
        descriptions.push_back({ domain + round, domain });
    }
    return descriptions;
}

int64_t DeploymentShape::latencyMs(const std::string& from, const std::string& to) const
{
    if (from == to)
        return 0;
    return regionOf(from) == regionOf(to) ? this->domainLatencyMs : this->regionLatencyMs;
}

std::string DeploymentShape::routesText() const
{
    std::ostringstream text;
    for (const ServiceShape& service : this->services) {
        text << "[[route]]\nname = \"" << service.name << "\"\npath_prefix = \"" << service.pathPrefix
             << "\"\nmethods = [\"" << service.method << "\"]\npool = \"" << service.name << "\"\nclass = \""
             << service.requestClass << "\"\nidempotent = " << (service.isOrder() ? "false" : "true")
             << "\ndeadline_ms = " << service.deadlineMs << "\n\n";
    }
    const std::vector<std::string> domains = this->failureDomains();
    for (size_t index = 0; index < domains.size(); ++index)
        text << "[[client_block]]\nprefix = \"127." << firstClientNetwork + static_cast<int>(index)
             << ".0.0/16\"\nfailure_domain = \"" << domains[index] << "\"\n\n";
    return text.str();
}

std::string DeploymentShape::poolsText() const
{
    std::ostringstream text;
    const std::vector<std::string> domains = this->failureDomains();
    for (const std::string& domain : domains)
        text << "[[failure_domain]]\nname = \"" << domain << "\"\nregion = \"" << regionOf(domain) << "\"\n\n";
    for (size_t first = 0; first < this->regions.size(); ++first) {
        for (size_t second = first + 1; second < this->regions.size(); ++second)
            text << "[[link]]\nregions = [\"" << this->regions[first] << "\", \"" << this->regions[second]
                 << "\"]\nmbit_per_second = " << this->megabitsPerSecond << "\nlatency_ms = " << this->regionLatencyMs
                 << "\n\n";
    }
    int port = firstServerPort;
    for (const ServiceShape& service : this->services) {
        text << "[[pool]]\nname = \"" << service.name << "\"\nslots = " << service.slots
             << "\nqueue_length = 32\nfirst_byte_timeout_ms = " << service.deadlineMs / 2
             << "\nramp_ms = 2000\nshift_step = 20\nshift_interval_ms = 1000\nhedge = "
             << (service.requestClass == "interactive" ? "true" : "false") << "\n\n";
        for (int64_t number = 0; number < service.servers; ++number)
            text << "[[pool.server]]\naddress = \"127.0.0.1:" << port++ << "\"\nfailure_domain = \""
                 << domains[static_cast<size_t>(number) % domains.size()] << "\"\n\n";
    }
    return text.str();
}

std::string clientAddress(size_t domainIndex, size_t client)
{
    constexpr size_t hostsPerByte = 250;
    return "127." + std::to_string(static_cast<size_t>(firstClientNetwork) + domainIndex) + "."
        + std::to_string(client / hostsPerByte) + "." + std::to_string(1 + client % hostsPerByte);
}

DeploymentShape verbandShape()
{
    return { "verband", { "muenchen", "nuernberg", "augsburg" }, 1, 55, 8, 4000, 8,
        { { "price-stock", "/prices", "GET", "interactive", 1000, 12, 3, 5 },
            { "purchase-order", "/orders", "POST", "order", 3000, 12, 3, 15 },
            { "sync", "/sync", "GET", "deferrable", 5000, 14, 3, 30 } } };
}

DeploymentShape authorityShape()
{
    return { "authority", { "kutch", "saurashtra", "south-guj" }, 2, 20, 1, 4000, 10,
        { { "bulletins", "/bulletins", "GET", "interactive", 1000, 12, 3, 5 },
            { "closure-orders", "/closures", "POST", "order", 3000, 12, 3, 15 },
            { "records", "/records", "GET", "deferrable", 5000, 22, 4, 30 } } };
}

DeploymentShape smallShape()
{
    return { "small", { "north", "south" }, 0, 2, 0, 4000, 5,
        { { "prices", "/prices", "GET", "interactive", 2000, 4, 3, 5 },
            { "orders", "/orders", "POST", "order", 3000, 4, 3, 10 } } };
}

}
