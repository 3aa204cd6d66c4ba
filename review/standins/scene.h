// Stand-ins for the scripts of the review: the platform's store, backend servers, callers, and the platform that starts,
// watches and stops the program's own processes. Loopback addresses and the real clock only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace scene {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point sceneStart = Clock::now();

// Milliseconds since the scene began.
inline int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sceneStart).count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleepUntilMs(int64_t ms) { sleepMs(std::max<int64_t>(0, ms - nowMs())); }

// What was sent, answered and run: one line for each event, with the time in milliseconds.
class Record {
public:
    static Record& shared()
    {
        static Record record;
        return record;
    }
    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(this->mutex);
        if (!this->file)
            return;
        std::fprintf(this->file, "%8lld ", static_cast<long long>(nowMs()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

// The case could not run: ends with status 2.
struct CannotRun {
    std::string reason;
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(lowerCase(name));
        return found == this->headers.end() ? std::string() : found->second;
    }
    int status() const
    {
        return this->startLine.size() > 12 && this->startLine.starts_with("HTTP/1.") ? std::atoi(&this->startLine[9])
                                                                                      : 0;
    }
};

inline sockaddr_in socketAddress(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// A connection with a read buffer. Not shared between threads.
class Stream {
public:
    explicit Stream(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { this->close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    static std::unique_ptr<Stream> connect(const std::string& host, int port, int64_t timeoutMs = 1000)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (descriptor < 0)
            return nullptr;
        const sockaddr_in address = socketAddress(host, port);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            pollfd state { descriptor, POLLOUT, 0 };
            int failure = 0;
            socklen_t size = sizeof failure;
            if (errno != EINPROGRESS || ::poll(&state, 1, static_cast<int>(timeoutMs)) <= 0
                || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
                ::close(descriptor);
                return nullptr;
            }
        }
        ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<Stream>(descriptor);
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(sent));
        }
        return true;
    }

    // Reads the head of a message and leaves its body unread. Empty when the connection ended or the deadline (scene
    // time) passed before its end; `timedOut()` then tells which.
    std::optional<Message> readHead(int64_t deadlineMs)
    {
        this->hasTimedOut = false;
        size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadlineMs))
                return std::nullopt;
        }
        Message message;
        const std::string head = this->buffer.substr(0, end);
        size_t position = head.find("\r\n");
        message.startLine = head.substr(0, position);
        while (position != std::string::npos) {
            const size_t next = head.find("\r\n", position + 2);
            const std::string field = head.substr(position + 2, next == std::string::npos ? next : next - position - 2);
            const size_t colon = field.find(':');
            if (colon != std::string::npos) {
                const size_t value = field.find_first_not_of(' ', colon + 1);
                message.headers[lowerCase(field.substr(0, colon))]
                    = value == std::string::npos ? std::string() : field.substr(value);
            }
            position = next;
        }
        this->buffer.erase(0, end + 4);
        return message;
    }

    // Reads a whole message. Empty as readHead() is.
    std::optional<Message> read(int64_t deadlineMs)
    {
        auto message = this->readHead(deadlineMs);
        if (!message)
            return std::nullopt;
        const size_t length = static_cast<size_t>(std::atoll(message->header("content-length").c_str()));
        while (this->buffer.size() < length) {
            if (!this->fill(deadlineMs))
                return std::nullopt;
        }
        message->body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return message;
    }

    // Reads `bytes`, or less if the connection ends or the deadline passes before.
    std::string readUpTo(size_t bytes, int64_t deadlineMs)
    {
        while (this->buffer.size() < bytes && this->fill(deadlineMs)) { }
        const std::string read = this->buffer.substr(0, bytes);
        this->buffer.erase(0, read.size());
        return read;
    }

    // Reads `bytes` and drops them.
    void discard(size_t bytes, int64_t deadlineMs)
    {
        while (bytes > this->buffer.size()) {
            bytes -= this->buffer.size();
            this->buffer.clear();
            if (!this->fill(deadlineMs))
                return;
        }
        this->buffer.erase(0, bytes);
    }

    bool timedOut() const { return this->hasTimedOut; }
    // Whether the peer has closed or reset the connection; waits up to `ms` for it.
    bool isClosedWithin(int64_t ms) const
    {
        pollfd state { this->descriptor, POLLRDHUP, 0 };
        return ::poll(&state, 1, static_cast<int>(ms)) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    // close() then resets the connection, whether bytes are unread or not.
    void resetOnClose()
    {
        const linger immediate { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    }
    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }
    int handle() const { return this->descriptor; }

private:
    bool fill(int64_t deadlineMs)
    {
        while (true) {
            const int64_t left = deadlineMs - nowMs();
            pollfd state { this->descriptor, POLLIN, 0 };
            if (left <= 0 || ::poll(&state, 1, static_cast<int>(std::min<int64_t>(left, 100000))) == 0) {
                this->hasTimedOut = true;
                return false;
            }
            char bytes[16384];
            const ssize_t size = ::recv(this->descriptor, bytes, sizeof bytes, 0);
            if (size < 0 && errno == EINTR)
                continue;
            if (size <= 0)
                return false;
            this->buffer.append(bytes, static_cast<size_t>(size));
            return true;
        }
    }

    int descriptor;
    std::string buffer;
    bool hasTimedOut = false;
};

// Creates an object that lives until the process ends, because the threads of its connections do.
template <typename Type, typename... Arguments> Type& makeLasting(Arguments&&... arguments)
{
    return *new Type(std::forward<Arguments>(arguments)...);
}

// Accepts connections at one address and gives each to a thread of its own. Made by makeLasting(), as its users are.
class Listener {
public:
    using Handler = std::function<void(Stream&)>;

    Listener(const std::string& host, int port, Handler handler)
        : handler(std::move(handler))
    {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = socketAddress(host, port);
        socklen_t size = sizeof address;
        if (::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), size) != 0
            || ::listen(this->descriptor, 1024) != 0)
            throw CannotRun { "cannot listen at " + host + ":" + std::to_string(port) };
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        this->boundPort = ntohs(address.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }
    int port() const { return this->boundPort; }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([handler = this->handler, accepted] {
                Stream stream(accepted);
                handler(stream);
            }).detach();
        }
    }

    Handler handler;
    int descriptor = -1;
    int boundPort = 0;
};

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
            const std::string part = target.substr(position + 1, next == std::string::npos ? next : next - position - 1);
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
            "{\"items\":[" + text + "],\"truncated\":false,\"store_revision\":" + std::to_string(this->revision) + "}" };
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
                return { 200,
                    "{\"events\":[" + text + "],\"store_revision\":" + std::to_string(this->revision) + "}" };
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

// Everything that happened to one attempt of a caller at a server.
struct Run {
    std::string server;
    int64_t arrivedMs = 0;
    int64_t endedMs = 0;
    // "answered", "dropped" (the connection closed while it ran), "not-executed"
    std::string end;
};

class Runs {
public:
    static Runs& shared()
    {
        static Runs runs;
        return runs;
    }
    size_t begin(const std::string& id, const std::string& server)
    {
        std::lock_guard lock(this->mutex);
        this->byId[id].push_back({ server, nowMs(), 0, "" });
        return this->byId[id].size() - 1;
    }
    void end(const std::string& id, size_t index, const char* how)
    {
        std::lock_guard lock(this->mutex);
        this->byId[id][index].endedMs = nowMs();
        this->byId[id][index].end = how;
    }
    std::vector<Run> of(const std::string& id)
    {
        std::lock_guard lock(this->mutex);
        const auto found = this->byId.find(id);
        return found == this->byId.end() ? std::vector<Run>() : found->second;
    }

private:
    std::mutex mutex;
    std::map<std::string, std::vector<Run>> byId;
};

// A backend server. It registers itself, rejects requests for another instance and requests beyond its slots and queue,
// works for the time that the path says ("/ROUTE/WORK_MS/..."), and drops a request whose connection closes.
class Server {
public:
    // Answers a request in place of the server; returns false for the usual answer. A `handler` takes the place of the
    // whole connection's.
    using Trouble = std::function<bool(Stream&, const Message&)>;

    Server(Store& store, std::string id, std::string service, std::string zone, const std::string& host, int slots,
        Trouble trouble = {}, Listener::Handler handler = {})
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , host(host)
        , slots(slots)
        , trouble(std::move(trouble))
        , bornMs(unixMs())
        , listener(host, 0, handler ? handler : [this](Stream& stream) { this->serve(stream); })
    {
        this->beat();
        std::thread([this] {
            while (true) {
                sleepMs(1500);
                this->beat();
            }
        }).detach();
    }

private:
    void beat()
    {
        this->store.put("servers/" + this->id,
            "{\"service\":\"" + this->service + "\",\"addr\":\"" + this->host + ":"
                + std::to_string(this->listener.port()) + "\",\"zone\":\"" + this->zone
                + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\"ready\""
                + ",\"cold_left_ms\":0,\"seq\":" + std::to_string(++this->sequence)
                + ",\"born\":" + std::to_string(this->bornMs) + "}");
    }
    void serve(Stream& stream)
    {
        while (const auto request = stream.read(nowMs() + 10000)) {
            if (!this->answer(stream, *request))
                return;
        }
    }
    static std::string head(int status, const char* reason, const std::string& attempt)
    {
        return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nWagtailrack-Attempt-Id: " + attempt + "\r\n";
    }
    bool answer(Stream& stream, const Message& request)
    {
        const std::string attempt = request.header("Wagtailrack-Attempt-Id");
        if (request.header("Wagtailrack-Expect-Instance") != this->id)
            return stream.send(head(421, "Misdirected Request", attempt) + "Wagtailrack-Instance-Id: " + this->id
                + "\r\nContent-Length: 0\r\n\r\n");
        if (this->trouble && this->trouble(stream, request))
            return false;
        if (this->busy >= this->slots) {
            Record::shared().line("server %s rejects %s as not executed", this->id.c_str(), attempt.c_str());
            return stream.send(
                head(503, "Service Unavailable", attempt) + "Wagtailrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        ++this->busy;
        const size_t run = Runs::shared().begin(attempt, this->id);
        Record::shared().line("server %s runs %s", this->id.c_str(), attempt.c_str());
        const size_t first = request.startLine.find('/', request.startLine.find('/') + 1);
        const bool isDropped = stream.isClosedWithin(std::atoll(request.startLine.c_str() + first + 1));
        --this->busy;
        Runs::shared().end(attempt, run, isDropped ? "dropped" : "answered");
        Record::shared().line("server %s %s %s", this->id.c_str(), isDropped ? "drops" : "answers", attempt.c_str());
        if (isDropped)
            return false;
        const std::string body = "result of " + attempt + "\n";
        return stream.send(head(200, "OK", attempt) + "Wagtailrack-Response-Seal: seal." + attempt + "." + this->id
            + "\r\nWagtailrack-Server-Load: " + std::to_string(this->busy) + ",0," + std::to_string(this->slots)
            + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    Store& store;
    std::string id;
    std::string service;
    std::string zone;
    std::string host;
    int slots;
    Trouble trouble;
    int64_t bornMs;
    std::atomic<int> busy = 0;
    std::atomic<int> sequence = 0;
    Listener listener;
};

struct Route {
    std::string name;
    std::string service;
    bool isIdempotent = true;
    int timeoutMs = 10000;
};

// The operator's manifest: one host, one prefix for each route.
inline std::string manifest(const std::vector<Route>& routes, const std::string& version = "00000003")
{
    std::string policy;
    std::string clusters;
    std::set<std::string> services;
    for (const Route& route : routes) {
        policy += (policy.empty() ? "" : ",") + std::string("{\"name\":\"r-") + route.name + "\",\"route_type\":\""
            + (route.isIdempotent ? "idempotent" : "non_idempotent")
            + "\",\"target_latency_ms\":1200,\"priority\":2,\"sticky\":true,\"match\":{\"prefix\":\"/" + route.name
            + "/\"},\"action\":{\"service\":\"" + route.service + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"max_attempts\":2,\"home_regions\":[]}}";
        if (services.insert(route.service).second)
            clusters += (clusters.empty() ? "" : ",") + std::string("{\"name\":\"") + route.service
                + "\",\"health_path\":\"/health\",\"max_conns\":330,\"protocol\":\"h1\",\"tls\":false,"
                  "\"cold_start_s\":3.0,\"cold_per_s\":2.9}";
    }
    return "{\"version\":\"" + version
        + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"listeners\":[{\"host\":\"jepu9.example\",\"policy\":["
        + policy + "]}],\"clusters\":[" + clusters + "]}";
}

// Addresses of one run of a scene. A random part keeps scenes that run at the same time apart.
struct Network {
    std::string prefix;
    int front = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
    int internal = 0;

    static Network choose()
    {
        std::random_device random;
        Network network;
        network.prefix = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
        const int base = 20000 + static_cast<int>(random() % 9000);
        network.front = base;
        network.ready = base + 1;
        network.control = base + 2;
        network.directory = base + 3;
        network.internal = base + 10;
        return network;
    }
    std::string host(int number) const { return this->prefix + std::to_string(number); }
};

// One machine with the role of the deploy file: starts `target/wagtailrack edge`, kills it beyond its memory, and starts
// it again when it has ended.
class Machine {
public:
    static constexpr int64_t memoryMegabytes = 260;
    static constexpr double graceSeconds = 6;

    Machine(const Network& network, int storePort, const std::string& zone, int number, const std::string& folder)
        : network(network)
        , storePort(storePort)
        , zone(zone)
        , number(number)
        , folder(folder)
    {
        this->start(true);
        this->watcher = std::thread([this] { this->watch(); });
    }
    ~Machine()
    {
        this->isEnding = true;
        this->watcher.join();
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
        }
    }

    std::string host() const { return this->network.host(this->number); }
    std::string name() const { return "edge-" + this->zone + "-" + std::to_string(this->number); }
    void signal(int signalNumber, const char* what)
    {
        std::lock_guard lock(this->mutex);
        Record::shared().line("%s: %s", this->name().c_str(), what);
        if (this->pid > 0)
            ::kill(this->pid, signalNumber);
        this->isStopPlanned = this->isStopPlanned || signalNumber == SIGTERM;
        if (signalNumber == SIGTERM)
            this->killAtMs = nowMs() + static_cast<int64_t>(graceSeconds * 1000);
    }
    bool isReady() const
    {
        const auto stream = Stream::connect(this->host(), this->network.ready, 300);
        if (!stream || !stream->send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
            return false;
        const auto response = stream->read(nowMs() + 500);
        return response && response->status() == 200;
    }
    void awaitReady(int64_t deadlineMs) const
    {
        while (!this->isReady()) {
            if (nowMs() > deadlineMs)
                throw CannotRun { this->name() + " does not become ready" };
            sleepMs(100);
        }
    }
    // Ends of the process that nobody asked for, among them those for its memory.
    int ownEnds() const { return this->ownEndCount; }
    int64_t peakMegabytes() const { return this->peakBytes / 1000000; }

private:
    void start(bool isFirst)
    {
        const std::string path = this->folder + "/" + this->name() + ".conf";
        std::ofstream file(path);
        file << "self.node_id=" << this->name() << "\nself.role=edge-node\nself.machine_class=edge\n"
             << "self.serves=edge,directory\nself.ip=" << this->host() << "\nself.zone=" << this->zone
             << "\nself.region=muenchen\nself.in_tolerance=true\nself.bootstrap=" << (isFirst ? "true" : "false")
             << "\nself.limits.cpu_share=0.2\nself.limits.cores=1\nself.limits.memory_mb=" << memoryMegabytes
             << "\nself.limits.max_fds=4100\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n"
             << "network.listen.front=" << this->host() << ":" << this->network.front << "\nnetwork.listen.ready="
             << this->host() << ":" << this->network.ready << "\nnetwork.listen.directory=" << this->host() << ":"
             << this->network.directory << "\nnetwork.internal_ports=" << this->network.internal << ","
             << this->network.internal + 15 << "\nnetwork.zones.muc-a=muenchen\nnetwork.zones.muc-b=muenchen\n"
             << "platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat_ms=1500\n"
             << "platform.platform.addr=" << this->network.host(1) << ":" << this->storePort
             << "\nplatform.platform.form=kv\nplatform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n"
             << "platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n"
             << "platform.platform.ttl_min_ms=1000\n"
             << "terms.contracts=base,drain,config,cost,retry,recover,places,platform\n"
             << "terms.bounds.seed_lag_s=3\nterms.bounds.addr_reuse_s=2\nterms.bounds.stability_ms=4000\n"
             << "terms.bounds.ack_ms=5000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2500\n"
             << "terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\nterms.bounds.config_apply_ms=2500\n"
             << "terms.bounds.rollback_slack_ms=250\nterms.bounds.skew_max_ms=6000\nterms.bounds.retry_ratio=0.2\n"
             << "terms.bounds.retry_window_s=10\nterms.bounds.retry_slack=56\nterms.bounds.cold_overage=1.5\n"
             << "terms.bounds.cold_slack=5\nterms.bounds.evacuate_ms=5000\nterms.bounds.recovery_s=15\n"
             << "terms.bounds.ttl_max_s=5\nterms.bounds.max_shift=0.15\n";
        file.close();
        const std::string log = this->folder + "/" + this->name() + ".log";
        const std::string setting = "WAGTAILRACK_CONFIG=" + path;
        const pid_t parent = ::getpid();
        int started[2];
        if (::pipe2(started, O_CLOEXEC) != 0)
            throw CannotRun { "no pipe" };
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::putenv(const_cast<char*>(setting.c_str()));
            ::execl("target/wagtailrack", "target/wagtailrack", "edge", nullptr);
            ::_exit(127);
        }
        // The end of the pipe shows that the program runs: until then its memory is a copy of this process.
        ::close(started[1]);
        char byte = 0;
        (void)!::read(started[0], &byte, 1);
        ::close(started[0]);
        Record::shared().line("%s: process started", this->name().c_str());
    }
    int64_t residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
        int64_t total = 0;
        int64_t resident = 0;
        file >> total >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }
    void watch()
    {
        while (!this->isEnding) {
            sleepMs(5);
            std::lock_guard lock(this->mutex);
            int status = 0;
            if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
                this->pid = 0;
                if (!this->isStopPlanned)
                    ++this->ownEndCount;
                Record::shared().line("%s: process ended, status %d%s", this->name().c_str(),
                    status, this->isStopPlanned ? " (planned stop)" : " (not asked for)");
                this->isStopPlanned = false;
                this->killAtMs = 0;
                this->startAtMs = nowMs() + 300;
            }
            if (this->pid == 0 && nowMs() >= this->startAtMs)
                this->start(false);
            if (this->pid <= 0)
                continue;
            if (this->killAtMs != 0 && nowMs() >= this->killAtMs)
                ::kill(this->pid, SIGKILL);
            const int64_t bytes = this->residentBytes();
            this->peakBytes = std::max<int64_t>(this->peakBytes, bytes);
            if (bytes > memoryMegabytes * 1000000) {
                Record::shared().line("%s: %lld MB resident, over its memory of %lld MB: killed by the platform",
                    this->name().c_str(), static_cast<long long>(bytes / 1000000),
                    static_cast<long long>(memoryMegabytes));
                ::kill(this->pid, SIGKILL);
            }
        }
    }

    Network network;
    int storePort;
    std::string zone;
    int number;
    std::string folder;
    std::mutex mutex;
    pid_t pid = 0;
    bool isStopPlanned = false;
    int64_t killAtMs = 0;
    int64_t startAtMs = 0;
    std::atomic<int> ownEndCount = 0;
    std::atomic<int64_t> peakBytes = 0;
    std::atomic<bool> isEnding = false;
    std::thread watcher;
};

inline std::string newAttemptId()
{
    static std::atomic<uint64_t> counter = 0;
    static const uint64_t run = std::random_device()();
    char text[32];
    std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(run),
        static_cast<unsigned long long>(++counter));
    return text;
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& attempt,
    int deadlineMs, const std::string& key, const std::string& body = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: jepu9.example\r\nWagtailrack-Attempt-Id: " + attempt
        + "\r\nCookie: Wagtailrack-Affinity-Key=" + key + "\r\nWagtailrack-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\n" + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

// Runs `body` with a temporary folder; returns the exit status of the case.
inline int runScene(const std::string& recordPath, const std::function<bool(const std::string& folder, bool trouble)>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::shared().open(recordPath);
    const char* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::string(setting) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "wagtailrack-review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        return 2;
    int status = 2;
    try {
        if (!std::filesystem::exists("target/wagtailrack"))
            throw CannotRun { "target/wagtailrack has not been built" };
        status = body(folder, hasTrouble) ? 1 : 0;
    } catch (const CannotRun& failure) {
        Record::shared().line("cannot run: %s", failure.reason.c_str());
    }
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder);
    Record::shared().line("exit status %d", status);
    std::printf("exit status %d\n", status);
    std::fflush(stdout);
    // Threads of open connections end with the process.
    std::_Exit(status);
}

}
