#include <wagtailrack/edge/CrashDetector.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace wagtailrack::edge {

RequestFingerprint fingerprintOf(
    std::string_view host, std::string_view method, std::string_view target, std::string_view body) noexcept
{
    return hash64(body, hash64(target, hash64(method, hash64(host))));
}

std::string toString(RequestFingerprint fingerprint)
{
    char digits[17];
    std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(fingerprint));
    return digits;
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view digits) noexcept
{
    RequestFingerprint fingerprint = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), fingerprint, 16);
    if (failure != std::errc() || end != digits.data() + digits.size() || digits.empty())
        return std::nullopt;
    return fingerprint;
}

const char* toString(CrashEvidence evidence) noexcept
{
    static constexpr const char* names[] = { "connection-refused", "record-removed" };
    return names[static_cast<int>(evidence)];
}

ServerLifetime lifetimeOf(const ServerRecord& record) noexcept
{
    return hash64(record.id, static_cast<uint64_t>(record.startedAtMs));
}

void CrashDetector::removeExpired()
{
    const SteadyTime oldest = this->clock.now() - recordLapseTime;
    for (auto& [server, attempts] : this->openAttempts)
        this->openAttemptCount
            -= std::erase_if(attempts, [oldest](const ServerCrash& attempt) { return attempt.endedAt < oldest; });
    std::erase_if(this->openAttempts, [](const auto& entry) { return entry.second.empty(); });
}

bool CrashDetector::recordBrokenAttempt(
    const BackendServer& server, RequestFingerprint request, SteadyTime sentAt, bool isOnNewConnection)
{
    if (server.isLeaving)
        return false;
    this->removeExpired();
    if (this->openAttemptCount >= maximumOpenAttempts)
        return false;
    const ServerLifetime lifetime = lifetimeOf(server.record);
    std::vector<ServerCrash>& attempts = this->openAttempts[lifetime];
    // An attempt that was sent after another one had ended without a response may never have reached the server.
    if (!isOnNewConnection && !attempts.empty() && sentAt > attempts.front().endedAt)
        return true;
    attempts.push_back({ request, lifetime, sentAt, this->clock.now(), isOnNewConnection });
    ++this->openAttemptCount;
    return true;
}

void CrashDetector::recordResponse(const BackendServer& server, SteadyTime sentAt)
{
    if (this->openAttempts.empty())
        return;
    const auto found = this->openAttempts.find(lifetimeOf(server.record));
    if (found == this->openAttempts.end())
        return;
    this->openAttemptCount
        -= std::erase_if(found->second, [sentAt](const ServerCrash& attempt) { return attempt.endedAt <= sentAt; });
    if (found->second.empty())
        this->openAttempts.erase(found);
}

void CrashDetector::confirm(const BackendServer& server, CrashEvidence evidence)
{
    if (this->openAttempts.empty())
        return;
    this->removeExpired();
    const auto found = this->openAttempts.find(lifetimeOf(server.record));
    if (found == this->openAttempts.end())
        return;
    std::vector<ServerCrash> crashes = std::move(found->second);
    this->openAttempts.erase(found);
    this->openAttemptCount -= crashes.size();
    for (ServerCrash& crash : crashes) {
        crash.isSilent = evidence == CrashEvidence::RecordRemoved;
        if (this->crashHook)
            this->crashHook(crash, server, evidence);
    }
}

}
