#include <wagtailrack/edge/WorkspaceDirectory.h>

#include <wagtailrack/base/Hash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace wagtailrack::edge {

namespace {

// A seed that callers do not know, so that they cannot construct keys with equal hashes.
uint64_t randomSeed()
{
    std::random_device device;
    return static_cast<uint64_t>(device()) << 32 | device();
}

// Compares in a time that depends on the lengths only.
bool isEqualInConstantTime(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (size_t index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    return difference == 0;
}

}

WorkspaceDirectory::WorkspaceDirectory()
    : hashSeed(randomSeed())
{
}

bool WorkspaceDirectory::add(Workspace workspace, const std::vector<std::string>& keys)
{
    if (this->workspacesByName.contains(workspace.name)
        || std::any_of(keys.begin(), keys.end(), [this](const std::string& key) { return this->findByKey(key); }))
        return false;
    this->workspaces.push_back(std::move(workspace));
    const Workspace& added = this->workspaces.back();
    this->workspacesByName[added.name] = &added;
    for (const std::string& key : keys) {
        // The same workspace may list a key twice.
        if (!this->findByKey(key))
            this->keysByHash.emplace(hash64(key, this->hashSeed), Key { key, &added });
    }
    return true;
}

const Workspace* WorkspaceDirectory::findByKey(std::string_view key) const noexcept
{
    const auto [first, last] = this->keysByHash.equal_range(hash64(key, this->hashSeed));
    for (auto entry = first; entry != last; ++entry) {
        if (isEqualInConstantTime(entry->second.text, key))
            return entry->second.workspace;
    }
    return nullptr;
}

const Workspace* WorkspaceDirectory::findByName(std::string_view name) const noexcept
{
    const auto found = this->workspacesByName.find(name);
    return found == this->workspacesByName.end() ? nullptr : found->second;
}

}
