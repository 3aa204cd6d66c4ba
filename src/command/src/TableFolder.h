#pragma once

#include <wagtailrack/base/Error.h>
#include <wagtailrack/version/TableVersion.h>

#include <string>

namespace wagtailrack::command {

// The texts of both tables and the version that they have in the store; generation 0 without one.
struct FolderContent {
    version::VersionId id;
    std::string routesText;
    std::string poolsText;

    friend bool operator==(const FolderContent&, const FolderContent&) = default;
};

// An operator's working copy: routes.toml and pools.toml to edit, and base.json, the version that they started from.
// Used by one thread.
class TableFolder {
public:
    explicit TableFolder(const std::string& path);

    const std::string& routesPath() const noexcept;
    const std::string& poolsPath() const noexcept;

    // Both tables as they are now, with the id of the base. Fails with Unreadable.
    Result<FolderContent> readTables() const;

    // The version that `get` or `apply` wrote last; empty when there is no base file. Fails with Unreadable, and with
    // SyntaxError or AnswerMismatched when the file was changed.
    Result<FolderContent> readBase() const;

    // Writes the tables and then the base, so that an interruption leaves texts that merge with the old base. Creates
    // the folder. Fails with Unreadable.
    Status write(const FolderContent& content) const;

private:
    std::string folder;
    std::string routes;
    std::string pools;
    std::string base;
};

}
