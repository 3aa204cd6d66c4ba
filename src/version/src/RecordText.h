#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailrack::version {

// One record of a table's text, with the comment lines directly above it and the blank lines below it. A pool's
// servers are its children.
struct RecordText {
    // Kind and name, for example "route prices"; empty for the text before the first record.
    std::string key;
    std::string text;
    std::vector<RecordText> children;

    friend bool operator==(const RecordText&, const RecordText&) = default;
};

// Takes a text apart into its records. Joining the texts in order gives the text back. Nothing when a record cannot
// be told or two have the same key.
std::optional<std::vector<RecordText>> splitIntoRecords(std::string_view text);

std::string joinRecords(const std::vector<RecordText>& records);

}
