#pragma once

#include <wagtailrack/version/Tables.h>

#include <toml.hpp>

#include <string>

namespace wagtailrack::version {

// Both tables as they were read; the records have the order of `tables`.
struct TableDocuments {
    const toml::value& routes;
    const toml::value& pools;
    const TableNames& names;
};

// Checks names, overlaps and references between records. Client blocks are still in the order of the text. Fails
// with the file, line and key of the later record of a pair.
Status checkRelations(const Tables& tables, const TableDocuments& documents);

}
