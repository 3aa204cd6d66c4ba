#pragma once

#include "TableFolder.h"

#include <wagtailrack/process/TableStore.h>
#include <wagtailrack/version/TableMerge.h>

#include <string>
#include <vector>

namespace wagtailrack::command {

// What became of an edit. Without an error, `content` is what the store has now.
struct EditResult {
    Status status = success();
    FolderContent content;
    // Records that were sent; empty when the store already had them.
    std::vector<std::string> changes;
    // Records that another operator changed too; then nothing was sent.
    std::vector<version::MergeConflict> conflicts;
};

// One operator's edit: the changes between the folder's base and its tables, put on top of what the store has. Lives
// for one `apply`; used by one thread.
class TableEdit {
public:
    TableEdit(process::TableStore& store, const Clock& clock, FolderContent base, FolderContent own);

    // Repeats until the edit is in the store, conflicts, or the deadline passes. Every try has the same edit id.
    EditResult run(SteadyTime deadline);

private:
    // One try. Fails with VersionConflict when another edit came first.
    EditResult attempt(SteadyTime deadline);
    // Whether the store's history goes on from the base.
    Status checkBase(const version::Head& head) const;

    process::TableStore& store;
    const Clock& clock;
    FolderContent base;
    FolderContent own;
    std::string editId;
};

}
