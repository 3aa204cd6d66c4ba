// Stand-ins for the review's scripts: the platform's store with its operator, upstreams, clients, and the start of
// instances with the command of the deploy file. Threads and blocking sockets; loopback only. No library beyond the
// system's.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit {

// Milliseconds of the steady clock since the program began.
inline int64_t nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(int64_t milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

inline void sleepUntil(int64_t at)
{
    if (at > nowMs())
        sleepMs(at - nowMs());
}

// Lines of record.txt, each with the time at which it was written.
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (this->file)
            std::fclose(this->file);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->file)
            return;
        std::fprintf(this->file, "%7lld ms  %s\n", static_cast<long long>(nowMs()), text);
        std::fflush(this->file);
    }

private:
    std::FILE* file;
    std::mutex mutex;
};

struct Message {
    std::string start;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    std::string word(size_t index) const
    {
        size_t begin = 0;
        for (; index > 0 && begin != std::string::npos; --index) {
            begin = this->start.find(' ', begin);
            begin = begin == std::string::npos ? begin : begin + 1;
        }
        if (begin == std::string::npos)
            return {};
        return this->start.substr(begin, this->start.find(' ', begin) - begin);
    }
    std::string method() const { return this->word(0); }
    std::string target() const { return this->word(1); }
    int status() const { return std::atoi(this->word(1).c_str()); }
};

// A socket with a read buffer. Closes the socket at its end.
class Stream {
public:
    explicit Stream(int descriptor)
        : descriptor(descriptor)
    {
        const int one = 1;
        (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Stream() { this->close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void close()
    {
        const int open = this->descriptor.exchange(-1);
        if (open >= 0)
            ::close(open);
    }
    // Ends reads of other threads.
    void shutdown()
    {
        const int open = this->descriptor;
        if (open >= 0)
            ::shutdown(open, SHUT_RDWR);
    }
    // The peer gets a reset.
    void reset()
    {
        const linger option { 1, 0 };
        const int open = this->descriptor;
        if (open >= 0)
            (void)::setsockopt(open, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        this->close();
    }
    bool send(const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<size_t>(size);
        }
        return true;
    }
    // Reads more bytes; false at the end, after an error or at `deadline` (0: none).
    bool fill(int64_t deadline = 0)
    {
        this->isTimedOut = false;
        pollfd state { this->descriptor, POLLIN, 0 };
        const int64_t left = deadline == 0 ? -1 : std::max<int64_t>(0, deadline - nowMs());
        if (::poll(&state, 1, static_cast<int>(left)) <= 0) {
            this->isTimedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t size = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (size <= 0) {
            this->isReset = size < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<size_t>(size));
        return true;
    }
    // Reads a head into `message`; false if the connection ends before.
    bool readHead(Message& message, int64_t deadline = 0)
    {
        size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return false;
        }
        const std::string head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        size_t lineEnd = std::min(head.find("\r\n"), head.size());
        message.start = head.substr(0, lineEnd);
        while (lineEnd < head.size()) {
            const size_t begin = lineEnd + 2;
            lineEnd = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, lineEnd - begin);
            const size_t colon = std::min(line.find(':'), line.size());
            std::string name = line.substr(0, colon);
            for (char& character : name)
                character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
            size_t value = std::min(colon + 1, line.size());
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.headers[name] = line.substr(value);
        }
        return true;
    }
    bool take(size_t size, std::string& into, int64_t deadline = 0)
    {
        while (this->buffer.size() < size) {
            if (!this->fill(deadline)) {
                into.append(this->buffer);
                this->buffer.clear();
                return false;
            }
        }
        into.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        return true;
    }
    // Reads the body that the head announces; false if it is cut short.
    bool readBody(Message& message, int64_t deadline = 0, bool isResponse = false)
    {
        if (message.header("transfer-encoding").find("chunked") != std::string::npos) {
            while (true) {
                size_t end = std::string::npos;
                while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                    if (!this->fill(deadline))
                        return false;
                }
                const size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
                this->buffer.erase(0, end + 2);
                std::string crlf;
                if (size > 0 && !this->take(size, message.body, deadline))
                    return false;
                if (!this->take(2, crlf, deadline))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        if (!message.header("content-length").empty())
            return this->take(
                std::strtoul(message.header("content-length").c_str(), nullptr, 10), message.body, deadline);
        if (!isResponse)
            return true;
        while (this->fill(deadline)) { }
        message.body = this->buffer;
        this->buffer.clear();
        return !this->isReset && !this->isTimedOut;
    }
    bool isSilent() const { return this->silent; }
    // From now on nothing is answered on this connection, and it is not closed either.
    void silence() { this->silent = true; }

    bool isReset = false;
    bool isTimedOut = false;
    std::string buffer;

private:
    std::atomic<int> descriptor;
    std::atomic<bool> silent { false };
};

using StreamPointer = std::shared_ptr<Stream>;

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// Accepts connections on a loopback address, each with a thread of its own. Port 0 chooses a free one.
class Listener {
public:
    using Serve = std::function<void(const StreamPointer&)>;

    Listener(const std::string& host, int port, Serve serve)
        : host(host)
        , serve(std::move(serve))
        , descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int one = 1;
        (void)::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = addressOf(host, port);
        if (::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || ::listen(this->descriptor, 1024) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        (void)::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
        this->boundPort = ntohs(bound.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }
    int port() const { return this->boundPort; }
    std::string address() const { return this->host + ":" + std::to_string(this->boundPort); }
    // Makes all connections that are open now silent for good; new ones work.
    void silenceConnections()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::weak_ptr<Stream>& weak : this->streams) {
            if (const StreamPointer stream = weak.lock())
                stream->silence();
        }
    }
    void resetConnections()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const std::weak_ptr<Stream>& weak : this->streams) {
            if (const StreamPointer stream = weak.lock())
                stream->shutdown();
        }
    }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const auto stream = std::make_shared<Stream>(accepted);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->streams.remove_if([](const std::weak_ptr<Stream>& weak) { return weak.expired(); });
                this->streams.push_back(stream);
            }
            std::thread([this, stream] { this->serve(stream); }).detach();
        }
    }

    std::string host;
    Serve serve;
    int descriptor;
    int boundPort = 0;
    std::mutex mutex;
    std::list<std::weak_ptr<Stream>> streams;
};

inline std::string base64(const std::string& bytes)
{
    static const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        const size_t size = std::min<size_t>(3, bytes.size() - index);
        for (size_t position = 0; position < 3; ++position)
            group = group << 8 | (position < size ? static_cast<uint8_t>(bytes[index + position]) : 0U);
        for (size_t position = 0; position < 4; ++position)
            text += position <= size ? alphabet[group >> (18 - 6 * position) & 63] : '=';
    }
    return text;
}

inline std::string unbase64(const std::string& text)
{
    static const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (const char character : text) {
        const size_t value = alphabet.find(character);
        if (value == std::string::npos)
            break;
        group = group << 6 | static_cast<uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

inline std::string percentDecoded(const std::string& text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%' || index + 2 >= text.size()) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
        index += 2;
    }
    return decoded;
}

inline std::string parameter(const std::string& target, const std::string& name)
{
    size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const size_t end = std::min(target.find('&', begin + 1), target.size());
        const std::string pair = target.substr(begin + 1, end - begin - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0)
            return percentDecoded(pair.substr(name.size() + 1));
        begin = end < target.size() ? end : std::string::npos;
    }
    return {};
}

// Text of the field `name` in a flat JSON text, without quotes.
inline std::string field(const std::string& json, const std::string& name)
{
    const size_t found = json.find("\"" + name + "\"");
    if (found == std::string::npos)
        return {};
    size_t begin = json.find(':', found) + 1;
    while (begin < json.size() && (json[begin] == ' ' || json[begin] == '"'))
        ++begin;
    return json.substr(begin, json.find_first_of("\",}", begin) - begin);
}

// The platform's store, as PROTOCOL.md has it: items, pages, watches, leases. The operator and the upstreams write with
// put() and remove(); when these return, the store has acknowledged.
class Store {
public:
    explicit Store(const std::string& host)
        : listener(host, 0, [this](const StreamPointer& stream) { this->serve(stream); })
    {
    }
    std::string address() const { return this->listener.address(); }
    void silenceConnections() { this->listener.silenceConnections(); }
    // While set, the connections of the instances get no answer.
    void setDown(bool isDownNow) { this->isDown = isDownNow; }
    int64_t put(const std::string& key, const std::string& value, int64_t lease = 0)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->write(key, value, lease);
    }
    int64_t remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->erase(key);
    }

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Change {
        int64_t revision;
        std::string key;
        bool isRemoval;
        Item item;
    };
    struct Lease {
        int64_t ttlMs;
        int64_t endsAt;
    };

    int64_t write(const std::string& key, const std::string& value, int64_t lease)
    {
        Item& item = this->items[key];
        ++this->revision;
        item = { value, this->revision, item.created > 0 ? item.created : this->revision, lease };
        this->changes.push_back({ this->revision, key, false, item });
        this->changed.notify_all();
        return this->revision;
    }
    int64_t erase(const std::string& key)
    {
        if (this->items.erase(key) == 0)
            return this->revision;
        this->changes.push_back({ ++this->revision, key, true, {} });
        this->changed.notify_all();
        return this->revision;
    }
    void endLeases()
    {
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (lease->second.endsAt > nowMs()) {
                ++lease;
                continue;
            }
            const int64_t ended = lease->first;
            lease = this->leases.erase(lease);
            this->endItemsOf(ended);
        }
    }
    void endItemsOf(int64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : this->items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            this->erase(key);
    }
    static std::string json(const std::string& key, const Item& item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value)
            + "\",\"revision\":" + std::to_string(item.revision)
            + ",\"create_revision\":" + std::to_string(item.created) + ",\"lease\":" + std::to_string(item.lease) + "}";
    }
    static std::string response(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    void serve(const StreamPointer& stream)
    {
        while (true) {
            Message request;
            if (!stream->readHead(request) || !stream->readBody(request))
                return;
            sleepMs(4);
            const std::string answer = this->answer(request);
            if (stream->isSilent() || this->isDown) {
                // Reads on without an answer until the caller closes.
                while (stream->fill()) { }
                return;
            }
            if (!stream->send(answer))
                return;
        }
    }
    std::string answer(const Message& request)
    {
        const std::string target = request.target();
        std::unique_lock<std::mutex> lock(this->mutex);
        this->endLeases();
        if (target.compare(0, 11, "/-/kv-range") == 0) {
            const std::string prefix = parameter(target, "prefix");
            const std::string after = parameter(target, "after");
            std::string list;
            for (const auto& [key, item] : this->items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after)
                    list += (list.empty() ? "" : ",") + json(key, item);
            }
            return response(200,
                "{\"items\":[" + list + "],\"truncated\":false,\"store_revision\":" + std::to_string(this->revision)
                    + "}");
        }
        if (target.compare(0, 11, "/-/kv-watch") == 0) {
            const std::string prefix = parameter(target, "prefix");
            const int64_t after = std::atoll(parameter(target, "after").c_str());
            const int64_t end = nowMs() + std::atoll(parameter(target, "wait_ms").c_str());
            if (after > this->revision)
                return response(410, "{}");
            while (true) {
                std::string events;
                for (const Change& change : this->changes) {
                    if (change.revision <= after || change.key.compare(0, prefix.size(), prefix) != 0)
                        continue;
                    events += events.empty() ? "" : ",";
                    events += change.isRemoval ? "{\"key\":\"" + change.key
                            + "\",\"revision\":" + std::to_string(change.revision) + ",\"tombstone\":true}"
                                               : json(change.key, change.item);
                }
                const int64_t left = end - nowMs();
                if (!events.empty() || left <= 0)
                    return response(
                        200, "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(this->revision) + "}");
                this->changed.wait_for(lock, std::chrono::milliseconds(left));
            }
        }
        if (target.compare(0, 9, "/-/kv-key") == 0) {
            const auto found = this->items.find(parameter(target, "key"));
            return found == this->items.end() ? response(404, "{}") : response(200, json(found->first, found->second));
        }
        if (target.compare(0, 9, "/-/kv-txn") == 0) {
            // Instances write single items without a condition.
            const size_t puts = request.body.find("\"puts\"");
            const std::string text = puts == std::string::npos ? std::string() : request.body.substr(puts);
            const int64_t lease = std::atoll(field(text, "lease").c_str());
            if (lease != 0 && this->leases.count(lease) == 0)
                return response(404, "{}");
            if (!text.empty())
                this->write(field(text, "key"), unbase64(field(text, "value")), lease);
            return response(200, "{\"revision\":" + std::to_string(this->revision) + "}");
        }
        const int64_t number = std::atoll(target.substr(target.rfind('/') + 1).c_str());
        if (target == "/-/kv-lease") {
            const int64_t ttlMs = std::atoll(field(request.body, "ttl_ms").c_str());
            this->leases[++this->lastLease] = { ttlMs, nowMs() + ttlMs };
            return response(
                200, "{\"lease\":" + std::to_string(this->lastLease) + ",\"ttl_ms\":" + std::to_string(ttlMs) + "}");
        }
        const auto lease = this->leases.find(number);
        if (lease == this->leases.end())
            return response(404, "{}");
        if (target.compare(0, 11, "/-/kv-keep/") == 0) {
            lease->second.endsAt = nowMs() + lease->second.ttlMs;
            return response(200, "{\"ttl_ms\":" + std::to_string(lease->second.ttlMs) + "}");
        }
        this->leases.erase(lease);
        this->endItemsOf(number);
        return response(200, "{}");
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Change> changes;
    std::map<int64_t, Lease> leases;
    int64_t lastLease = 0;
    int64_t revision = 1;
    std::atomic<bool> isDown { false };
    Listener listener;
};

// What an upstream saw of a request.
struct Run {
    int64_t at = 0;
    std::string server;
    std::string service;
    std::string id;
    std::string target;
    std::string method;
    std::string deadlineMs;
    // When the upstream ended its work, and whether its caller was gone before.
    int64_t endedAt = 0;
    bool wasAbandoned = false;
};

// An upstream: registers in the store, writes its entry every 1.5 s, checks Wagtailrack-Expect-Instance, works,
// answers. Drops a request when its connection closes, as most upstreams do.
class Upstream {
public:
    using Work = std::function<void(Upstream&, const StreamPointer&, const Message&, Run&)>;

    Upstream(Store& store, const std::string& host, const std::string& id, const std::string& service,
        const std::string& zone, Work work, int slots = 3)
        : id(id)
        , service(service)
        , store(store)
        , zone(zone)
        , slots(slots)
        , work(std::move(work))
        , listener(host, 0, [this](const StreamPointer& stream) { this->serve(stream); })
    {
        this->writeEntry();
        std::thread([this] {
            while (!this->isGone) {
                sleepMs(1500);
                if (!this->isGone)
                    this->writeEntry();
            }
        }).detach();
    }
    std::string address() const { return this->listener.address(); }
    void setDraining()
    {
        this->state = "draining";
        this->writeEntry();
    }
    void writeEntry()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->store.put("servers/" + this->id,
            "{\"service\":\"" + this->service + "\",\"addr\":\"" + this->address() + "\",\"zone\":\"" + this->zone
                + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\"" + this->state
                + "\",\"cold_left_ms\":0,\"born\":" + std::to_string(this->born)
                + ",\"seq\":" + std::to_string(++this->sequence) + "}");
    }
    // The usual answer.
    std::string answer(const Message& request, const std::string& body, const std::string& further = {}) const
    {
        return "HTTP/1.1 200 OK\r\nWagtailrack-Attempt-Id: " + request.header("wagtailrack-attempt-id")
            + "\r\nWagtailrack-Response-Seal: " + request.header("wagtailrack-attempt-id") + ".0." + this->id + "\r\n"
            + further + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    // Works for `milliseconds`; false if the connection closed meanwhile.
    static bool workFor(const StreamPointer& stream, int64_t milliseconds)
    {
        const int64_t end = nowMs() + milliseconds;
        while (nowMs() < end) {
            if (stream->fill(end))
                continue;
            return stream->isTimedOut && !stream->isReset;
        }
        return true;
    }
    std::vector<Run> runs() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Run> copies;
        for (const auto& run : this->allRuns)
            copies.push_back(*run);
        return copies;
    }

    const std::string id;
    const std::string service;
    std::atomic<bool> isGone { false };
    const int64_t born
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();

private:
    void serve(const StreamPointer& stream)
    {
        while (true) {
            Message request;
            if (!stream->readHead(request) || !stream->readBody(request))
                return;
            if (request.header("wagtailrack-expect-instance") != this->id) {
                if (!stream->send("HTTP/1.1 421 Misdirected Request\r\nWagtailrack-Instance-Id: " + this->id
                        + "\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            const auto run = std::make_shared<Run>();
            *run = { nowMs(), this->id, this->service, request.header("wagtailrack-attempt-id"), request.target(),
                request.method(), request.header("wagtailrack-deadline-ms"), 0, false };
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->allRuns.push_back(run);
            }
            Run seen = *run;
            this->work(*this, stream, request, seen);
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                *run = seen;
                run->endedAt = nowMs();
            }
            if (seen.wasAbandoned)
                return;
        }
    }

    Store& store;
    std::string zone;
    int slots;
    Work work;
    std::string state = "ready";
    int64_t sequence = 0;
    mutable std::mutex mutex;
    std::vector<std::shared_ptr<Run>> allRuns;
    Listener listener;
};

// Work of a fixed time with a small answer.
inline Upstream::Work usualWork(int64_t milliseconds)
{
    return [milliseconds](Upstream& server, const StreamPointer& stream, const Message& request, Run& run) {
        run.wasAbandoned = !Upstream::workFor(stream, milliseconds)
            || !stream->send(server.answer(request, "from " + server.service + "\n"));
    };
}

inline StreamPointer connectTo(const std::string& host, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto stream = std::make_shared<Stream>(descriptor);
    const sockaddr_in address = addressOf(host, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return nullptr;
    return stream;
}

struct Answer {
    int64_t sentAt = 0;
    int64_t endedAt = 0;
    // 0: no answer. -1: not connected.
    int status = -1;
    bool isWhole = false;
    Message message;
};

inline std::string newId()
{
    static std::atomic<uint64_t> next { (static_cast<uint64_t>(::getpid()) << 24) + 1 };
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

inline std::string requestText(const std::string& method, const std::string& host, const std::string& target,
    const std::string& id, int64_t deadlineMs, const std::string& body = {}, const std::string& further = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nWagtailrack-Attempt-Id: " + id
        + "\r\nWagtailrack-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + further;
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// Sends one request on `stream` and reads its answer until `deadlineMs` have passed.
inline Answer exchange(const StreamPointer& stream, const std::string& text, int64_t deadlineMs)
{
    Answer answer;
    answer.sentAt = nowMs();
    if (!stream)
        return answer;
    answer.status = 0;
    const int64_t deadline = answer.sentAt + deadlineMs;
    if (stream->send(text) && stream->readHead(answer.message, deadline)) {
        answer.status = answer.message.status();
        answer.isWhole = stream->readBody(answer.message, deadline, true);
    }
    answer.endedAt = nowMs();
    return answer;
}

// Fields of a manifest in the form of `fleetbench wire`.
struct Route {
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    int64_t timeoutMs = 2000;
    int64_t targetMs = 500;
    int64_t maxAttempts = 2;
};

inline std::string manifest(
    int version, const std::string& host, const std::vector<Route>& routes, const std::vector<std::string>& services)
{
    char digits[12];
    std::snprintf(digits, sizeof digits, "%08x", version);
    std::string text = std::string("{\"version\":\"") + digits
        + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},\"listeners\":[{\"host\":\""
        + host + "\",\"policy\":[";
    for (size_t index = 0; index < routes.size(); ++index) {
        const Route& route = routes[index];
        text += std::string(index > 0 ? "," : "") + "{\"name\":\"" + route.name + "\",\"route_type\":\"" + route.type
            + "\",\"target_latency_ms\":" + std::to_string(route.targetMs)
            + ",\"priority\":2,\"sticky\":false,\"match\":{\"prefix\":\"" + route.prefix
            + "\"},\"action\":{\"service\":\"" + route.service + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"max_attempts\":" + std::to_string(route.maxAttempts) + ",\"home_regions\":[]}}";
    }
    text += "]}],\"clusters\":[";
    for (size_t index = 0; index < services.size(); ++index)
        text += std::string(index > 0 ? "," : "") + "{\"name\":\"" + services[index]
            + "\",\"health_path\":\"/health\",\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false,"
              "\"cold_start_s\":3.0,\"cold_per_s\":3.1}";
    return text + "]}";
}

// Zones of the small deployment whose settings the scripts use, with their regions.
inline const std::vector<std::pair<std::string, std::string>>& zones()
{
    static const std::vector<std::pair<std::string, std::string>> list { { "bhuj", "kutch" },
        { "rajkot", "saurashtra" }, { "surat", "south-guj" }, { "anjar", "kutch" }, { "junagadh", "saurashtra" },
        { "valsad", "south-guj" } };
    return list;
}

// One machine with the role of the deploy file. The settings are those of gcwca-notices.
class Instance {
public:
    Instance(const std::string& folder, size_t index, const std::string& storeAddress, int memoryMb = 260)
        : zone(zones()[index % zones().size()].first)
        , name("edge-" + this->zone + "-" + std::to_string(index))
        , ip("127." + std::to_string(16 + ::getpid() / 250 % 200) + "." + std::to_string(1 + ::getpid() % 250) + "."
              + std::to_string(10 + index))
        , settingsPath(folder + "/" + this->name + ".conf")
        , logPath(folder + "/" + this->name + ".log")
    {
        std::FILE* file = std::fopen(this->settingsPath.c_str(), "w");
        if (!file)
            std::exit(2);
        std::fprintf(file,
            "self.node_id=%s\nself.role=edge-node\nself.machine_class=edge\nself.serves=edge,directory\nself.ip=%s\n"
            "self.zone=%s\nself.region=%s\nself.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.2\n"
            "self.limits.cores=1\nself.limits.memory_mb=%d\nself.limits.max_fds=4100\n"
            "self.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n"
            "network.listen.front=%s:8381\nnetwork.listen.ready=%s:8388\nnetwork.listen.directory=%s:8383\n"
            "network.internal_ports=7200,7215\n",
            this->name.c_str(), this->ip.c_str(), this->zone.c_str(), zones()[index % zones().size()].second.c_str(),
            memoryMb, this->ip.c_str(), this->ip.c_str(), this->ip.c_str());
        for (const auto& [zoneName, region] : zones())
            std::fprintf(file, "network.zones.%s=%s\n", zoneName.c_str(), region.c_str());
        std::fprintf(file,
            "platform.discovery=platform\nplatform.entry=directory\nplatform.heartbeat_ms=1500\n"
            "platform.platform.addr=%s\nplatform.platform.form=kv\nplatform.platform.writes_per_s=400\n"
            "platform.platform.reads_per_s=2000\nplatform.platform.history_s=20\n"
            "platform.platform.value_bytes=1048576\nplatform.platform.ttl_min_ms=1000\n"
            "terms.contracts=base,drain,config,cost,retry,recover,places,platform\n"
            "terms.fault_tolerance.machines=1\nterms.fault_tolerance.zones=1\nterms.fault_tolerance.regions=1\n"
            "terms.bounds.seed_lag_s=3\nterms.bounds.addr_reuse_s=2\nterms.bounds.stability_ms=3000\n"
            "terms.bounds.ack_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2500\n"
            "terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\nterms.bounds.config_apply_ms=2500\n"
            "terms.bounds.rollback_slack_ms=250\nterms.bounds.skew_max_ms=5000\nterms.bounds.retry_ratio=0.2\n"
            "terms.bounds.retry_window_s=10\nterms.bounds.retry_slack=64\nterms.bounds.cold_overage=1.5\n"
            "terms.bounds.cold_slack=5\nterms.bounds.evacuate_ms=5000\nterms.bounds.recovery_s=15\n"
            "terms.bounds.ttl_max_s=5\nterms.bounds.max_shift=0.15\n",
            storeAddress.c_str());
        std::fclose(file);
    }
    ~Instance() { this->kill(); }
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    // Runs `target/wagtailrack edge`, the command of deploy/system.toml, in the repository's root.
    void start()
    {
        const pid_t child = ::fork();
        if (child == 0) {
            // Ends with this program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("WAGTAILRACK_CONFIG", this->settingsPath.c_str(), 1);
            ::execl("target/wagtailrack", "target/wagtailrack", "edge", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        this->process = child;
    }
    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }
    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
    // Whether the process has ended by itself; `status` as of waitpid().
    bool hasEnded(int& status)
    {
        if (this->process <= 0 || ::waitpid(this->process, &status, WNOHANG) != this->process)
            return false;
        this->process = -1;
        return true;
    }
    bool isReady() const
    {
        const StreamPointer stream = connectTo(this->ip, 8388);
        return exchange(stream, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1000).status == 200;
    }
    bool awaitReady(int64_t milliseconds) const
    {
        const int64_t end = nowMs() + milliseconds;
        while (nowMs() < end) {
            if (this->isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }
    // A connection to the address for callers.
    StreamPointer connect() const { return connectTo(this->ip, 8381); }

    const std::string zone;
    const std::string name;
    const std::string ip;
    const std::string settingsPath;
    const std::string logPath;
    pid_t process = -1;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

}
