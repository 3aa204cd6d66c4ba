#include "StoreOptions.h"
#include "Subcommand.h"
#include "TableEdit.h"

#include <wagtailrack/process/HttpConfigurationStore.h>

#include <algorithm>
#include <iostream>
#include <sstream>

namespace wagtailrack::command {

static std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (!line.empty())
            lines.push_back(line);
    }
    return lines;
}

static void printMissing(const std::string& from, const std::string& in, const char* mark)
{
    const auto others = linesOf(in);
    for (const std::string& line : linesOf(from)) {
        if (std::find(others.begin(), others.end(), line) == others.end())
            std::cerr << mark << line << '\n';
    }
}

static void printConflict(const version::MergeConflict& conflict)
{
    std::cerr << "conflict: " << conflict.record << '\n';
    if (conflict.otherText.empty())
        std::cerr << "  removed in the store\n";
    if (conflict.ownText.empty())
        std::cerr << "  removed in the folder\n";
    printMissing(conflict.otherText, conflict.ownText, "  store  - ");
    printMissing(conflict.ownText, conflict.otherText, "  folder + ");
}

// The first tables of a store can have thousands of records.
static void printChanges(const std::vector<std::string>& changes)
{
    constexpr size_t maxPrinted = 20;
    for (size_t index = 0; index < std::min(changes.size(), maxPrinted); ++index)
        std::cout << "changed " << changes[index] << '\n';
    if (changes.size() > maxPrinted)
        std::cout << "and " << changes.size() - maxPrinted << " more records\n";
}

static Result<EditResult> applyFolder(const StoreOptions& options, const TableFolder& folder, const FolderContent& own)
{
    auto base = folder.readBase();
    if (!base)
        return base.error();
    const auto tables
        = version::parseTables(own.routesText, own.poolsText, { folder.routesPath(), folder.poolsPath() });
    if (!tables)
        return tables.error();
    process::HttpConfigurationStore store(options.store);
    process::TableStore tableStore(store, SystemClock::shared());
    return TableEdit(tableStore, SystemClock::shared(), std::move(base).value(), own).run(options.deadline);
}

ExitCode runApply(int argumentCount, char** arguments)
{
    cxxopts::Options options("wagtailrack apply",
        "Validates the tables of a folder and sends the records that were changed since get to the store.");
    const ParsedStoreOptions parsed = parseStoreOptions(options, argumentCount, arguments);
    if (!parsed.options)
        return parsed.exitCode;
    const TableFolder folder(parsed.options->folder);
    const auto own = folder.readTables();
    if (!own)
        return reportError(own.error());
    const auto result = applyFolder(*parsed.options, folder, own.value());
    if (!result)
        return reportError(result.error());
    const EditResult& edit = result.value();
    for (const version::MergeConflict& conflict : edit.conflicts)
        printConflict(conflict);
    if (!edit.status)
        return reportError(edit.status.error());
    printChanges(edit.changes);
    std::cout << (edit.changes.empty() ? "no changes, generation " : "applied, generation ")
              << edit.content.id.generation << '\n';
    // Without an updated folder the next apply compares with the old base, which is safe: records that are in the
    // store already are not sent again.
    if (folder.readTables() != own) {
        std::cerr << "wagtailrack: warning: the tables were edited meanwhile; the folder stays as it is\n";
    } else if (auto status = folder.write(edit.content); !status) {
        std::cerr << "wagtailrack: warning: " << describe(status.error()) << '\n';
    }
    return ExitCode::Success;
}

}
