#include <wagtailrack/edge/DepartedServers.h>
#include <wagtailrack/edge/StoreRecovery.h>
#include <wagtailrack/edge/StoreRevision.h>

#include <CppUTest/TestHarness.h>

#include "FakeClock.h"

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(StoreRecovery)
{
    FakeClock clock;
    StoreRecovery recovery { this->clock, Milliseconds(2200) };
};

// Guards against copies that are compared by their revisions across a rollback.
TEST(StoreRecovery, everyRevisionOfAHigherEraIsLater)
{
    CHECK_TRUE(StoreRevision(2, 1) > StoreRevision(1, 1000));
    CHECK_TRUE(StoreRevision(1, 7) > StoreRevision(1, 6));
    CHECK_TRUE(StoreRevision::none() < StoreRevision());
    CHECK_FALSE(StoreRevision(1, 7) == StoreRevision(2, 7));
}

// Guards against an evacuated failure domain that gets requests because the older copy lacks the evacuation, and
// against one that stays out for ever.
TEST(StoreRecovery, evacuationsAreRetainedForTheRecoveryOnly)
{
    this->recovery.begin(1);
    this->recovery.retainEvacuation("north-a");
    this->clock.advance(Milliseconds(2100));
    LONGS_EQUAL(1, this->recovery.retainedEvacuations().size());
    CHECK_FALSE(this->recovery.takeExpiry());
    this->clock.advance(Milliseconds(200));
    CHECK_TRUE(this->recovery.retainedEvacuations().empty());
    CHECK_TRUE(this->recovery.takeExpiry());
    CHECK_FALSE(this->recovery.takeExpiry());
}

// Guards against an evacuation that outlives its end by the operator, which was written in the new era, and against a
// peer that brings it back.
TEST(StoreRecovery, evacuationThatWasWrittenAgainFollowsTheStore)
{
    this->recovery.begin(1);
    this->recovery.retainEvacuation("north-a");
    this->recovery.releaseEvacuation("north-a");
    this->recovery.retainEvacuation("north-a");
    CHECK_TRUE(this->recovery.retainedEvacuations().empty());
    // A further rollback loses that write as well.
    this->recovery.begin(2);
    this->recovery.retainEvacuation("north-a");
    LONGS_EQUAL(1, this->recovery.retainedEvacuations().size());
}

// Guards against instances that prolong each other's recovery for ever.
TEST(StoreRecovery, joinedRecoveryEndsWithThatOfThePeer)
{
    this->recovery.join(3, Milliseconds(700));
    LONGS_EQUAL(3, this->recovery.era());
    this->clock.advance(Milliseconds(800));
    CHECK_FALSE(this->recovery.isActive());
    this->recovery.join(4, Milliseconds(1'000'000));
    this->clock.advance(Milliseconds(2300));
    CHECK_FALSE(this->recovery.isActive());
}

// Guards against memory and messages that grow with every server that has ever left.
TEST(StoreRecovery, rememberedDeparturesAreBounded)
{
    DepartedServers departed;
    for (size_t index = 0; index < 2 * DepartedServers::maximumDepartures; ++index) {
        this->clock.advance(Milliseconds(1));
        departed.record({ { "s" + std::to_string(index), 0 }, true }, this->clock.now());
    }
    departed.beginHold(this->clock.now(), this->clock.now() + Milliseconds(2200));
    LONGS_EQUAL(DepartedServers::maximumDepartures, departed.heldDepartures(this->clock.now()).size());
    CHECK_FALSE(departed.isHeld({ "s0", 0 }, this->clock.now()));
    this->clock.advance(DepartedServers::memoryTime + Milliseconds(3000));
    CHECK_TRUE(departed.heldDepartures(this->clock.now()).empty());
}
