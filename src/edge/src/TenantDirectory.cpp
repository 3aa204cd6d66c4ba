#include <wagtailrack/edge/TenantDirectory.h>

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

TenantDirectory::TenantDirectory()
    : hashSeed(randomSeed())
{
}

bool TenantDirectory::add(Tenant tenant, const std::vector<std::string>& keys)
{
    if (this->tenantsByName.contains(tenant.name)
        || std::any_of(keys.begin(), keys.end(), [this](const std::string& key) { return this->findByKey(key); }))
        return false;
    this->tenants.push_back(std::move(tenant));
    const Tenant& added = this->tenants.back();
    this->tenantsByName[added.name] = &added;
    for (const std::string& key : keys) {
        // The same tenant may list a key twice.
        if (!this->findByKey(key))
            this->keysByHash.emplace(hash64(key, this->hashSeed), Key { key, &added });
    }
    return true;
}

const Tenant* TenantDirectory::findByKey(std::string_view key) const noexcept
{
    const auto [first, last] = this->keysByHash.equal_range(hash64(key, this->hashSeed));
    for (auto entry = first; entry != last; ++entry) {
        if (isEqualInConstantTime(entry->second.text, key))
            return entry->second.tenant;
    }
    return nullptr;
}

const Tenant* TenantDirectory::findByName(std::string_view name) const noexcept
{
    const auto found = this->tenantsByName.find(name);
    return found == this->tenantsByName.end() ? nullptr : found->second;
}

}
