// A stand-in of the platform's store.
#pragma once

#include "stream.h"

namespace scene {

inline std::string base64(std::string_view bytes)
{
    static constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        for (size_t position = 0; position < 3; ++position)
            group = group << 8 | (index + position < bytes.size() ? static_cast<uint8_t>(bytes[index + position]) : 0U);
        for (size_t position = 0; position < 4; ++position)
            text += index + position > bytes.size() ? '=' : alphabet[group >> (18 - 6 * position) & 63];
    }
    return text;
}

// The platform's store, as PROTOCOL.md describes it: items with revisions, ranges, watches, transactions and leases.
class Store {
public:
    Store(const std::string& host, int port)
        : listener(host, port, [this](Stream& stream) { this->serve(stream); })
    {
    }
    int port() const { return this->listener.port(); }

    void put(const std::string& key, const std::string& value, int64_t lease = 0)
    {
        std::lock_guard lock(this->mutex);
        this->putLocked(key, base64(value), lease);
    }

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event {
        std::string key;
        int64_t revision = 0;
        std::optional<Item> item;
    };

    void putLocked(const std::string& key, const std::string& encoded, int64_t lease)
    {
        Item& item = this->items[key];
        item.revision = ++this->revision;
        item.created = item.created ? item.created : item.revision;
        item.value = encoded;
        item.lease = lease;
        this->events.push_back({ key, item.revision, item });
        this->changed.notify_all();
    }
    void removeLocked(const std::string& key)
    {
        if (this->items.erase(key) == 0)
            return;
        this->events.push_back({ key, ++this->revision, std::nullopt });
        this->changed.notify_all();
    }
    void endLeaseLocked(int64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            this->removeLocked(key);
    }
    void expireLeasesLocked()
    {
        std::vector<int64_t> ended;
        for (const auto& [lease, state] : this->leases) {
            if (state.second <= nowMs())
                ended.push_back(lease);
        }
        for (const int64_t lease : ended)
            this->endLeaseLocked(lease);
    }

    static std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
                index += 2;
            } else {
                decoded += text[index];
            }
        }
        return decoded;
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        size_t position = target.find('?');
        while (position != std::string::npos) {
            const size_t next = target.find('&', position + 1);
            const std::string part
                = target.substr(position + 1, next == std::string::npos ? next : next - position - 1);
            if (part.starts_with(name + "="))
                return decodePercent(part.substr(name.size() + 1));
            position = next;
        }
        return {};
    }
    static std::string describe(const std::string& key, const Item& item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"create_revision\":" + std::to_string(item.created) + ",\"lease\":" + std::to_string(item.lease) + "}";
    }
    // Value of a string or number field in a flat part of JSON text.
    static std::string field(const std::string& json, const std::string& name)
    {
        size_t position = json.find("\"" + name + "\"");
        if (position == std::string::npos)
            return {};
        position = json.find(':', position) + 1;
        while (position < json.size() && json[position] == ' ')
            ++position;
        if (json[position] == '"')
            return json.substr(position + 1, json.find('"', position + 1) - position - 1);
        return json.substr(position, json.find_first_of(",}] ", position) - position);
    }
    static std::vector<std::string> objectsOf(const std::string& json, const std::string& name)
    {
        std::vector<std::string> objects;
        size_t position = json.find("\"" + name + "\"");
        if (position == std::string::npos)
            return objects;
        position = json.find('[', position);
        const size_t end = json.find(']', position);
        while ((position = json.find('{', position)) != std::string::npos && position < end) {
            const size_t close = json.find('}', position);
            objects.push_back(json.substr(position, close - position + 1));
            position = close;
        }
        return objects;
    }

    std::pair<int, std::string> range(const std::string& target)
    {
        std::lock_guard lock(this->mutex);
        this->expireLeasesLocked();
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
        std::string text;
        for (const auto& [key, item] : this->items) {
            if (key.starts_with(prefix) && key > after)
                text += (text.empty() ? "" : ",") + describe(key, item);
        }
        return { 200,
            "{\"items\":[" + text + "],\"truncated\":false,\"store_revision\":" + std::to_string(this->revision)
                + "}" };
    }
    std::pair<int, std::string> watch(const std::string& target)
    {
        const std::string prefix = parameter(target, "prefix");
        const int64_t after = std::atoll(parameter(target, "after").c_str());
        const auto deadline = Clock::now()
            + std::chrono::milliseconds(std::min(30000LL, std::atoll(parameter(target, "wait_ms").c_str())));
        std::unique_lock lock(this->mutex);
        while (true) {
            std::string text;
            for (const Event& event : this->events) {
                if (event.revision <= after || !event.key.starts_with(prefix))
                    continue;
                text += text.empty() ? "" : ",";
                text += event.item ? describe(event.key, *event.item)
                                   : "{\"key\":\"" + event.key + "\",\"revision\":" + std::to_string(event.revision)
                        + ",\"tombstone\":true}";
            }
            if (!text.empty() || Clock::now() >= deadline)
                return { 200, "{\"events\":[" + text + "],\"store_revision\":" + std::to_string(this->revision) + "}" };
            this->changed.wait_until(lock, deadline);
        }
    }
    std::pair<int, std::string> transact(const std::string& body)
    {
        std::lock_guard lock(this->mutex);
        this->expireLeasesLocked();
        for (const std::string& row : objectsOf(body, "expected_rev")) {
            const auto found = this->items.find(field(row, "key"));
            const int64_t current = found == this->items.end() ? 0 : found->second.revision;
            if (current != std::atoll(field(row, "revision").c_str()))
                return { 412, "{\"items\":[]}" };
        }
        for (const std::string& row : objectsOf(body, "puts")) {
            const int64_t lease = std::atoll(field(row, "lease").c_str());
            if (lease != 0 && !this->leases.contains(lease))
                return { 404, "{}" };
        }
        for (const std::string& row : objectsOf(body, "puts"))
            this->putLocked(field(row, "key"), field(row, "value"), std::atoll(field(row, "lease").c_str()));
        return { 200, "{\"revision\":" + std::to_string(this->revision) + "}" };
    }
    std::pair<int, std::string> handle(const Message& request)
    {
        const size_t blank = request.startLine.find(' ');
        const std::string method = request.startLine.substr(0, blank);
        const std::string target
            = request.startLine.substr(blank + 1, request.startLine.find(' ', blank + 1) - blank - 1);
        if (target.starts_with("/-/kv-range"))
            return this->range(target);
        if (target.starts_with("/-/kv-watch"))
            return this->watch(target);
        if (target.starts_with("/-/kv-txn"))
            return this->transact(request.body);
        std::lock_guard lock(this->mutex);
        this->expireLeasesLocked();
        if (target == "/-/kv-lease") {
            const int64_t ttl = std::max(1000LL, std::atoll(field(request.body, "ttl_ms").c_str()));
            const int64_t lease = ++this->lastLease;
            this->leases[lease] = { ttl, nowMs() + ttl };
            return { 200, "{\"lease\":" + std::to_string(lease) + ",\"ttl_ms\":" + std::to_string(ttl) + "}" };
        }
        const int64_t lease = std::atoll(target.substr(target.rfind('/') + 1).c_str());
        const auto found = this->leases.find(lease);
        if (found == this->leases.end())
            return { 404, "{}" };
        if (method == "DELETE") {
            this->endLeaseLocked(lease);
            return { 200, "{}" };
        }
        found->second.second = nowMs() + found->second.first;
        return { 200, "{\"ttl_ms\":" + std::to_string(found->second.first) + "}" };
    }
    void serve(Stream& stream)
    {
        while (const auto request = stream.read(nowMs() + 60000)) {
            const auto [status, body] = this->handle(*request);
            sleepMs(4);
            if (!stream.send("HTTP/1.1 " + std::to_string(status)
                    + " Result\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<int64_t, std::pair<int64_t, int64_t>> leases;
    int64_t lastLease = 77000;
    int64_t revision = 100;
    Listener listener;
};

}
