#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Error.h>
#include <wagtailrack/connection/HttpMessage.h>

#include <memory>
#include <string>
#include <string_view>

namespace wagtailrack::process {

// What became of a non-idempotent request.
enum class OrderState {
    // Being run; a duplicate waits for its end.
    Running,
    Done,
    // Certainly did not run; may be tried again.
    NotRun,
    // May have run; never tried again.
    Unknown,
};

enum class OrderDecision {
    // The caller of begin() runs the order and has to call finish().
    Run,
    // The recorded answer is in `answer`.
    Replay,
    // Another instance owns the key; send the request there.
    Forward,
    RefuseNotRun,
    RefuseUnknown,
};

struct OrderTurn {
    OrderDecision decision = OrderDecision::RefuseNotRun;
    // The owner's name and process id; with Forward.
    std::string owner;
    std::string ownerProcessId;
    // With Replay.
    connection::HttpResponse answer;
    // With RefuseNotRun and RefuseUnknown.
    Error reason;
};

// The orders of this process: runs each at most once. The table in memory is the only authority for the keys that the
// process owns: its own order keys, and callers' keys that it has claimed (StoreClaims). Nobody takes a key over from
// a process, so neither a pause nor a partition can run an order twice. Bounded: when it is full, new keys are
// refused. Lives for the process; may be called by any thread. docs/design.md section 3.7 gives the reasons.
//
//     OrderTurn turn = ledger.begin(key, fingerprint, deadline);
//     if (turn.decision == OrderDecision::Run)
//         ledger.finish(key, OrderState::Done, response);
class OrderLedger {
public:
    static constexpr size_t maxOrders = 200'000;
    // Answers beyond this are dropped, oldest first; a duplicate then learns that the order ran, without its answer.
    static constexpr size_t maxAnswerBytes = size_t(64) << 20;
    // Orders are remembered for this long after their key's expiry.
    static constexpr std::chrono::minutes retention { 10 };

    OrderLedger(const Clock& clock, std::string instanceName, std::string processId, int64_t keyValidityMs);
    ~OrderLedger();
    OrderLedger(const OrderLedger&) = delete;
    OrderLedger& operator=(const OrderLedger&) = delete;

    // A new key owned by this process: wt1.<instance>.<process id>.<expiry>.<nonce>.<mac>.
    std::string issueKey();

    // When the last key that was issued expires; the epoch when none was.
    SteadyTime lastKeyExpiry() const noexcept;

    // Takes the turn of a request with an order key. `fingerprint` ties the key to one request; the same key with
    // another request is refused. Waits, until `deadline`, for the end of a running duplicate.
    OrderTurn begin(const std::string& key, uint64_t fingerprint, SteadyTime deadline);

    // Takes the turn of a request whose key was claimed by this process.
    OrderTurn beginClaimed(const std::string& key, uint64_t fingerprint, SteadyTime deadline);

    // Whether the key has a record here.
    bool knows(const std::string& key) const;

    // Records the end of a turn that was Run; `answer` is kept for duplicates when the state is Done.
    void finish(const std::string& key, OrderState state, const connection::HttpResponse& answer);

    // Whether `key` has the form of an order key; other keys are the caller's own.
    static bool isOrderKey(std::string_view key) noexcept;

    size_t size() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
