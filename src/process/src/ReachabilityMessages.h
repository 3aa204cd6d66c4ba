#pragma once

#include <wagtailrack/process/PeerService.h>

#include <json/value.h>

namespace wagtailrack::process {

// As in PeerMessages.h. A missing value stands for an empty list, so that most probes do not carry it.
Json::Value encodeReachability(const std::vector<ReachabilityNews>& news);
std::vector<ReachabilityNews> decodeReachability(const Json::Value& value);

}
