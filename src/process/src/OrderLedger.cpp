#include <wagtailrack/process/OrderLedger.h>

#include "OrderKey.h"

#include <wagtailrack/base/Random.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace wagtailrack::process {

namespace {

OrderTurn refuse(OrderDecision decision, ErrorCode code, std::string detail)
{
    OrderTurn turn;
    turn.decision = decision;
    turn.reason = makeError(code, "order key", std::move(detail));
    return turn;
}

OrderTurn decide(OrderDecision decision)
{
    OrderTurn turn;
    turn.decision = decision;
    return turn;
}

enum class AnswerRecord {
    None,
    Kept,
    Dropped,
};

struct Order {
    uint64_t fingerprint = 0;
    OrderState state = OrderState::Running;
    AnswerRecord answerRecord = AnswerRecord::None;
    connection::HttpResponse answer;
    SteadyTime forgetAt;
};

}

class OrderLedger::Implementation {
public:
    Implementation(const Clock& source, std::string instance, std::string process, int64_t validityMs)
        : clock(source)
        , instanceName(std::move(instance))
        , processId(std::move(process))
        , keyValidityMs(validityMs)
    {
    }

    // Decides a key that this process owns, under the lock.
    OrderTurn takeTurn(std::unique_lock<std::mutex>& lock, const std::string& key, uint64_t fingerprint,
        SteadyTime deadline, SteadyTime forgetAt);
    OrderTurn startNew(const std::string& key, uint64_t fingerprint, SteadyTime forgetAt);
    OrderTurn replay(const Order& order) const;
    void forgetOld();
    void keepAnswer(const std::string& key, Order& order, const connection::HttpResponse& answer);

    const Clock& clock;
    const std::string instanceName;
    const std::string processId;
    const int64_t keyValidityMs;
    const OrderKeySecret secret = makeOrderKeySecret();
    mutable std::mutex mutex;
    std::condition_variable ended;
    std::atomic<SteadyTime> lastKeyExpiry { SteadyTime() };
    std::unordered_map<std::string, Order> orders;
    // Keys in the order of their first turn, which is close to the order in which they are forgotten.
    std::deque<std::string> age;
    std::deque<std::string> answerAge;
    size_t answerBytes = 0;
};

void OrderLedger::Implementation::forgetOld()
{
    const SteadyTime now = this->clock.now();
    while (!this->age.empty()) {
        const auto found = this->orders.find(this->age.front());
        if (found != this->orders.end()) {
            if (found->second.forgetAt > now || found->second.state == OrderState::Running)
                return;
            this->answerBytes -= found->second.answer.body.size();
            this->orders.erase(found);
        }
        this->age.pop_front();
    }
}

OrderTurn OrderLedger::Implementation::startNew(const std::string& key, uint64_t fingerprint, SteadyTime forgetAt)
{
    this->forgetOld();
    if (this->orders.size() >= maxOrders)
        return refuse(OrderDecision::RefuseNotRun, ErrorCode::LedgerFull, "too many orders are remembered");
    Order order;
    order.fingerprint = fingerprint;
    order.forgetAt = forgetAt;
    this->orders.emplace(key, std::move(order));
    this->age.push_back(key);
    return decide(OrderDecision::Run);
}

OrderTurn OrderLedger::Implementation::replay(const Order& order) const
{
    if (order.answerRecord == AnswerRecord::Dropped)
        return refuse(
            OrderDecision::RefuseUnknown, ErrorCode::OutcomeUnknown, "the order ran; its answer is no longer kept");
    OrderTurn turn = decide(OrderDecision::Replay);
    turn.answer = order.answer;
    return turn;
}

OrderTurn OrderLedger::Implementation::takeTurn(std::unique_lock<std::mutex>& lock, const std::string& key,
    uint64_t fingerprint, SteadyTime deadline, SteadyTime forgetAt)
{
    while (true) {
        const auto found = this->orders.find(key);
        if (found == this->orders.end())
            return this->startNew(key, fingerprint, forgetAt);
        Order& order = found->second;
        if (order.fingerprint != fingerprint)
            return refuse(OrderDecision::RefuseNotRun, ErrorCode::KeyReused, "the key belongs to another request");
        switch (order.state) {
        case OrderState::Done:
            return this->replay(order);
        case OrderState::Unknown:
            return refuse(OrderDecision::RefuseUnknown, ErrorCode::OutcomeUnknown, "an earlier attempt may have run");
        case OrderState::NotRun:
            order.state = OrderState::Running;
            return decide(OrderDecision::Run);
        case OrderState::Running:
            break;
        }
        const SteadyTime now = this->clock.now();
        if (now >= deadline)
            return refuse(OrderDecision::RefuseUnknown, ErrorCode::OutcomeUnknown, "the order is still running");
        this->ended.wait_for(lock, deadline - now);
    }
}

void OrderLedger::Implementation::keepAnswer(
    const std::string& key, Order& order, const connection::HttpResponse& answer)
{
    order.answer = answer;
    order.answerRecord = AnswerRecord::Kept;
    this->answerBytes += answer.body.size();
    this->answerAge.push_back(key);
    while (this->answerBytes > maxAnswerBytes && !this->answerAge.empty()) {
        const auto oldest = this->orders.find(this->answerAge.front());
        this->answerAge.pop_front();
        if (oldest == this->orders.end() || oldest->second.answerRecord != AnswerRecord::Kept)
            continue;
        this->answerBytes -= oldest->second.answer.body.size();
        oldest->second.answer = {};
        oldest->second.answerRecord = AnswerRecord::Dropped;
    }
}

OrderLedger::OrderLedger(const Clock& clock, std::string instanceName, std::string processId, int64_t keyValidityMs)
    : implementation(
        std::make_unique<Implementation>(clock, std::move(instanceName), std::move(processId), keyValidityMs))
{
}

OrderLedger::~OrderLedger() = default;

std::string OrderLedger::issueKey()
{
    Implementation& self = *this->implementation;
    OrderKey key;
    key.instance = self.instanceName;
    key.processId = self.processId;
    key.expiry = self.clock.now() + Milliseconds(self.keyValidityMs);
    key.nonce = randomHex(12);
    key.mac = computeMac(self.secret, key.signedPart());
    self.lastKeyExpiry = key.expiry;
    return key.toString();
}

SteadyTime OrderLedger::lastKeyExpiry() const noexcept { return this->implementation->lastKeyExpiry; }

OrderTurn OrderLedger::begin(const std::string& key, uint64_t fingerprint, SteadyTime deadline)
{
    Implementation& self = *this->implementation;
    const auto parsed = OrderKey::parse(key);
    if (!parsed)
        return refuse(OrderDecision::RefuseNotRun, ErrorCode::KeyInvalid, "not an order key");
    if (parsed->instance != self.instanceName) {
        OrderTurn turn = decide(OrderDecision::Forward);
        turn.owner = parsed->instance;
        turn.ownerProcessId = parsed->processId;
        return turn;
    }
    if (parsed->processId != self.processId)
        return refuse(OrderDecision::RefuseUnknown, ErrorCode::OutcomeUnknown,
            "the key was issued by an earlier process of this instance");
    if (parsed->mac != computeMac(self.secret, parsed->signedPart()))
        return refuse(OrderDecision::RefuseNotRun, ErrorCode::KeyInvalid, "the key was not issued by this instance");
    std::unique_lock lock(self.mutex);
    const SteadyTime now = self.clock.now();
    const SteadyTime forgetAt = parsed->expiry + retention;
    if (now >= parsed->expiry && !self.orders.contains(key)) {
        // After the retention time a missing record no longer shows that the order did not run.
        if (now >= forgetAt)
            return refuse(OrderDecision::RefuseUnknown, ErrorCode::KeyExpired, "the key expired long ago");
        return refuse(OrderDecision::RefuseNotRun, ErrorCode::KeyExpired, "the key has expired");
    }
    OrderTurn turn = self.takeTurn(lock, key, fingerprint, deadline, forgetAt);
    if (turn.decision == OrderDecision::Run && now >= parsed->expiry) {
        // Only a record that is not run can get here; an expired key starts no new work.
        self.orders[key].state = OrderState::NotRun;
        return refuse(OrderDecision::RefuseNotRun, ErrorCode::KeyExpired, "the key has expired");
    }
    return turn;
}

OrderTurn OrderLedger::beginClaimed(const std::string& key, uint64_t fingerprint, SteadyTime deadline)
{
    Implementation& self = *this->implementation;
    std::unique_lock lock(self.mutex);
    return self.takeTurn(lock, key, fingerprint, deadline, self.clock.now() + retention);
}

bool OrderLedger::knows(const std::string& key) const
{
    const std::lock_guard lock(this->implementation->mutex);
    return this->implementation->orders.contains(key);
}

void OrderLedger::finish(const std::string& key, OrderState state, const connection::HttpResponse& answer)
{
    assert(state != OrderState::Running);
    Implementation& self = *this->implementation;
    {
        const std::lock_guard lock(self.mutex);
        const auto found = self.orders.find(key);
        assert(found != self.orders.end());
        if (found == self.orders.end())
            return;
        found->second.state = state;
        if (state == OrderState::Done)
            self.keepAnswer(key, found->second, answer);
    }
    self.ended.notify_all();
}

bool OrderLedger::isOrderKey(std::string_view key) noexcept { return key.starts_with("wt1."); }

size_t OrderLedger::size() const
{
    const std::lock_guard lock(this->implementation->mutex);
    return this->implementation->orders.size();
}

}
