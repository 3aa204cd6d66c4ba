#include "LocalEntry.h"

#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/base/Random.h>

#include <cstdio>
#include <cstdlib>

namespace wagtailrack::testbed {

namespace {

constexpr size_t timelineEvents = 10'000;
constexpr int64_t keyValidityMs = 30'000;
constexpr size_t processIdBytes = 8;

process::Member memberOf(const std::string& name, const std::string& failureDomain)
{
    process::Member member;
    member.name = name;
    member.processId = randomHex(processIdBytes);
    member.failureDomain = failureDomain;
    member.callerAddress = freeEndpoint();
    return member;
}

}

// A store that is always down.
class LocalEntry::NoStore final : public process::ConfigurationStore {
public:
    Result<std::optional<process::StoredValue>> read(const std::string& key, SteadyTime) override
    {
        return makeError(ErrorCode::StoreUnavailable, key, "no store");
    }

    Result<uint64_t> write(const std::string& key, const std::string&, uint64_t, SteadyTime) override
    {
        return makeError(ErrorCode::StoreUnavailable, key, "no store");
    }

    Result<std::optional<process::StoredValue>> watch(const std::string& key, uint64_t, SteadyTime) override
    {
        return makeError(ErrorCode::StoreUnavailable, key, "no store");
    }
};

SteadyTime LocalEntry::StartClock::now() const noexcept
{
    const SteadyTime now = std::chrono::steady_clock::now();
    return this->isBehind ? now - 2 * process::SlotShares::growthDelay : now;
}

LocalEntry::LocalEntry(const std::string& name, const std::string& failureDomain)
    : self(memberOf(name, failureDomain))
    , view(std::make_shared<const process::MemberView>(process::MemberView { { this->self } }))
    , timeline(this->clock, timelineEvents)
    , orderLedger(this->clock, name, this->self.processId, keyValidityMs)
    , store(std::make_unique<NoStore>())
    , claims(this->clock, *this->store, name, this->self.processId)
    , orderGate(this->clock, this->orderLedger, this->claims, this->self.processId)
    , crashGuard(this->clock)
    , path(std::make_unique<request::RequestPath>(request::RequestPathSources { this->clock, this->configuration,
          this->timeline, this->metrics, this->orderGate, this->crashGuard, this->self,
          [this] {
              const std::lock_guard lock(this->mutex);
              return this->view;
          },
          nullptr }))
    , server({}, [this](const connection::HttpRequest& request) { return this->path->handle(request); })
{
    if (auto started = this->server.start(this->self.callerAddress); !started) {
        std::fprintf(stderr, "%s\n", describe(started.error()).c_str());
        std::abort();
    }
}

LocalEntry::~LocalEntry() { this->stop(); }

void LocalEntry::stop() { this->server.stop(); }

void LocalEntry::adopt(const std::string& routes, const std::string& pools)
{
    this->head = version::nextHead(this->head, randomHex(processIdBytes), routes, pools);
    auto version = version::buildVersion(this->head, routes, pools);
    if (!version || !this->configuration.adopt(version.value())) {
        std::fprintf(stderr, "tables rejected: %s\n", version ? "not newer" : describe(version.error()).c_str());
        std::abort();
    }
    const std::lock_guard lock(this->mutex);
    this->path->update(*this->view);
    this->clock.catchUp();
}

void LocalEntry::setMembers(std::vector<process::Member> others)
{
    others.push_back(this->self);
    std::sort(others.begin(), others.end(), [](const auto& left, const auto& right) { return left.name < right.name; });
    const std::lock_guard lock(this->mutex);
    this->view = std::make_shared<const process::MemberView>(process::MemberView { std::move(others) });
    this->path->update(*this->view);
}

CallerAnswer call(const Endpoint& entry, const std::string& method, const std::string& target,
    const connection::HeaderMap& headers, const std::string& body)
{
    connection::HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    connection::ExchangeLimits limits { deadline, deadline, deadline };
    limits.maxBodyBytes = int64_t(1) << 30;
    auto result = connection::exchangeOnce(entry, request, limits);
    if (!result.response)
        return {};
    CallerAnswer answer;
    answer.response = std::move(result.response).value();
    answer.status = answer.response.status;
    answer.outcome = connection::headerValue(answer.response.headers, headers::outcome);
    answer.reason = connection::headerValue(answer.response.headers, headers::reason);
    return answer;
}

}
