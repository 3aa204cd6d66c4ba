#include <wagtailrack/process/Settings.h>

#include <wagtailrack/version/TomlReader.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace wagtailrack::process {

namespace {

constexpr int64_t maxValidityMs = 600'000;

Endpoint readEndpoint(version::TomlReader& reader, const std::string& key)
{
    const std::string text = reader.requiredString(key);
    const auto endpoint = Endpoint::parse(text);
    if (endpoint)
        return endpoint.value();
    reader.fail(endpoint.error().code, key, endpoint.error().detail);
    return {};
}

// Names appear in order keys, whose parts are separated by dots.
bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

}

Result<Settings> parseSettings(std::string_view text, const std::string& file)
{
    auto document = version::parseToml(text, file);
    if (!document)
        return document.error();
    version::TomlReader reader(document.value(), file, "");
    Settings settings;
    settings.name = reader.requiredString("name");
    if (!isName(settings.name))
        reader.fail(ErrorCode::OutOfRange, "name", "expected 1 to 64 letters, digits, - or _");
    settings.failureDomain = reader.requiredString("failure_domain");
    settings.callerAddress = readEndpoint(reader, "caller_address");
    settings.peerAddress = readEndpoint(reader, "peer_address");
    const std::string callerListen = reader.optionalString("caller_listen_address", "");
    settings.callerListenAddress
        = callerListen.empty() ? settings.callerAddress : readEndpoint(reader, "caller_listen_address");
    const std::string peerListen = reader.optionalString("peer_listen_address", "");
    settings.peerListenAddress
        = peerListen.empty() ? settings.peerAddress : readEndpoint(reader, "peer_listen_address");
    settings.localAddress = reader.optionalString("local_address", "");
    if (!settings.localAddress.empty() && !parseIPv4(settings.localAddress))
        reader.fail(ErrorCode::AddressInvalid, "local_address", "expected an IPv4 address");
    settings.storeAddress = readEndpoint(reader, "store_address");
    settings.instanceListAddress = readEndpoint(reader, "instance_list_address");
    for (const std::string& seed : reader.optionalStrings("seeds", {})) {
        const auto endpoint = Endpoint::parse(seed);
        if (endpoint)
            settings.seeds.push_back(endpoint.value());
        else
            reader.fail(endpoint.error().code, "seeds", endpoint.error().detail);
    }
    settings.lookupValidityMs
        = reader.optionalInteger("lookup_validity_ms", 100, maxValidityMs, settings.lookupValidityMs);
    settings.orderKeyValidityMs
        = reader.optionalInteger("order_key_validity_ms", 100, maxValidityMs, settings.orderKeyValidityMs);
    settings.leaveNoticeMs = reader.optionalInteger("leave_notice_ms", 0, maxValidityMs, settings.leaveNoticeMs);
    settings.maxConnections = reader.optionalInteger("max_connections", 1, 100'000, settings.maxConnections);
    settings.timelineEvents = reader.optionalInteger("timeline_events", 1, 10'000'000, settings.timelineEvents);
    if (auto status = reader.finish(); !status)
        return status.error();
    return settings;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return makeError(ErrorCode::Unreadable, path, "cannot open the file");
    std::ostringstream content;
    content << stream.rdbuf();
    if (stream.bad())
        return makeError(ErrorCode::Unreadable, path, "cannot read the file");
    return content.str();
}

}
