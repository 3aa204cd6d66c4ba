#include <wagtailrack/edge/CrashQuarantine.h>

#include <wagtailrack/base/Random.h>

#include <algorithm>
#include <limits>

namespace wagtailrack::edge {

namespace {

constexpr Milliseconds expiryCheckInterval(1000);
// How often all instances are told of a change, and the interval.
constexpr int newsSends = 3;
constexpr Milliseconds newsInterval(300);

template <typename Entries, typename Time> void eraseOldest(Entries& entries, Time timeOf)
{
    const auto oldest = std::min_element(entries.begin(), entries.end(),
        [&timeOf](const auto& left, const auto& right) { return timeOf(left.second) < timeOf(right.second); });
    if (oldest != entries.end())
        entries.erase(oldest);
}

void append(QuarantineMessage& message, const QuarantineMessage& added)
{
    message.crashes.insert(message.crashes.end(), added.crashes.begin(), added.crashes.end());
    message.quarantines.insert(message.quarantines.end(), added.quarantines.begin(), added.quarantines.end());
    message.acquittals.insert(message.acquittals.end(), added.acquittals.begin(), added.acquittals.end());
}

}

const char* toString(QuarantineSource source) noexcept
{
    static constexpr const char* names[] = { "own", "peer", "store", "operator" };
    return names[static_cast<int>(source)];
}

uint32_t CrashQuarantine::ageMs(SteadyTime time) const
{
    const int64_t age = std::chrono::duration_cast<Milliseconds>(this->clock.now() - time).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(age, 0, std::numeric_limits<uint32_t>::max()));
}

SteadyTime CrashQuarantine::timeOfAge(uint32_t ageMs) const { return this->clock.now() - Milliseconds(ageMs); }

CrashQuarantine::Entry CrashQuarantine::entryOf(RequestFingerprint request, const Suspect& suspect) const
{
    return { request, suspect.crashes.size(), suspect.quarantinedAt, suspect.lastRequestAt };
}

SendDecision CrashQuarantine::decide(RequestFingerprint request)
{
    if (this->suspects.empty())
        return SendDecision::Send;
    const SendDecision decision = this->preview(request);
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return decision;
    Suspect& suspect = found->second;
    if (decision == SendDecision::Refuse)
        suspect.lastRequestAt = this->clock.now();
    else if (decision == SendDecision::Send && !suspect.isQuarantined())
        suspect.nextTrialAt = this->clock.now() + trialInterval;
    return decision;
}

SendDecision CrashQuarantine::preview(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return SendDecision::Send;
    const Suspect& suspect = found->second;
    const SteadyTime now = this->clock.now();
    if (suspect.isQuarantined())
        return now >= suspect.lastRequestAt + retentionTime ? SendDecision::Send : SendDecision::Refuse;
    if (suspect.crashes.size() > 1 && now < suspect.decidableAt)
        return SendDecision::Wait;
    return now < suspect.nextTrialAt ? SendDecision::Wait : SendDecision::Send;
}

Milliseconds CrashQuarantine::remainingTime(RequestFingerprint request) const
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || !found->second.isQuarantined())
        return Milliseconds(0);
    const auto remaining = found->second.lastRequestAt + retentionTime - this->clock.now();
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(remaining));
}

bool CrashQuarantine::addCrash(const ServerCrash& crash, Milliseconds trialDelay)
{
    const SteadyTime now = this->clock.now();
    const auto acquittal = this->acquittals.find(crash.request);
    if (crash.endedAt + retentionTime < now)
        return false;
    const auto [ended, isNewServer] = this->endedServers.try_emplace(crash.server);
    // A server that started again under the same id and has not been read from the store yet.
    if (!isNewServer && crash.endedAt - ended->second.endedAt > sameEndTime)
        ended->second.requests.clear();
    if (ended->second.requests.empty())
        ended->second.endedAt = crash.endedAt;
    if (ended->second.requests.size() < maximumRequestsPerServer)
        ended->second.requests.insert(crash.request);
    if (this->endedServers.size() > maximumServers)
        eraseOldest(this->endedServers, [](const EndedServer& server) { return server.endedAt; });
    if (acquittal != this->acquittals.end() && crash.endedAt <= acquittal->second.latest())
        return false;
    if (!this->suspects.contains(crash.request))
        this->makeRoom();
    Suspect& suspect = this->suspects[crash.request];
    const bool isKnown
        = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&crash](const ServerCrash& known) {
              const bool isSameEnd = std::chrono::abs(crash.endedAt - known.endedAt) <= sameEndTime;
              return known.server == crash.server && (isSameEnd || crash.isSilent || known.isSilent);
          });
    if (isKnown || suspect.crashes.size() >= maximumCrashesPerRequest)
        return false;
    suspect.crashes.push_back(crash);
    suspect.decidableAt = now + settlingTime;
    suspect.nextTrialAt = std::max(suspect.nextTrialAt, crash.endedAt + trialDelay);
    this->undecided.insert(crash.request);
    return true;
}

double CrashQuarantine::weightOf(const ServerCrash& crash, SteadyTime previousEndedAt) const
{
    const auto found = this->endedServers.find(crash.server);
    if (found == this->endedServers.end())
        return 1;
    // On a connection that was open before, the end of the server may have been on its way.
    const bool isNearPrevious = crash.endedAt - coincidenceTime < previousEndedAt;
    bool isDoubtful = crash.isSilent || (isNearPrevious && !crash.isOnNewConnection);
    for (const RequestFingerprint request : found->second.requests) {
        const auto other = this->suspects.find(request);
        if (request == crash.request || other == this->suspects.end())
            continue;
        if (other->second.isQuarantined())
            return 0;
        isDoubtful = isDoubtful || other->second.crashes.size() > 1;
    }
    const auto isCoincident = [&](const auto& entry) {
        const SteadyTime::duration distance = entry.second.endedAt - found->second.endedAt;
        return !entry.second.requests.contains(crash.request) && distance <= coincidenceTime
            && distance >= -coincidenceTime;
    };
    isDoubtful = isDoubtful || std::any_of(this->endedServers.begin(), this->endedServers.end(), isCoincident);
    return isDoubtful ? doubtfulCrashWeight : 1;
}

double CrashQuarantine::totalWeight(const Suspect& suspect) const
{
    std::vector<ServerCrash> crashes = suspect.crashes;
    std::sort(crashes.begin(), crashes.end(),
        [](const ServerCrash& left, const ServerCrash& right) { return left.endedAt < right.endedAt; });
    double total = 0;
    SteadyTime previousEndedAt;
    for (const ServerCrash& crash : crashes) {
        if (crash.sentAt < previousEndedAt)
            continue;
        total += this->weightOf(crash, previousEndedAt);
        previousEndedAt = crash.endedAt;
    }
    return total;
}

void CrashQuarantine::decideQuarantine(RequestFingerprint request)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || found->second.isQuarantined()
        || this->totalWeight(found->second) < quarantineWeight)
        return;
    const SteadyTime now = this->clock.now();
    const bool hasOwnCrash = found->second.hasOwnCrash;
    this->quarantine(request, now, now, hasOwnCrash ? QuarantineSource::OwnCrashes : QuarantineSource::Peer);
    // The instances that have seen a crash tell all others.
    if (hasOwnCrash)
        this->announce(request);
}

void CrashQuarantine::quarantine(
    RequestFingerprint request, SteadyTime beganAt, SteadyTime lastRequestAt, QuarantineSource source)
{
    const auto acquittal = this->acquittals.find(request);
    const bool isCleared = acquittal != this->acquittals.end() && beganAt <= acquittal->second.clearedAt;
    if (isCleared || lastRequestAt + retentionTime < this->clock.now())
        return;
    if (!this->suspects.contains(request))
        this->makeRoom();
    Suspect& suspect = this->suspects[request];
    suspect.lastRequestAt = std::max(suspect.lastRequestAt, lastRequestAt);
    if (suspect.isQuarantined())
        return;
    suspect.quarantinedAt = beganAt;
    if (this->changeHook)
        this->changeHook(this->entryOf(request, suspect), source, false);
}

void CrashQuarantine::acquit(
    RequestFingerprint request, SteadyTime Acquittal::*kind, SteadyTime at, QuarantineSource source)
{
    Acquittal& acquittal = this->acquittals[request];
    if (acquittal.*kind >= at)
        return;
    acquittal.*kind = at;
    if (this->acquittals.size() > maximumRequests)
        eraseOldest(this->acquittals, [](const Acquittal& entry) { return entry.latest(); });
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return;
    Suspect& suspect = found->second;
    std::erase_if(suspect.crashes, [at](const ServerCrash& crash) { return crash.endedAt <= at; });
    const bool isCleared = kind == &Acquittal::clearedAt && suspect.isQuarantined() && suspect.quarantinedAt <= at;
    if (isCleared && this->changeHook)
        this->changeHook(this->entryOf(request, suspect), source, true);
    if (isCleared)
        suspect.quarantinedAt = {};
    if (!suspect.isQuarantined() && suspect.crashes.empty())
        this->suspects.erase(found);
}

void CrashQuarantine::recordCrash(const ServerCrash& crash)
{
    if (!this->addCrash(crash, trialInterval))
        return;
    this->suspects[crash.request].hasOwnCrash = true;
    this->announce(crash.request);
}

void CrashQuarantine::recordResponse(RequestFingerprint request)
{
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end() || found->second.crashes.empty())
        return;
    this->acquit(request, &Acquittal::respondedAt, this->clock.now(), QuarantineSource::OwnCrashes);
    this->announce(request);
}

bool CrashQuarantine::clear(RequestFingerprint request)
{
    if (!this->suspects.contains(request))
        return false;
    this->acquit(request, &Acquittal::clearedAt, this->clock.now(), QuarantineSource::Operator);
    this->announce(request);
    return true;
}

void CrashQuarantine::adoptQuarantine(RequestFingerprint request, SteadyTime beganAt, SteadyTime lastRequestAt)
{
    this->quarantine(request, beganAt, lastRequestAt, QuarantineSource::Store);
}

void CrashQuarantine::adoptClearance(RequestFingerprint request, SteadyTime clearedAt)
{
    this->acquit(request, &Acquittal::clearedAt, clearedAt, QuarantineSource::Store);
}

void CrashQuarantine::merge(const QuarantineMessage& message)
{
    for (const ReportedAcquittal& acquittal : message.acquittals) {
        const SteadyTime at = this->timeOfAge(acquittal.ageMs);
        if (at + retentionTime >= this->clock.now())
            this->acquit(acquittal.request, acquittal.isByOperator ? &Acquittal::clearedAt : &Acquittal::respondedAt,
                at, QuarantineSource::Peer);
    }
    for (const ReportedCrash& crash : message.crashes) {
        const auto spreadMs = static_cast<int64_t>(randomBelow(static_cast<uint64_t>(trialSpread.count())));
        this->addCrash({ crash.request, crash.server, this->timeOfAge(crash.sentAgeMs),
                           this->timeOfAge(crash.endedAgeMs), crash.isOnNewConnection, crash.isSilent },
            trialInterval + Milliseconds(spreadMs));
    }
    for (const ReportedQuarantine& reported : message.quarantines)
        this->quarantine(reported.request, this->timeOfAge(reported.beganAgeMs), this->timeOfAge(reported.requestAgeMs),
            QuarantineSource::Peer);
}

void CrashQuarantine::makeRoom()
{
    if (this->suspects.size() < maximumRequests)
        return;
    // A request in quarantine is forgotten only if all requests are.
    const auto lastUse = [](const Suspect& suspect) {
        return suspect.isQuarantined() ? std::pair(true, suspect.lastRequestAt) : std::pair(false, suspect.decidableAt);
    };
    eraseOldest(this->suspects, lastUse);
}

void CrashQuarantine::removeExpired()
{
    const SteadyTime oldest = this->clock.now() - retentionTime;
    for (auto& [request, suspect] : this->suspects)
        std::erase_if(suspect.crashes, [oldest](const ServerCrash& crash) { return crash.endedAt < oldest; });
    std::erase_if(this->suspects, [oldest](const auto& entry) {
        const Suspect& suspect = entry.second;
        return suspect.isQuarantined() ? suspect.lastRequestAt < oldest : suspect.crashes.empty();
    });
    std::erase_if(this->endedServers, [oldest](const auto& entry) { return entry.second.endedAt < oldest; });
    std::erase_if(this->acquittals, [oldest](const auto& entry) { return entry.second.latest() < oldest; });
}

void CrashQuarantine::update()
{
    const SteadyTime now = this->clock.now();
    std::erase_if(this->undecided, [this, now](RequestFingerprint request) {
        const auto found = this->suspects.find(request);
        if (found == this->suspects.end())
            return true;
        if (now < found->second.decidableAt)
            return false;
        this->decideQuarantine(request);
        return true;
    });
    if (now < this->nextExpiryCheckAt)
        return;
    this->nextExpiryCheckAt = now + expiryCheckInterval;
    this->removeExpired();
}

void CrashQuarantine::announce(RequestFingerprint request) { this->news[request] = { this->clock.now(), newsSends }; }

QuarantineMessage CrashQuarantine::describe(RequestFingerprint request) const
{
    QuarantineMessage message;
    const auto acquittal = this->acquittals.find(request);
    if (acquittal != this->acquittals.end()) {
        for (const bool isByOperator : { false, true }) {
            const SteadyTime at = isByOperator ? acquittal->second.clearedAt : acquittal->second.respondedAt;
            if (at != SteadyTime())
                message.acquittals.push_back({ request, this->ageMs(at), isByOperator });
        }
    }
    const auto found = this->suspects.find(request);
    if (found == this->suspects.end())
        return message;
    const Suspect& suspect = found->second;
    for (const ServerCrash& crash : suspect.crashes)
        message.crashes.push_back({ request, crash.server, this->ageMs(crash.sentAt), this->ageMs(crash.endedAt),
            crash.isOnNewConnection, crash.isSilent });
    if (suspect.isQuarantined())
        message.quarantines.push_back(
            { request, this->ageMs(suspect.quarantinedAt), this->ageMs(suspect.lastRequestAt) });
    return message;
}

std::vector<QuarantineMessage> CrashQuarantine::collectNews()
{
    std::vector<QuarantineMessage> messages;
    const SteadyTime now = this->clock.now();
    for (auto& [request, entry] : this->news) {
        if (now < entry.nextSendAt)
            continue;
        entry.nextSendAt = now + newsInterval;
        --entry.remainingSends;
        const QuarantineMessage message = this->describe(request);
        if (messages.empty() || messages.back().size() + message.size() > maximumReportsPerMessage)
            messages.push_back(message);
        else
            append(messages.back(), message);
    }
    std::erase_if(this->news, [](const auto& entry) { return entry.second.remainingSends <= 0; });
    return messages;
}

QuarantineMessage CrashQuarantine::nextSummary()
{
    // Sorted, since the order of the hash table changes with its size.
    std::set<RequestFingerprint> requests;
    for (const auto& [request, suspect] : this->suspects)
        requests.insert(request);
    for (const auto& [request, acquittal] : this->acquittals) {
        if (acquittal.clearedAt != SteadyTime())
            requests.insert(request);
    }
    QuarantineMessage summary;
    auto next = requests.upper_bound(this->summaryPosition);
    for (size_t count = 0; count < requests.size(); ++count) {
        if (next == requests.end())
            next = requests.begin();
        const QuarantineMessage message = this->describe(*next);
        if (!summary.isEmpty() && summary.size() + message.size() > maximumReportsPerMessage)
            break;
        append(summary, message);
        this->summaryPosition = *next++;
    }
    return summary;
}

std::vector<CrashQuarantine::Entry> CrashQuarantine::entries() const
{
    std::vector<Entry> entries;
    entries.reserve(this->suspects.size());
    for (const auto& [request, suspect] : this->suspects)
        entries.push_back(this->entryOf(request, suspect));
    std::sort(entries.begin(), entries.end(),
        [](const Entry& left, const Entry& right) { return left.request < right.request; });
    return entries;
}

size_t CrashQuarantine::quarantinedCount() const
{
    return static_cast<size_t>(std::count_if(
        this->suspects.begin(), this->suspects.end(), [](const auto& entry) { return entry.second.isQuarantined(); }));
}

std::map<RequestFingerprint, SteadyTime> CrashQuarantine::clearedRequests() const
{
    std::map<RequestFingerprint, SteadyTime> cleared;
    for (const auto& [request, acquittal] : this->acquittals) {
        if (acquittal.clearedAt != SteadyTime())
            cleared[request] = acquittal.clearedAt;
    }
    return cleared;
}

}
