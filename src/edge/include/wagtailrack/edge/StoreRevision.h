#pragma once

#include <compare>
#include <cstdint>

namespace wagtailrack::edge {

// A point in the history of the store. The era rises each time the store returns from an older copy; revisions are then
// given out again, for other changes, so that they are comparable within an era only. Every point of a higher era comes
// after all points of a lower one. Stores and instances that tell no era are in era 0. An immutable value.
class StoreRevision {
public:
    constexpr StoreRevision() = default;
    constexpr StoreRevision(int64_t era, int64_t number)
        : eraNumber(era)
        , revisionNumber(number)
    {
    }

    // Before every revision.
    static constexpr StoreRevision none() { return { 0, -1 }; }

    constexpr int64_t era() const noexcept { return this->eraNumber; }
    constexpr int64_t number() const noexcept { return this->revisionNumber; }

    friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default; // NOLINT(modernize-use-nullptr)

private:
    int64_t eraNumber = 0;
    int64_t revisionNumber = 0;
};

// A lease, whose id is valid only in the era in which it was granted: in a later one it may belong to another instance.
class StoreLease {
public:
    constexpr StoreLease() = default;
    constexpr StoreLease(int64_t era, int64_t id)
        : eraNumber(era)
        , leaseId(id)
    {
    }

    constexpr int64_t era() const noexcept { return this->eraNumber; }
    constexpr int64_t id() const noexcept { return this->leaseId; }

    friend auto operator<=>(const StoreLease&, const StoreLease&) = default; // NOLINT(modernize-use-nullptr)

private:
    int64_t eraNumber = 0;
    int64_t leaseId = 0;
};

}
