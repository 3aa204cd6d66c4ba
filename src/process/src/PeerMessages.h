#pragma once

#include <wagtailrack/process/Membership.h>
#include <wagtailrack/process/PeerHooks.h>

#include <json/value.h>

namespace wagtailrack::process {

inline constexpr char peerPath[] = "/rpc";
// HTTP heads as cpp-httplib 0.11.4 writes them for these messages, counted on the wire.
inline constexpr size_t requestHeadBytes = 175;
inline constexpr size_t responseHeadBytes = 105;

// Bounds of what one message may carry.
inline constexpr size_t maxMembersInMessage = 2048;
inline constexpr size_t maxFailureDomains = 1024;
inline constexpr size_t maxCrashesInMessage = 10'000;

// Encoding of what peers tell each other. Members and crash records are arrays in place of objects, because the key
// names would be half of the bytes. Every decoder throws connection::JsonRpcFailure with the code for invalid
// parameters when the value is not exactly what the encoder writes.

Json::Value encodeMembers(const std::vector<Member>& members);
std::vector<Member> decodeMembers(const Json::Value& value);
Json::Value encodeMember(const Member& member);
Member decodeMember(const Json::Value& value);

Json::Value encodeDigests(const MemberDigests& digests);
MemberDigests decodeDigests(const Json::Value& value);

// Writes `generation` and `digest` into a message.
void setVersion(Json::Value& message, const version::VersionId& id);
version::VersionId versionOf(const Json::Value& message);

Json::Value encodeCrashes(const CrashNews& news);
CrashNews decodeCrashes(const Json::Value& value);

// A string field, at most `maxBytes` long.
std::string stringField(const Json::Value& message, const char* key, size_t maxBytes);
// Strings of an array field.
std::vector<std::string> stringsField(const Json::Value& message, const char* key, size_t maxCount);
// A field that must be an object of the message; null when it is missing.
const Json::Value& field(const Json::Value& message, const char* key);

}
