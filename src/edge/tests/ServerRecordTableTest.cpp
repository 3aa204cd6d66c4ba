#include <wagtailrack/edge/ServerRecordTable.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <random>

using namespace wagtailrack;
using namespace wagtailrack::edge;

namespace {

// Takes the value of an item for the service of its server; an empty value is no valid record.
class FakeCodec final : public ClusterCodec {
public:
    StoreLayout layout() const override { return {}; }
    bool isConfiguration(const std::string& /* key */) const override { return false; }
    Result<RoutingTablePointer> decodeConfiguration(const std::string& text) const override
    {
        return makeError(ErrorCode::AnswerInvalid, "configuration", text);
    }
    Result<ServerRecord> decodeServer(const StoreItem& item) const override
    {
        if (item.value.empty())
            return makeError(ErrorCode::AnswerInvalid, item.key, "no service");
        ServerRecord record;
        record.id = item.key;
        record.service = item.value;
        return record;
    }
    std::optional<std::string> evacuatedDomain(const std::string& /* key */) const override { return std::nullopt; }
};

// The store as a list of items, with a revision for each change.
class FakeStore {
public:
    void put(const std::string& key, const std::string& value)
    {
        this->items[key] = { key, value, { this->era, ++this->revision } };
    }
    void remove(const std::string& key)
    {
        ++this->revision;
        this->items.erase(key);
    }
    ServerRecordUpdate list() const
    {
        ServerRecordUpdate listing;
        for (const auto& [key, item] : this->items)
            listing.items.push_back(item);
        listing.revision = { this->era, this->revision };
        return listing;
    }

    // Returns to the state `copy`, in a new era.
    void rollBackTo(const FakeStore& copy)
    {
        const int64_t nextEra = this->era + 1;
        *this = copy;
        this->era = nextEra;
        for (auto& [key, item] : this->items)
            item.modificationRevision = { nextEra, item.modificationRevision.number() };
    }

    std::map<std::string, StoreItem> items;
    int64_t era = 0;
    int64_t revision = 0;
};

}

// Copies of the server records of which some are read from the store, and some from another copy.
TEST_GROUP(ServerRecordTable)
{
    FakeCodec codec;
    FakeStore store;
    int refusedItems = 0;

    ServerRecordTable makeTable()
    {
        return ServerRecordTable(
            this->codec, [this](const StoreItem& /* item */, const Error& /* error */) { ++this->refusedItems; });
    }

    // Brings `copy` up to date as a poll of `source` does.
    static void poll(ServerRecordTable & copy, const ServerRecordTable& source)
    {
        if (source.revision() >= copy.revision())
            copy.apply(source.updateFor(copy.version()));
    }

    static void checkEqual(const ServerRecordTable& first, const ServerRecordTable& second)
    {
        CHECK_TRUE(first.records() == second.records());
        CHECK_TRUE(first.hash() == second.hash());
    }
};

// Guards against a server that a copy keeps for ever after it has left (review case 5): its record was added and
// removed between two listings of the table that the copy polls.
TEST(ServerRecordTable, copyWithARecordThatTheTableNeverKnewIsSentAllRecords)
{
    ServerRecordTable reader = makeTable();
    ServerRecordTable copy = makeTable();
    this->store.put("s1", "prices");
    reader.apply(this->store.list());
    poll(copy, reader);
    this->store.put("s2", "prices");
    copy.apply(this->store.list());
    this->store.remove("s2");
    reader.apply(this->store.list());
    CHECK_TRUE(reader.updateFor(copy.version()).isFullListing);
    poll(copy, reader);
    checkEqual(copy, reader);
}

// Guards against the reverse, a server that a copy misses for ever: its record was damaged and repaired meanwhile.
TEST(ServerRecordTable, copyWithoutARepairedRecordIsSentIt)
{
    ServerRecordTable reader = makeTable();
    ServerRecordTable copy = makeTable();
    this->store.put("s1", "prices");
    reader.apply(this->store.list());
    this->store.put("s1", "");
    copy.apply(this->store.list());
    LONGS_EQUAL(0, copy.size());
    this->store.put("s1", "prices");
    reader.apply(this->store.list());
    poll(copy, reader);
    checkEqual(copy, reader);
    LONGS_EQUAL(1, this->refusedItems);
}

// Guards against the same with a record that was removed and came back with the same key, and with one that changed
// while the revision of the listing stayed the same, as pages that are read one after the other can show.
TEST(ServerRecordTable, changesBetweenTwoListingsReachTheCopy)
{
    ServerRecordTable reader = makeTable();
    ServerRecordTable copy = makeTable();
    this->store.put("s1", "prices");
    this->store.put("s2", "prices");
    reader.apply(this->store.list());
    this->store.remove("s1");
    copy.apply(this->store.list());
    this->store.put("s1", "prices");
    reader.apply(this->store.list());
    poll(copy, reader);
    checkEqual(copy, reader);
    ServerRecordUpdate sameRevision = this->store.list();
    sameRevision.items.front().value = "orders";
    reader.apply(sameRevision);
    poll(copy, reader);
    checkEqual(copy, reader);
}

// A copy that equals an earlier version is sent the changes alone, whoever read it from the store.
TEST(ServerRecordTable, copyWithAKnownVersionIsSentChanges)
{
    ServerRecordTable reader = makeTable();
    ServerRecordTable copy = makeTable();
    for (const char* key : { "s1", "s2", "s3" })
        this->store.put(key, "prices");
    reader.apply(this->store.list());
    ++this->store.revision;
    copy.apply(this->store.list());
    this->store.put("s4", "orders");
    this->store.remove("s2");
    reader.apply(this->store.list());
    const ServerRecordUpdate update = reader.updateFor(copy.version());
    CHECK_FALSE(update.isFullListing);
    LONGS_EQUAL(1, update.items.size());
    LONGS_EQUAL(1, update.removed.size());
    // An instance of an earlier release tells the revision alone.
    CHECK_TRUE(reader.updateFor({ copy.revision(), std::nullopt }).isFullListing);
    CHECK_FALSE(reader.updateFor({ reader.revision(), std::nullopt }).isFullListing);
    poll(copy, reader);
    checkEqual(copy, reader);
}

// Guards against copies that differ from the table they polled, after any order of listings, polls and changes: two
// readers, copies that read the store themselves, records that are added, removed, damaged and repaired, restarts, and
// rollbacks of the store.
TEST(ServerRecordTable, polledCopiesEqualTheirSource)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const auto draw = [&random](unsigned count) { return random() % count; };
        FakeStore changingStore;
        FakeStore earlier;
        std::array<std::unique_ptr<ServerRecordTable>, 4> tables;
        for (std::unique_ptr<ServerRecordTable>& table : tables)
            table = std::make_unique<ServerRecordTable>(makeTable());
        for (int step = 0; step < 400; ++step) {
            const std::string key = "s" + std::to_string(draw(6));
            std::unique_ptr<ServerRecordTable>& table = tables[draw(4)];
            const ServerRecordTable& source = *tables[draw(4)];
            switch (draw(9)) {
            case 0:
                changingStore.remove(key);
                break;
            case 1:
                changingStore.put(key, draw(4) == 0 ? "" : "service" + std::to_string(draw(2)));
                break;
            case 2:
                table->apply(changingStore.list());
                break;
            case 3:
                if (draw(20) == 0)
                    table = std::make_unique<ServerRecordTable>(makeTable());
                break;
            case 4:
                if (draw(4) == 0)
                    changingStore.rollBackTo(earlier);
                else if (draw(4) == 0)
                    earlier = changingStore;
                break;
            default:
                if (table.get() == &source || source.revision() < table->revision())
                    break;
                poll(*table, source);
                CHECK_TRUE_TEXT(table->records() == source.records(), ("seed " + std::to_string(seed)).c_str());
            }
        }
    }
}

// Guards against a copy that keeps what a rollback of the store has lost, because the revisions are lower than before.
TEST(ServerRecordTable, copyOfAnEarlierEraIsReplacedDespiteItsHigherRevision)
{
    ServerRecordTable reader = makeTable();
    ServerRecordTable copy = makeTable();
    this->store.put("s1", "prices");
    const FakeStore earlier = this->store;
    this->store.put("s2", "prices");
    this->store.put("s3", "prices");
    reader.apply(this->store.list());
    copy.apply(this->store.list());
    this->store.rollBackTo(earlier);
    this->store.put("s4", "prices");
    reader.apply(this->store.list());
    CHECK_TRUE(reader.revision() > copy.revision());
    CHECK_TRUE(reader.revision().number() < copy.revision().number());
    poll(copy, reader);
    checkEqual(copy, reader);
}

// Guards against changes that are sent to a peer of an earlier release, which tells no hash, because its revision has
// been given out again in the new era for other records.
TEST(ServerRecordTable, equalRevisionsOfTwoErasAreNotTheSameVersion)
{
    ServerRecordTable reader = makeTable();
    this->store.put("s1", "prices");
    const FakeStore earlier = this->store;
    this->store.put("s2", "prices");
    reader.apply(this->store.list());
    const StoreRevision revision = reader.revision();
    CHECK_FALSE(reader.updateFor({ revision, std::nullopt }).isFullListing);
    this->store.rollBackTo(earlier);
    this->store.put("s3", "prices");
    ServerRecordTable restarted = makeTable();
    restarted.apply(this->store.list());
    LONGS_EQUAL(revision.number(), restarted.revision().number());
    CHECK_TRUE(restarted.updateFor({ revision, std::nullopt }).isFullListing);
}
