#pragma once

#include <wagtailrack/edge/LoadMessages.h>

#include <cstdint>
#include <vector>

// Messages that instances exchange about the usage limits of workspaces, encoded like load messages.
namespace wagtailrack::edge {

// Identifies a workspace: the lower 32 bits of the hash of its name.
using WorkspaceKey = uint32_t;

// Tokens of a workspace's limit that a sender can use. Whole ones: a part of a token would expire before it is of use.
struct UsageNeed {
    WorkspaceKey workspace = 0;
    // Tokens for requests that wait, and tokens that save requests of the near future the wait.
    uint32_t neededTokens = 0;
    uint32_t prefetchTokens = 0;
    // Requests per second of the workspace at the sender, in hundredths; 0 in requests between hubs.
    uint32_t demandHundredths = 0;

    friend bool operator==(const UsageNeed&, const UsageNeed&) = default;
    MSGPACK_DEFINE(workspace, neededTokens, prefetchTokens, demandHundredths)
};

// Sent by an instance to its hub, and by a hub to hubs of other failure domains.
struct UsageRequest {
    static constexpr char kind = 'U';
    // Random; repeated in the grant, so that each grant is used once and its age is known by the requester's clock.
    uint64_t id = 0;
    bool isFromHub = false;
    // Whether the receiver may use the sender's part of their domain's share: false for some time after the sender has
    // reported to another hub.
    bool isShareIncluded = false;
    std::vector<UsageNeed> needs;

    friend bool operator==(const UsageRequest&, const UsageRequest&) = default;
    MSGPACK_DEFINE(id, isFromHub, isShareIncluded, needs)
};

struct UsageAmount {
    WorkspaceKey workspace = 0;
    uint32_t tokens = 0;

    friend bool operator==(const UsageAmount&, const UsageAmount&) = default;
    MSGPACK_DEFINE(workspace, tokens)
};

// Answer to a UsageRequest: tokens that the requester may use until a fixed time after it sent the request.
struct UsageGrant {
    static constexpr char kind = 'V';
    uint64_t requestId = 0;
    std::vector<UsageAmount> amounts;

    friend bool operator==(const UsageGrant&, const UsageGrant&) = default;
    MSGPACK_DEFINE(requestId, amounts)
};

}
