#include <wagtailrack/edge/WorkspaceDirectory.h>

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace wagtailrack::edge;

TEST_GROUP(WorkspaceDirectory)
{
    WorkspaceDirectory directory;

    void setup() override
    {
        Workspace first;
        first.name = "first";
        CHECK_TRUE(this->directory.add(first, { "key-1", "key-2" }));
        Workspace second;
        second.name = "second";
        CHECK_TRUE(this->directory.add(second, { "key-3" }));
    }
};

// Guards against requests that are executed for another workspace, or with a key that is only similar to a valid one.
TEST(WorkspaceDirectory, onlyCompleteKeysAreFound)
{
    STRCMP_EQUAL("first", this->directory.findByKey("key-2")->name.c_str());
    STRCMP_EQUAL("second", this->directory.findByKey("key-3")->name.c_str());
    for (const char* wrong : { "", "key-", "key-4", "key-11", "KEY-1", " key-1" })
        POINTERS_EQUAL(nullptr, this->directory.findByKey(wrong));
    STRCMP_EQUAL("second", this->directory.findByName("second")->name.c_str());
    POINTERS_EQUAL(nullptr, this->directory.findByName("key-1"));
}

// Guards against a key that stands for two workspaces: its requests would count towards the limits of either.
TEST(WorkspaceDirectory, keyOrNameOfAnotherWorkspaceIsRefused)
{
    Workspace third;
    third.name = "third";
    CHECK_FALSE(this->directory.add(third, { "key-4", "key-1" }));
    third.name = "first";
    CHECK_FALSE(this->directory.add(third, { "key-5" }));
    LONGS_EQUAL(2, this->directory.workspaceCount());
    LONGS_EQUAL(3, this->directory.keyCount());
}

// Guards against indexes that refer to the moved object: a directory is moved into its routing table.
TEST(WorkspaceDirectory, keysAreFoundAfterAMove)
{
    const WorkspaceDirectory moved(std::move(this->directory));
    STRCMP_EQUAL("first", moved.findByKey("key-1")->name.c_str());
    STRCMP_EQUAL("first", moved.findByName("first")->name.c_str());
}
