#include <wagtailrack/edge/RegionShares.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/edge/Placement.h>

#include <algorithm>
#include <cmath>

namespace wagtailrack::edge {

namespace {

// Utilisation (requests per slot) up to which the own region's callers use their region, and up to which they use other
// regions. Requests of a server's own region have precedence by the difference.
constexpr double ownRegionUtilisation = 0.8;
constexpr double otherRegionUtilisation = 0.7;
// Utilisation beyond these that is shared out at most when no region has room.
constexpr double maximumExtraUtilisation = 8;
constexpr int bisectionSteps = 24;
// Regions with servers that fail more often than this do not count as capacity.
constexpr double failingServerRate = 0.5;
// Round-trip time assumed for a region without a measurement, and a time that is added when regions are compared, so
// that very near regions do not get all objects.
constexpr double defaultRoundTripMs = 60;
constexpr double comparedRoundTripOffsetMs = 20;

constexpr Milliseconds updateInterval(100);
// Changes of the demand that last shorter than this are followed only in part. The hub's figures are about half a
// second old, and what moves shows its effect after the processing time: a shorter time makes the shares swing.
constexpr double smoothingMs = 1500;
// Part of the objects that moves in a second. The platform allows at most 0.15 of the requests to change their region
// from one window of 2 s to the next; the rest of it is left to single requests that avoid a full server.
constexpr double maximumMovePerSecond = 0.045;
constexpr double maximumStartingMovePerSecond = 1;
// The hub sends the demand more often than the first time. Demand older than the second no longer tells anything, since
// usual waves of demand take as long; objects then return to the own region at the rate below.
constexpr Milliseconds lastDemandValidity(30000);
constexpr double returnPerSecondWithoutDemand = 0.01;
// Refused requests would have needed slots, too. When nearly all are refused, the estimate is limited.
constexpr double maximumRefusedRatio = 0.7;
constexpr double loggedChange = 0.1;

// All objects belong to the own region.
const std::vector<RegionShare> noShares;

uint32_t demandKeyOf(const std::string& service, const std::string& region)
{
    return static_cast<uint32_t>(hash64(region, hash64(service)));
}

double totalRoom(const std::vector<RegionRoom>& rooms, double extraUtilisation)
{
    double total = 0;
    for (const RegionRoom& room : rooms) {
        const double utilisation = (room.isOwn ? ownRegionUtilisation : otherRegionUtilisation) + extraUtilisation;
        total += std::max(0.0, utilisation * room.slots - room.otherRequests);
    }
    return total;
}

double roomOf(const RegionRoom& room, double extraUtilisation) { return totalRoom({ room }, extraUtilisation); }

// Spreads `requests` over the other regions, which together have more room than that: in proportion to room and
// nearness, none beyond its room.
void fillOtherRegions(const std::vector<RegionRoom>& rooms, double requests, std::vector<double>& filled)
{
    for (size_t round = 0; round < rooms.size() && requests > 0; ++round) {
        std::vector<double> weights(rooms.size());
        double sum = 0;
        for (size_t index = 0; index < rooms.size(); ++index) {
            const double room = rooms[index].isOwn ? 0 : roomOf(rooms[index], 0);
            if (filled[index] < room)
                weights[index] = room / (rooms[index].roundTripMs + comparedRoundTripOffsetMs);
            sum += weights[index];
        }
        if (sum <= 0)
            return;
        const double toSpread = requests;
        for (size_t index = 0; index < rooms.size(); ++index) {
            if (weights[index] <= 0)
                continue;
            const double added = std::min(toSpread * weights[index] / sum, roomOf(rooms[index], 0) - filled[index]);
            filled[index] += added;
            requests -= added;
        }
    }
}

}

std::vector<double> computeRegionShares(const std::vector<RegionRoom>& rooms)
{
    double demand = 0;
    double slots = 0;
    for (const RegionRoom& room : rooms) {
        demand += room.ownRequests;
        slots += room.slots;
    }
    if (demand <= 0 || slots <= 0)
        return {};
    std::vector<double> filled(rooms.size());
    if (totalRoom(rooms, 0) >= demand) {
        double remaining = demand;
        for (size_t index = 0; index < rooms.size(); ++index) {
            if (!rooms[index].isOwn)
                continue;
            filled[index] = std::min(roomOf(rooms[index], 0), remaining);
            remaining -= filled[index];
        }
        fillOtherRegions(rooms, remaining, filled);
    } else {
        double low = 0;
        double high = maximumExtraUtilisation;
        for (int step = 0; step < bisectionSteps; ++step) {
            const double middle = (low + high) / 2;
            (totalRoom(rooms, middle) < demand ? low : high) = middle;
        }
        for (size_t index = 0; index < rooms.size(); ++index)
            filled[index] = roomOf(rooms[index], high);
    }
    double sum = 0;
    for (const double requests : filled)
        sum += requests;
    if (sum <= 0)
        return {};
    for (double& requests : filled)
        requests /= sum;
    return filled;
}

std::vector<RegionDemand> sumRegionDemand(const BackendFleet& fleet, const std::map<ServerKey, uint32_t>& inFlight)
{
    std::map<uint32_t, uint32_t> sums;
    for (const auto& [key, count] : inFlight) {
        if (const BackendServer* server = fleet.findByKey(key))
            sums[demandKeyOf(server->record.service, server->region)] += count;
    }
    std::vector<RegionDemand> demand;
    demand.reserve(sums.size());
    for (const auto& [key, count] : sums)
        demand.push_back({ key, count });
    return demand;
}

RegionShares::RegionShares(const Clock& clock, std::string ownRegion)
    : clock(clock)
    , ownRegion(std::move(ownRegion))
{
}

void RegionShares::setDemand(const std::vector<RegionDemand>& received, double refused)
{
    // Only one of the tables that a hub sends at a time carries the demand.
    if (received.empty())
        return;
    this->demand.clear();
    for (const RegionDemand& entry : received)
        this->demand[entry.serviceAndRegion] = entry.inFlight;
    this->refusedRatio = std::clamp(refused, 0.0, maximumRefusedRatio);
    this->demandAt = this->clock.now();
}

double RegionShares::distanceOf(uint64_t objectHash, const RegionShare& share)
{
    uint64_t hash = objectHash ^ share.regionHash;
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
    return -std::log(uniform) / share.share;
}

std::vector<RegionRoom> RegionShares::findRooms(
    const BackendFleet& fleet, const std::string& service, const std::map<std::string, double>& roundTripsMs) const
{
    const SteadyTime now = this->clock.now();
    struct Sums {
        double slots = 0;
        double load = 0;
        double processingMs = 0;
        double measuredServers = 0;
    };
    // The own region comes first.
    std::map<std::string_view, Sums> sums;
    for (const BackendServerPointer& server : fleet.servers(service)) {
        if (!fleet.isUsable(*server) || server->avoidUntil > now || server->pausedUntil > now)
            continue;
        Sums& region = sums[server->region];
        if (server->failureRate < failingServerRate)
            region.slots += usableSlots(*server) * server->capacity.speed;
        region.load += estimateLoad(*server, now);
        region.processingMs += server->averageProcessingMs;
        region.measuredServers += server->averageProcessingMs > 0 ? 1 : 0;
    }
    std::vector<RegionRoom> rooms;
    rooms.reserve(sums.size() + 1);
    const auto add = [&](const std::string& region, const Sums& known) {
        RegionRoom room;
        room.region = region;
        room.isOwn = region == this->ownRegion;
        room.slots = known.slots;
        const auto roundTrip = roundTripsMs.find(region);
        room.roundTripMs = room.isOwn ? 0 : roundTrip == roundTripsMs.end() ? defaultRoundTripMs : roundTrip->second;
        const auto sent = this->demand.find(demandKeyOf(service, region));
        const double inFlight = sent == this->demand.end() ? 0 : sent->second;
        // A request in flight to another region uses no slot while it is on the network.
        const double processingMs
            = known.measuredServers > 0 ? known.processingMs / known.measuredServers : defaultRoundTripMs;
        room.ownRequests = inFlight * processingMs / (processingMs + room.roundTripMs) / (1 - this->refusedRatio);
        room.otherRequests = std::max(0.0, known.load - inFlight);
        rooms.push_back(std::move(room));
    };
    add(this->ownRegion, sums[this->ownRegion]);
    for (const auto& [region, known] : sums) {
        if (region != this->ownRegion)
            add(std::string(region), known);
    }
    return rooms;
}

void RegionShares::update(ServiceShares& state, const std::vector<RegionRoom>& rooms, bool isStarting)
{
    const SteadyTime now = this->clock.now();
    const bool isFirst = state.shares.empty();
    const double elapsedMs
        = std::min(isFirst ? 0 : std::chrono::duration<double, std::milli>(now - state.updatedAt).count(), smoothingMs);
    state.updatedAt = now;

    // Regions that disappeared keep their share until it has moved: their servers may only be unknown for a moment.
    std::vector<double> target = computeRegionShares(rooms);
    const bool hasDemand = now - this->demandAt < lastDemandValidity && this->demandAt != SteadyTime();
    if (!hasDemand && (rooms.empty() || rooms.front().slots > 0)) {
        target.assign(rooms.size(), 0);
        target.front() = 1;
    }
    std::map<std::string_view, double> targets;
    for (size_t index = 0; index < rooms.size(); ++index) {
        const auto known = std::find_if(state.shares.begin(), state.shares.end(),
            [&](const RegionShare& share) { return share.region == rooms[index].region; });
        if (known == state.shares.end())
            state.shares.push_back(
                { rooms[index].region, hash64(rooms[index].region), isFirst && index == 0 ? 1.0 : 0 });
        if (!target.empty())
            targets[rooms[index].region] = target[index];
    }
    if (target.empty())
        return;
    double growth = 0;
    std::vector<double> changes(state.shares.size());
    const double followed = isFirst ? 1 : 1 - std::exp(-elapsedMs / smoothingMs);
    for (size_t index = 0; index < changes.size(); ++index) {
        const auto wanted = targets.find(state.shares[index].region);
        changes[index] = ((wanted == targets.end() ? 0 : wanted->second) - state.shares[index].share) * followed;
        growth += std::max(0.0, changes[index]);
    }
    const double rate = !hasDemand ? returnPerSecondWithoutDemand
        : isStarting               ? maximumStartingMovePerSecond
                                   : maximumMovePerSecond;
    // A new instance takes over the shares that the others have reached.
    const double limit = isFirst ? 1 : rate * elapsedMs / 1000;
    const double scale = growth > limit ? limit / growth : 1;
    for (size_t index = 0; index < changes.size(); ++index)
        state.shares[index].share = std::clamp(state.shares[index].share + scale * changes[index], 0.0, 1.0);
    // Ends the approach to the full share, which would otherwise take forever.
    if (target.front() >= 1 && state.shares.front().share > 0.999) {
        for (RegionShare& share : state.shares)
            share.share = &share == &state.shares.front() ? 1 : 0;
    }
}

void RegionShares::reportChange(const std::string& service, ServiceShares& state) const
{
    const double ownShare = state.shares.front().share;
    if (std::abs(ownShare - state.loggedOwnShare) < loggedChange && (ownShare < 1 || state.loggedOwnShare == 1))
        return;
    state.loggedOwnShare = ownShare;
    if (this->changeHook)
        this->changeHook({ service, ownShare, state.demand, state.ownSlots });
}

const std::vector<RegionShare>& RegionShares::currentShares(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.isSpread ? found->second.shares : noShares;
}

const std::vector<RegionShare>& RegionShares::sharesOf(const BackendFleet& fleet, const std::string& service,
    const std::map<std::string, double>& roundTripsMs, bool isStarting)
{
    ServiceShares& state = this->services[service];
    if (state.shares.empty() || this->clock.now() - state.updatedAt >= updateInterval) {
        const std::vector<RegionRoom> rooms = this->findRooms(fleet, service, roundTripsMs);
        this->update(state, rooms, isStarting);
        state.demand = 0;
        for (const RegionRoom& room : rooms)
            state.demand += room.ownRequests;
        state.ownSlots = rooms.front().slots;
        state.isSpread = state.shares.front().share < 1;
        this->reportChange(service, state);
    }
    return state.isSpread ? state.shares : noShares;
}

void RegionShares::forEachShare(const std::function<void(const std::string&, const RegionShare&)>& visit) const
{
    for (const auto& [service, state] : this->services) {
        for (const RegionShare& share : state.shares)
            visit(service, share);
    }
}

}
