#pragma once

#include "PeerMessages.h"
#include "Reachability.h"

namespace wagtailrack::process {

// What the tasks of the peer network share. Owned by PeerNetwork.
struct PeerContext {
    const Clock& clock;
    Membership& membership;
    PeerTraffic& traffic;
    const PeerHooks& hooks;
    Reachability& reachability;
};

// Deadlines of one call. Inside a failure domain a round trip takes a few milliseconds; a longer silence is a pause or
// a loss. Between regions, a round trip and a new connection take 220 ms.
inline constexpr Milliseconds probeTimeout { 700 };
inline constexpr Milliseconds indirectProbeTimeout { 1000 };
inline constexpr Milliseconds farCallTimeout { 2000 };

// Members of the own failure domain, except this instance and the dead.
std::vector<Member> livePeers(const Membership& membership);

// Parameters of a probe that carries these updates.
Json::Value probeParameters(PeerContext& context, const std::vector<Member>& updates);

}
