#include <wagtailrack/process/CrashGuard.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>

namespace wagtailrack::process {

Fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view body) noexcept
{
    return hash64(body, hash64(target, hash64(method)));
}

CrashGuard::CrashGuard(const Clock& source)
    : clock(source)
{
}

bool CrashGuard::isRefused(Fingerprint fingerprint) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(fingerprint);
    return found != this->records.end() && found->second.isRefused && this->clock.wallNow() < found->second.forgetAt;
}

void CrashGuard::forgetOld(WallTime now)
{
    std::erase_if(this->records, [&](const auto& entry) { return entry.second.forgetAt <= now; });
}

CrashGuard::Record* CrashGuard::recordOf(Fingerprint fingerprint)
{
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end())
        return &found->second;
    this->forgetOld(this->clock.wallNow());
    if (this->records.size() >= maxFingerprints)
        return nullptr;
    return &this->records[fingerprint];
}

bool CrashGuard::recordDeath(const ServerDeath& death)
{
    const std::lock_guard lock(this->mutex);
    return this->countDeath(death, SteadyTime::max());
}

bool CrashGuard::recordOwnDeath(const ServerDeath& death, SteadyTime sentAt)
{
    const std::lock_guard lock(this->mutex);
    return this->countDeath(death, sentAt);
}

bool CrashGuard::countDeath(const ServerDeath& death, SteadyTime sentAt)
{
    const WallTime now = this->clock.wallNow();
    Record* record = this->recordOf(death.fingerprint);
    if (!record)
        return false;
    if (record->forgetAt <= now)
        *record = {};
    if (!record->servers.empty() && sentAt < record->knownAt)
        return false;
    if (!record->servers.insert(death.server).second)
        return false;
    record->knownAt = this->clock.now();
    record->forgetAt = now + refusalTime;
    record->isRefused = record->isRefused || record->servers.size() >= deathLimit;
    return true;
}

void CrashGuard::recordAnswer(Fingerprint fingerprint)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(fingerprint);
    if (found != this->records.end() && !found->second.isRefused)
        this->records.erase(found);
}

void CrashGuard::adopt(const RefusedFingerprint& refused)
{
    const std::lock_guard lock(this->mutex);
    const WallTime now = this->clock.wallNow();
    if (refused.until <= now)
        return;
    Record* record = this->recordOf(refused.fingerprint);
    if (!record)
        return;
    record->isRefused = true;
    record->forgetAt = std::max(record->forgetAt, std::min(refused.until, now + refusalTime));
}

std::vector<RefusedFingerprint> CrashGuard::refusals() const
{
    const std::lock_guard lock(this->mutex);
    const WallTime now = this->clock.wallNow();
    std::vector<RefusedFingerprint> list;
    for (const auto& [fingerprint, record] : this->records) {
        if (record.isRefused && record.forgetAt > now)
            list.push_back({ fingerprint, record.forgetAt });
    }
    return list;
}

}
