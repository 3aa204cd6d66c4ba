#include "ReachabilityMessages.h"

#include "PeerMessages.h"

#include <wagtailrack/connection/JsonRpc.h>

namespace wagtailrack::process {

Json::Value encodeReachability(const std::vector<ReachabilityNews>& news)
{
    Json::Value value(Json::arrayValue);
    for (const ReachabilityNews& entry : news) {
        Json::Value item(Json::arrayValue);
        item.append(entry.failureDomain);
        item.append(entry.isReachable);
        item.append(Json::Int64(entry.age.count()));
        value.append(item);
    }
    return value;
}

std::vector<ReachabilityNews> decodeReachability(const Json::Value& value)
{
    if (value.isNull())
        return {};
    constexpr Json::Int64 maxAgeMs = 86'400'000;
    const connection::JsonRpcFailure malformed { -32602, "domains are malformed" };
    if (!value.isArray() || value.size() > maxFailureDomains)
        throw malformed;
    std::vector<ReachabilityNews> news;
    for (const Json::Value& item : value) {
        if (!item.isArray() || item.size() != 3 || !item[0].isString() || !item[1].isBool() || !item[2].isInt64())
            throw malformed;
        if (item[2].asInt64() < 0 || item[2].asInt64() > maxAgeMs)
            throw malformed;
        news.push_back({ item[0].asString(), item[1].asBool(), Milliseconds(item[2].asInt64()) });
    }
    return news;
}

}
