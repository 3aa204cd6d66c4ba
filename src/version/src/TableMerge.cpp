#include <wagtailrack/version/TableMerge.h>

#include "RecordText.h"

#include <algorithm>
#include <map>

namespace wagtailrack::version {

namespace {

using Records = std::vector<RecordText>;
using RecordIndex = std::map<std::string, const RecordText*>;

RecordIndex indexOf(const Records& records)
{
    RecordIndex index;
    for (const RecordText& record : records)
        index[record.key] = &record;
    return index;
}

const RecordText* find(const RecordIndex& index, const std::string& key)
{
    const auto found = index.find(key);
    return found == index.end() ? nullptr : found->second;
}

// Blank lines below a record move when records are inserted; they are not a change.
std::string_view content(const RecordText& record)
{
    const size_t end = record.text.find_last_not_of(" \t\r\n");
    return std::string_view(record.text).substr(0, end == std::string::npos ? 0 : end + 1);
}

bool isSame(const RecordText* left, const RecordText* right)
{
    if (!left || !right)
        return left == right;
    return content(*left) == content(*right)
        && std::equal(left->children.begin(), left->children.end(), right->children.begin(), right->children.end(),
            [](const RecordText& first, const RecordText& second) {
                return first.key == second.key && isSame(&first, &second);
            });
}

std::string textOf(const RecordText* record)
{
    return record ? record->text + joinRecords(record->children) : std::string();
}

std::string withFinalNewline(std::string text)
{
    if (!text.empty() && text.back() != '\n')
        text += '\n';
    return text;
}

// Position after the record that precedes `key` on the other side, as far as it is in the result.
size_t insertPosition(const Records& merged, const Records& other, const std::string& key)
{
    const auto end
        = std::find_if(other.begin(), other.end(), [&](const RecordText& record) { return record.key == key; });
    for (auto before = std::make_reverse_iterator(end); before != other.rend(); ++before) {
        const auto found = std::find_if(
            merged.begin(), merged.end(), [&](const RecordText& record) { return record.key == before->key; });
        if (found != merged.end())
            return static_cast<size_t>(found - merged.begin()) + 1;
    }
    // The text before the first record stays first.
    return !merged.empty() && merged.front().key.empty() ? 1 : 0;
}

class Merger {
public:
    Merger(std::string tableName, TableMerge& target)
        : table(std::move(tableName))
        , result(target)
    {
    }

    Records merge(const Records& base, const Records& own, const Records& other)
    {
        const RecordIndex baseIndex = indexOf(base);
        const RecordIndex ownIndex = indexOf(own);
        const RecordIndex otherIndex = indexOf(other);
        Records merged;
        for (const RecordText& record : own) {
            const RecordText* baseRecord = find(baseIndex, record.key);
            const RecordText* otherRecord = find(otherIndex, record.key);
            if (auto kept = this->mergeRecord(baseRecord, &record, otherRecord))
                merged.push_back(std::move(*kept));
        }
        // Records that the operator removed.
        for (const RecordText& record : base) {
            if (!ownIndex.contains(record.key))
                static_cast<void>(this->mergeRecord(&record, nullptr, find(otherIndex, record.key)));
        }
        for (const RecordText& record : other) {
            if (ownIndex.contains(record.key) || baseIndex.contains(record.key))
                continue;
            const size_t position = insertPosition(merged, other, record.key);
            RecordText inserted = this->closed(record);
            if (position > 0) {
                RecordText& before = merged[position - 1];
                before = this->closed(before);
                // Blank lines as between the neighbours.
                if (!before.key.empty() && before.children.empty() && inserted.children.empty())
                    inserted.text = std::string(content(inserted)) + before.text.substr(content(before).size());
            }
            merged.insert(merged.begin() + static_cast<std::ptrdiff_t>(position), std::move(inserted));
        }
        return merged;
    }

private:
    // A record whose last line ends, so that another one may follow.
    RecordText closed(RecordText record) const
    {
        record.text = withFinalNewline(std::move(record.text));
        if (!record.children.empty())
            record.children.back().text = withFinalNewline(std::move(record.children.back().text));
        return record;
    }

    std::optional<RecordText> mergeRecord(const RecordText* base, const RecordText* own, const RecordText* other)
    {
        const bool ownChanged = !isSame(base, own);
        if (ownChanged)
            this->noteOwnChange(base, own);
        if (isSame(own, other) || isSame(base, other))
            return own ? std::optional(*own) : std::nullopt;
        if (!ownChanged)
            return other ? std::optional(*other) : std::nullopt;
        const RecordText none;
        const bool hasChildren = own && other && (!own->children.empty() || !other->children.empty());
        if (!hasChildren) {
            this->conflict(base, own, other);
            return std::nullopt;
        }
        // Both changed the pool; they may have changed different servers, or one the pool and one its servers.
        const RecordText& before = base ? *base : none;
        RecordText merged { own->key, own->text, {} };
        if (base && content(before) == content(*own))
            merged.text = other->text;
        else if (content(*own) != content(*other) && (!base || content(before) != content(*other)))
            this->conflict(base ? &before : nullptr, own, other);
        merged.children = this->merge(before.children, own->children, other->children);
        return this->closed(std::move(merged));
    }

    void noteOwnChange(const RecordText* base, const RecordText* own)
    {
        // Changed servers are noted one by one when the pools are merged; here the pool stands for them.
        this->result.ownChanges.push_back(this->table + " " + (own ? own->key : base->key));
    }

    void conflict(const RecordText* base, const RecordText* own, const RecordText* other)
    {
        const std::string key = own ? own->key : other ? other->key : base->key;
        this->result.conflicts.push_back({ this->table + " " + (key.empty() ? "(before the first record)" : key),
            textOf(base), textOf(own), textOf(other) });
    }

    std::string table;
    TableMerge& result;
};

}

TableMerge mergeTable(const std::string& table, std::string_view base, std::string_view own, std::string_view other)
{
    TableMerge result;
    if (base == own) {
        result.text = other;
        return result;
    }
    auto baseRecords = splitIntoRecords(base);
    auto ownRecords = splitIntoRecords(own);
    auto otherRecords = splitIntoRecords(other);
    if (!baseRecords || !ownRecords || !otherRecords) {
        baseRecords = { RecordText { {}, std::string(base), {} } };
        ownRecords = { RecordText { {}, std::string(own), {} } };
        otherRecords = { RecordText { {}, std::string(other), {} } };
    }
    const Records merged = Merger(table, result).merge(*baseRecords, *ownRecords, *otherRecords);
    // Without changes of the other side, the own text stands as it is, blank lines included; so does
    // the other one when only blank lines or the order differ.
    if (base == other)
        result.text = own;
    else if (result.ownChanges.empty())
        result.text = other;
    else
        result.text = joinRecords(merged);
    return result;
}

}
