#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Error.h>

#include <toml.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace wagtailrack::version {

// Reads one TOML table key by key and remembers the first failure, so that a record is read straight down and
// checked once at its end. Keys that were never asked for are reported as unknown.
class TomlReader {
public:
    // `file` is the name used in error places.
    TomlReader(const toml::value& table, std::string file, std::string recordName);

    std::string requiredString(const std::string& key);
    std::string optionalString(const std::string& key, const std::string& fallback);
    // A string of 1 to 64 letters, digits, dots, dashes and underscores.
    std::string requiredName(const std::string& key);
    // A date and time with its offset, such as 2026-03-01T04:00:00Z.
    WallTime requiredTime(const std::string& key);
    // Accepts whole numbers in [lowest, highest].
    int64_t requiredInteger(const std::string& key, int64_t lowest, int64_t highest);
    int64_t optionalInteger(const std::string& key, int64_t lowest, int64_t highest, int64_t fallback);
    bool optionalBool(const std::string& key, bool fallback);
    std::vector<std::string> optionalStrings(const std::string& key, const std::vector<std::string>& fallback);
    // The array of tables under `key`; empty without it.
    std::vector<toml::value> optionalTables(const std::string& key);

    // Records a failure at `key` unless there is an earlier one.
    void fail(ErrorCode code, const std::string& key, const std::string& detail);
    // The first failure, an unknown key, or success.
    Status finish();

    std::string placeOf(const std::string& key) const;

private:
    const toml::value* find(const std::string& key);
    int64_t readInteger(const std::string& key, const toml::value& value, int64_t lowest, int64_t highest);

    const toml::value& table;
    std::string file;
    std::string recordName;
    std::set<std::string> knownKeys;
    Status firstFailure = success();
};

// Parses a text; fails with SyntaxError and the line. Texts nested deeper than 32 levels are refused, because the
// parser recurses.
Result<toml::value> parseToml(std::string_view text, const std::string& file);

}
