#include "PeerMessages.h"

#include <wagtailrack/connection/JsonRpc.h>

#include <array>

namespace wagtailrack::process {

namespace {

// JSON-RPC 2.0: invalid method parameters.
constexpr int invalidParameters = -32602;
constexpr size_t maxNameBytes = 64;
constexpr size_t maxDigestBytes = 64;
constexpr size_t maxServerBytes = 64;

constexpr std::array toldStatuses { MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Leaving,
    MemberStatus::Dead };

[[noreturn]] void fail(const char* detail) { throw connection::JsonRpcFailure { invalidParameters, detail }; }

void require(bool condition, const char* detail)
{
    if (!condition)
        fail(detail);
}

std::string text(const Json::Value& value, size_t maxBytes, const char* detail)
{
    require(value.isString(), detail);
    std::string result = value.asString();
    require(result.size() <= maxBytes, detail);
    return result;
}

std::string name(const Json::Value& value)
{
    std::string result = text(value, maxNameBytes, "a name is not a string of 1 to 64 bytes");
    require(!result.empty(), "a name is empty");
    return result;
}

uint64_t number(const Json::Value& value)
{
    require(value.isUInt64(), "a number is not an unsigned integer");
    return value.asUInt64();
}

Endpoint address(const Json::Value& value)
{
    auto endpoint = Endpoint::parse(text(value, maxServerBytes, "an address is not a string"));
    require(endpoint.has_value(), "an address is not IPv4:port");
    return std::move(endpoint).value();
}

const Json::Value& array(const Json::Value& value, size_t maxCount)
{
    require(value.isArray() && value.size() <= maxCount, "a list is missing or too long");
    return value;
}

}

Json::Value encodeMember(const Member& member)
{
    Json::Value value(Json::arrayValue);
    value.append(member.name);
    value.append(member.processId);
    value.append(member.failureDomain);
    value.append(member.callerAddress.toString());
    value.append(member.peerAddress.toString());
    value.append(Json::UInt64(member.incarnation));
    value.append(toString(member.status));
    return value;
}

Member decodeMember(const Json::Value& value)
{
    require(value.isArray() && value.size() == 7, "a member is not a list of seven values");
    Member member;
    member.name = name(value[0]);
    member.processId = name(value[1]);
    member.failureDomain = name(value[2]);
    member.callerAddress = address(value[3]);
    member.peerAddress = address(value[4]);
    member.incarnation = number(value[5]);
    require(member.incarnation <= Membership::maxIncarnation, "an incarnation is out of range");
    const std::string status = text(value[6], maxNameBytes, "a status is not a string");
    for (const MemberStatus candidate : toldStatuses) {
        if (status == toString(candidate)) {
            member.status = candidate;
            return member;
        }
    }
    fail("a status is unknown");
}

Json::Value encodeMembers(const std::vector<Member>& members)
{
    Json::Value value(Json::arrayValue);
    for (const Member& member : members)
        value.append(encodeMember(member));
    return value;
}

std::vector<Member> decodeMembers(const Json::Value& value)
{
    std::vector<Member> members;
    members.reserve(array(value, maxMembersInMessage).size());
    for (const Json::Value& entry : value)
        members.push_back(decodeMember(entry));
    return members;
}

Json::Value encodeDigests(const MemberDigests& digests)
{
    Json::Value value(Json::objectValue);
    for (const auto& [failureDomain, digest] : digests)
        value[failureDomain] = Json::UInt64(digest);
    return value;
}

MemberDigests decodeDigests(const Json::Value& value)
{
    require(value.isObject() && value.size() <= maxFailureDomains, "digests are missing or too many");
    MemberDigests digests;
    for (const std::string& failureDomain : value.getMemberNames()) {
        require(!failureDomain.empty() && failureDomain.size() <= maxNameBytes, "a name is empty or too long");
        digests[failureDomain] = number(value[failureDomain]);
    }
    return digests;
}

void setVersion(Json::Value& message, const version::VersionId& id)
{
    message["generation"] = Json::UInt64(id.generation);
    message["digest"] = id.digest;
}

version::VersionId versionOf(const Json::Value& message)
{
    return { number(field(message, "generation")), stringField(message, "digest", maxDigestBytes) };
}

Json::Value encodeCrashes(const CrashNews& news)
{
    Json::Value value(Json::objectValue);
    value["deaths"] = Json::Value(Json::arrayValue);
    for (const ServerDeath& death : news.deaths) {
        Json::Value entry(Json::arrayValue);
        entry.append(Json::UInt64(death.fingerprint));
        entry.append(death.server);
        value["deaths"].append(entry);
    }
    value["refused"] = Json::Value(Json::arrayValue);
    for (const RefusedFingerprint& refused : news.refused) {
        Json::Value entry(Json::arrayValue);
        entry.append(Json::UInt64(refused.fingerprint));
        entry.append(Json::Int64(toUnixMilliseconds(refused.until)));
        value["refused"].append(entry);
    }
    return value;
}

CrashNews decodeCrashes(const Json::Value& value)
{
    CrashNews news;
    for (const Json::Value& entry : array(field(value, "deaths"), maxCrashesInMessage)) {
        require(entry.isArray() && entry.size() == 2, "a death is not a list of two values");
        news.deaths.push_back({ number(entry[0]), text(entry[1], maxServerBytes, "a server is not a string") });
    }
    for (const Json::Value& entry : array(field(value, "refused"), maxCrashesInMessage)) {
        require(entry.isArray() && entry.size() == 2, "a refusal is not a list of two values");
        require(entry[1].isInt64(), "a time is not an integer");
        // Bounded, because the conversion to the clock's unit must not overflow.
        const int64_t until = entry[1].asInt64();
        require(until >= 0 && until < int64_t(1) << 42, "a time is out of range");
        news.refused.push_back({ number(entry[0]), WallTime(Milliseconds(until)) });
    }
    return news;
}

const Json::Value& field(const Json::Value& message, const char* key)
{
    require(message.isObject(), "the parameters are not an object");
    return message[key];
}

std::string stringField(const Json::Value& message, const char* key, size_t maxBytes)
{
    return text(field(message, key), maxBytes, "a field is not a string or too long");
}

std::vector<std::string> stringsField(const Json::Value& message, const char* key, size_t maxCount)
{
    std::vector<std::string> strings;
    for (const Json::Value& entry : array(field(message, key), maxCount))
        strings.push_back(text(entry, maxNameBytes, "an entry is not a string or too long"));
    return strings;
}

}
