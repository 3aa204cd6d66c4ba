#include "StoreOptions.h"
#include "Subcommand.h"
#include "TableFolder.h"

#include <wagtailrack/process/HttpConfigurationStore.h>
#include <wagtailrack/process/TableStore.h>

#include <filesystem>
#include <iostream>

namespace wagtailrack::command {

// Fails with EditConflict when the folder has edits that were not applied.
static Status checkNoEdits(const TableFolder& folder)
{
    std::error_code failure;
    if (!std::filesystem::exists(folder.routesPath(), failure) && !std::filesystem::exists(folder.poolsPath(), failure))
        return success();
    const auto tables = folder.readTables();
    if (!tables)
        return tables.error();
    const auto base = folder.readBase();
    if (!base)
        return base.error();
    const FolderContent& edited = tables.value();
    if (edited.routesText == base.value().routesText && edited.poolsText == base.value().poolsText)
        return success();
    return makeError(
        ErrorCode::EditConflict, folder.routesPath(), "the folder has edits that were not applied; see --overwrite");
}

static Result<FolderContent> readStore(const StoreOptions& options)
{
    process::HttpConfigurationStore store(options.store);
    process::TableStore tables(store, SystemClock::shared());
    const auto head = tables.readHead(options.deadline);
    if (!head)
        return head.error();
    if (head.value().keyVersion == 0)
        return makeError(ErrorCode::NotFound, process::TableStore::headKey, "the store has no tables yet");
    const auto version = tables.load(head.value().head, nullptr, options.deadline);
    if (!version)
        return version.error();
    return FolderContent { version.value()->id, version.value()->routesText, version.value()->poolsText };
}

ExitCode runGet(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack get", "Writes the tables of the store into a folder, for editing.");
    options.add_options()("overwrite", "discard edits in the folder that were not applied");
    const ParsedStoreOptions parsed = parseStoreOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    const TableFolder folder(parsed.options->folder);
    if (parsed.given->count("overwrite") == 0) {
        if (auto status = checkNoEdits(folder); !status)
            return reportError(status.error());
    }
    const auto content = readStore(*parsed.options);
    if (!content)
        return reportError(content.error());
    if (auto status = folder.write(content.value()); !status)
        return reportError(status.error());
    std::cout << "generation " << content.value().id.generation << '\n';
    return ExitCode::Success;
}

}
