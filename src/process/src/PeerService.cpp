#include <wagtailrack/process/PeerService.h>

#include "PeerMessages.h"
#include "ReachabilityMessages.h"

#include <wagtailrack/connection/JsonRpc.h>
#include <wagtailrack/version/Head.h>

#include <json/reader.h>

#include <algorithm>
#include <optional>

namespace wagtailrack::process {

namespace {

constexpr size_t maxHashes = 64;

using connection::JsonRpcFailure;

// Application errors start below the range that JSON-RPC reserves.
constexpr int noSuchVersion = 1;
constexpr int noSuchMember = 2;

Json::Value emptyObject() { return Json::Value(Json::objectValue); }

}

class PeerService::Implementation {
public:
    using Method = Json::Value (Implementation::*)(const Json::Value&);

    Implementation(Membership& members, PeerTraffic& counters, PeerHooks versionHooks, PeerServiceCalls networkCalls)
        : membership(members)
        , traffic(counters)
        , hooks(std::move(versionHooks))
        , calls(std::move(networkCalls))
    {
        const std::pair<const char*, Method> methods[] = {
            { "probe", &Implementation::probe },
            { "probeFor", &Implementation::probeFor },
            { "digests", &Implementation::digests },
            { "members", &Implementation::members },
            { "announce", &Implementation::announce },
            { "head", &Implementation::head },
            { "chunks", &Implementation::chunks },
            { "crashes", &Implementation::crashes },
            { "traffic", &Implementation::trafficCounters },
        };
        for (const auto& [name, method] : methods) {
            this->server.addMethod(
                name, [this, method = method](const Json::Value& parameters) { return (this->*method)(parameters); });
        }
    }

    // Reports the version that a peer has, if the peer is known; its address comes from the member list.
    void seeVersion(const version::VersionId& id, const std::string& peer)
    {
        const auto record = this->membership.recordOf(peer);
        if (!record.empty())
            this->hooks.onVersionSeen(id, record[0].peerAddress);
    }

    Json::Value probe(const Json::Value& parameters)
    {
        const std::string from = stringField(parameters, "from", 64);
        const version::VersionId id = versionOf(parameters);
        const std::vector<Member> news = decodeMembers(field(parameters, "updates"));
        const std::vector<ReachabilityNews> domains = decodeReachability(field(parameters, "domains"));
        this->membership.merge(news);
        this->calls.mergeReachability(domains);
        this->seeVersion(id, from);

        Json::Value answer(Json::objectValue);
        setVersion(answer, this->hooks.activeVersion());
        std::vector<Member> updates = this->membership.takeUpdates(maxUpdates);
        const auto sender = this->membership.recordOf(from);
        if (sender.empty())
            answer["unknown"] = true;
        // A sender that is not seen as alive has to know, so that it can refute.
        else if (sender[0].status != MemberStatus::Alive)
            updates.push_back(sender[0]);
        answer["updates"] = encodeMembers(updates);
        if (const auto told = this->calls.takeReachability(); !told.empty())
            answer["domains"] = encodeReachability(told);
        return answer;
    }

    Json::Value probeFor(const Json::Value& parameters)
    {
        const std::string name = stringField(parameters, "target", 64);
        const auto target = this->membership.recordOf(name);
        // Only members of the own failure domain are probed, so that a peer cannot have any address contacted.
        if (target.empty() || target[0].failureDomain != this->membership.self().failureDomain)
            throw JsonRpcFailure { noSuchMember, "not a member of this failure domain" };
        Json::Value answer(Json::objectValue);
        answer["alive"] = this->calls.probe(target[0]);
        return answer;
    }

    Json::Value digests(const Json::Value& parameters)
    {
        const Member from = decodeMember(field(parameters, "from"));
        const MemberDigests theirs = decodeDigests(field(parameters, "digests"));
        const version::VersionId id = versionOf(parameters);
        this->membership.merge({ from });
        this->membership.setReachable(from.failureDomain);
        this->hooks.onVersionSeen(id, from.peerAddress);

        const MemberDigests ours = this->membership.digests();
        Json::Value differing(Json::arrayValue);
        for (const auto& [failureDomain, digest] : ours) {
            const auto found = theirs.find(failureDomain);
            if (found == theirs.end() || found->second != digest)
                differing.append(failureDomain);
        }
        Json::Value answer(Json::objectValue);
        setVersion(answer, this->hooks.activeVersion());
        answer["differing"] = std::move(differing);
        answer["from"] = encodeMember(this->membership.self());
        return answer;
    }

    Json::Value members(const Json::Value& parameters)
    {
        Json::Value answer(Json::objectValue);
        answer["members"] = encodeMembers(this->membership.records(stringField(parameters, "failureDomain", 64)));
        return answer;
    }

    Json::Value announce(const Json::Value& parameters)
    {
        const version::VersionId id = versionOf(parameters);
        this->seeVersion(id, stringField(parameters, "from", 64));
        return emptyObject();
    }

    version::TableVersionPointer activeOrFail() const
    {
        auto active = this->hooks.active();
        if (!active)
            throw JsonRpcFailure { noSuchVersion, "no version is active" };
        return active;
    }

    // With the caller's version, edits up to that version are left out: 128 edits are half of the bytes of a head.
    Json::Value head(const Json::Value& parameters)
    {
        version::Head told = this->activeOrFail()->head;
        const Json::Value& known = field(parameters, "known");
        std::optional<version::VersionId> since;
        if (!known.isNull()) {
            since = versionOf(known);
            const auto after = std::find_if(told.edits.begin(), told.edits.end(),
                [&](const version::Edit& edit) { return edit.version == *since; });
            if (after == told.edits.end() || after + 1 == told.edits.end())
                since.reset();
            else
                told.edits.erase(told.edits.begin(), after + 1);
        }
        const std::string text = version::encodeHead(told);
        Json::Value answer(Json::objectValue);
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        reader->parse(text.data(), text.data() + text.size(), &answer["head"], nullptr);
        answer["isDelta"] = since.has_value();
        return answer;
    }

    Json::Value chunks(const Json::Value& parameters)
    {
        const auto active = this->activeOrFail();
        Json::Value found(Json::objectValue);
        size_t bytes = 0;
        for (const std::string& hash : stringsField(parameters, "hashes", maxHashes)) {
            const auto chunk = version::findChunk(*active, hash);
            if (!chunk)
                continue;
            found[hash] = std::string(*chunk);
            bytes += chunk->size();
            if (bytes >= maxChunkAnswerBytes)
                break;
        }
        Json::Value answer(Json::objectValue);
        answer["chunks"] = std::move(found);
        return answer;
    }

    // With `fingerprints` records and forwards them; with `known` returns all that this instance knows.
    Json::Value crashes(const Json::Value& parameters)
    {
        Json::Value answer(Json::objectValue);
        if (field(parameters, "known") == Json::Value(true)) {
            answer["fingerprints"] = encodeCrashes(this->hooks.knownCrashes());
            return answer;
        }
        const CrashNews news = decodeCrashes(field(parameters, "fingerprints"));
        const Json::Value& relay = field(parameters, "relay");
        if (!relay.isUInt() || relay.asUInt() > static_cast<unsigned>(CrashRelay::Last))
            throw JsonRpcFailure { -32602, "relay is out of range" };
        this->hooks.onCrashNews(news);
        this->calls.relayCrashes(news, static_cast<CrashRelay>(relay.asUInt()));
        return answer;
    }

    // For measurements: the active version and the counters of PeerTraffic.
    Json::Value trafficCounters(const Json::Value&)
    {
        Json::Value answer(Json::objectValue);
        setVersion(answer, this->hooks.activeVersion());
        answer["bytes_sent"] = Json::UInt64(this->traffic.bytesSent.load());
        answer["bytes_received"] = Json::UInt64(this->traffic.bytesReceived.load());
        answer["calls_sent"] = Json::UInt64(this->traffic.callsSent.load());
        answer["calls_failed"] = Json::UInt64(this->traffic.callsFailed.load());
        answer["calls_received"] = Json::UInt64(this->traffic.callsReceived.load());
        return answer;
    }

    Membership& membership;
    PeerTraffic& traffic;
    const PeerHooks hooks;
    const PeerServiceCalls calls;
    connection::JsonRpcServer server;
};

PeerService::PeerService(Membership& membership, PeerTraffic& traffic, PeerHooks hooks, PeerServiceCalls calls)
    : implementation(std::make_unique<Implementation>(membership, traffic, std::move(hooks), std::move(calls)))
{
}

PeerService::~PeerService() = default;

connection::HttpResponse PeerService::handle(const connection::HttpRequest& request)
{
    Implementation& state = *this->implementation;
    if (request.method != "POST" || request.path != peerPath)
        return connection::HttpResponse::json(404, "{}");
    ++state.traffic.callsReceived;
    state.traffic.bytesReceived += request.body.size() + requestHeadBytes;
    auto response = connection::HttpResponse::json(200, state.server.handle(request.body));
    state.traffic.bytesSent += response.body.size() + responseHeadBytes;
    return response;
}

}
