#include "RecordText.h"

#include <wagtailrack/version/TomlReader.h>

#include <algorithm>
#include <set>

namespace wagtailrack::version {

namespace {

constexpr std::string_view blanks = " \t\r\n";

std::string_view trim(std::string_view line)
{
    const size_t first = line.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return line.substr(first, line.find_last_not_of(blanks) - first + 1);
}

// A part of the text that opens with a [[header]]; the first part has none.
struct Part {
    std::string header;
    std::string text;
};

// Text between "[[" and "]]"; empty for any other line.
std::string headerOf(std::string_view line)
{
    const std::string_view start = trim(line);
    if (!start.starts_with("[["))
        return {};
    const size_t end = start.find("]]");
    return end == std::string_view::npos ? std::string() : std::string(trim(start.substr(2, end - 2)));
}

std::vector<Part> splitAtHeaders(std::string_view text)
{
    std::vector<Part> parts(1);
    // Comment lines that belong to the next header if it follows directly.
    std::string comments;
    while (!text.empty()) {
        const size_t newline = text.find('\n');
        const std::string line(text.substr(0, newline == std::string_view::npos ? newline : newline + 1));
        text.remove_prefix(line.size());
        if (trim(line).starts_with("#")) {
            comments += line;
            continue;
        }
        const std::string header = headerOf(line);
        if (!header.empty())
            parts.push_back({ header, {} });
        parts.back().text += std::exchange(comments, {}) + line;
    }
    parts.back().text += comments;
    return parts;
}

// Value of a naming key, the same for all ways to write it; empty without one.
std::string nameAt(const toml::value& table, const std::string& key)
{
    const auto& entries = table.as_table();
    const auto found = entries.find(key);
    if (found == entries.end())
        return {};
    if (found->second.is_string())
        return found->second.as_string().str;
    if (!found->second.is_array())
        return toml::format(found->second);
    // A pair of regions means the same in both orders.
    std::vector<std::string> names;
    for (const toml::value& element : found->second.as_array())
        names.push_back(element.is_string() ? element.as_string().str : toml::format(element));
    std::sort(names.begin(), names.end());
    std::string joined;
    for (const std::string& name : names)
        joined += (joined.empty() ? "" : ",") + name;
    return joined;
}

// The record of a part that parses on its own; null when it does not.
const toml::value* recordIn(const toml::value& document, const std::string& header)
{
    const toml::value* value = &document;
    size_t start = 0;
    while (start <= header.size()) {
        const size_t dot = std::min(header.find('.', start), header.size());
        if (!value->is_table() || !value->as_table().contains(header.substr(start, dot - start)))
            return nullptr;
        value = &value->as_table().at(header.substr(start, dot - start));
        start = dot + 1;
    }
    if (!value->is_array() || value->as_array().size() != 1 || !value->as_array().front().is_table())
        return nullptr;
    return &value->as_array().front();
}

// Keys that name a record of each kind.
const std::vector<std::string>& namingKeys(const std::string& header)
{
    static const std::vector<std::string> byName = { "name" };
    static const std::vector<std::string> byPrefix = { "prefix" };
    static const std::vector<std::string> byRegions = { "regions" };
    static const std::vector<std::string> byAddress = { "address" };
    static const std::vector<std::string> byShift = { "pool", "from", "to", "start" };
    if (header == "client_block")
        return byPrefix;
    if (header == "link")
        return byRegions;
    if (header == "pool.server")
        return byAddress;
    return header == "shift" ? byShift : byName;
}

std::optional<std::string> keyOf(const Part& part)
{
    const auto document = parseToml(part.text, "record");
    if (!document)
        return std::nullopt;
    const toml::value* record = recordIn(document.value(), part.header);
    if (!record)
        return std::nullopt;
    std::string key = part.header;
    for (const std::string& name : namingKeys(part.header)) {
        const std::string value = nameAt(*record, name);
        if (value.empty())
            return std::nullopt;
        key += " " + value;
    }
    return key;
}

}

std::optional<std::vector<RecordText>> splitIntoRecords(std::string_view text)
{
    std::vector<RecordText> records;
    std::set<std::string> keys;
    for (Part& part : splitAtHeaders(text)) {
        if (part.header.empty()) {
            records.push_back({ {}, std::move(part.text), {} });
            continue;
        }
        auto key = keyOf(part);
        if (!key)
            return std::nullopt;
        const bool isChild = part.header.find('.') != std::string::npos;
        if (isChild && !records.back().key.starts_with(part.header.substr(0, part.header.find('.')) + " "))
            return std::nullopt;
        if (isChild)
            *key += " of " + records.back().key;
        if (!keys.insert(*key).second)
            return std::nullopt;
        auto& siblings = isChild ? records.back().children : records;
        siblings.push_back({ std::move(*key), std::move(part.text), {} });
    }
    return records;
}

std::string joinRecords(const std::vector<RecordText>& records)
{
    std::string text;
    for (const RecordText& record : records)
        text += record.text + joinRecords(record.children);
    return text;
}

}
