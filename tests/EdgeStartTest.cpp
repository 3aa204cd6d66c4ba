#include <harness/ChildProcess.h>

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace wagtailrack;
using namespace wagtailrack::testbed;

namespace {

constexpr uint16_t callerPort = 7100;
constexpr uint16_t directoryPort = 7101;
constexpr uint16_t readyPort = 7102;
// The first port carries datagrams, the next one the state for peers.
constexpr uint16_t firstInternalPort = 7200;
constexpr uint16_t statePort = firstInternalPort + 1;
// Time in which a process that gives up has ended.
constexpr Milliseconds observationTime(700);
constexpr Milliseconds startTime(5000);

// A loopback address of this process alone: test programs that run side by side use the same ports.
std::string ownHost()
{
    const pid_t id = ::getpid();
    return "127.9." + std::to_string(id / 250 % 250) + "." + std::to_string(1 + id % 250);
}

// A socket of a kind at a port of the own address.
class BoundSocket {
public:
    BoundSocket(int kind, uint16_t port)
        : handle(::socket(AF_INET, kind | SOCK_CLOEXEC, 0))
    {
        const int isReused = 1;
        ::setsockopt(this->handle, SOL_SOCKET, SO_REUSEADDR, &isReused, kind == SOCK_STREAM ? sizeof isReused : 0);
        const sockaddr_in address = addressOf(port);
        CHECK_EQUAL(0, ::bind(this->handle, reinterpret_cast<const sockaddr*>(&address), sizeof address));
        if (kind == SOCK_STREAM)
            ::listen(this->handle, 1);
    }
    ~BoundSocket() { ::close(this->handle); }
    BoundSocket(const BoundSocket&) = delete;
    BoundSocket& operator=(const BoundSocket&) = delete;

    static sockaddr_in addressOf(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ownHost().c_str(), &address.sin_addr);
        return address;
    }

private:
    int handle;
};

// Returns the connected socket, -1 if nothing listens.
int connectTo(uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = BoundSocket::addressOf(port);
    if (::connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return handle;
    ::close(handle);
    return -1;
}

}

// How `wagtailrack edge` starts when what it needs is not there yet.
TEST_GROUP(EdgeStart)
{
    const std::string path = std::string(BINARY_FOLDER) + "/edge-start-test.conf";

    void setup() override { ::unlink(this->path.c_str()); }
    void teardown() override { ::unlink(this->path.c_str()); }

    std::string settingsText() const
    {
        const std::string prefix = ownHost() + ":";
        return "self.node_id=edge-a\nself.ip=" + ownHost()
            + "\nself.zone=north-a\nself.region=north\nself.bootstrap=false\nself.limits.memory_mb=260\n"
              "self.limits.link_mbps=1000\nnetwork.listen.front="
            + prefix + std::to_string(callerPort) + "\nnetwork.listen.directory=" + prefix
            + std::to_string(directoryPort) + "\nnetwork.listen.ready=" + prefix + std::to_string(readyPort)
            + "\nnetwork.internal_ports=" + std::to_string(firstInternalPort) + ","
            + std::to_string(firstInternalPort + 15) + "\nplatform.platform.addr=" + prefix + "1\n"
            + "terms.bounds.grace_s=6\nterms.bounds.ttl_max_s=5\nterms.bounds.retry_ratio=0.2\n"
              "terms.bounds.retry_slack=20\nterms.bounds.cold_slack=5\nnetwork.zones.north-a=north\n";
    }

    void writeSettings(const std::string& text) const
    {
        std::ofstream file(this->path);
        file << text;
    }

    ChildProcess startInstance() const
    {
        return ChildProcess({ WAGTAILRACK_BINARY, "edge", "--settings", this->path }, this->path + ".log");
    }

    static bool keepsRunning(ChildProcess & instance)
    {
        return !instance.waitForExit(std::chrono::steady_clock::now() + observationTime).has_value();
    }

    bool isListening(ChildProcess & instance) const
    {
        const SteadyTime end = std::chrono::steady_clock::now() + startTime;
        while (std::chrono::steady_clock::now() < end && instance.isRunning()) {
            const int connection = connectTo(callerPort);
            if (connection >= 0) {
                ::close(connection);
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return false;
    }
};

// Guards against a process that ends at its start because an address is still in use: by a process that is ending, or
// by an outgoing connection that was given the port.
TEST(EdgeStart, addressInUseIsWaitedFor)
{
    this->writeSettings(this->settingsText());
    for (const uint16_t port : { callerPort, readyPort, directoryPort, firstInternalPort, statePort }) {
        auto stream = std::make_unique<BoundSocket>(SOCK_STREAM, port);
        auto datagram = std::make_unique<BoundSocket>(SOCK_DGRAM, port);
        ChildProcess instance = this->startInstance();
        CHECK_TRUE_TEXT(this->keepsRunning(instance), "the process has ended");
        stream.reset();
        datagram.reset();
        CHECK_TRUE_TEXT(this->isListening(instance), "the process does not listen");
    }
}

// Guards against a process that ends at its start because its settings are missing or have been written in part.
TEST(EdgeStart, settingsThatAreNotWholeAreWaitedFor)
{
    const std::string text = this->settingsText();
    ChildProcess instance = this->startInstance();
    CHECK_TRUE(this->keepsRunning(instance));
    this->writeSettings(text.substr(0, text.size() / 3));
    CHECK_TRUE(this->keepsRunning(instance));
    this->writeSettings(text);
    CHECK_TRUE(this->isListening(instance));
}

// Guards against a planned stop that is ignored while the process waits for an address.
TEST(EdgeStart, waitingForAnAddressEndsWithSigterm)
{
    this->writeSettings(this->settingsText());
    const BoundSocket stream(SOCK_STREAM, callerPort);
    ChildProcess instance = this->startInstance();
    CHECK_TRUE(this->keepsRunning(instance));
    instance.terminate();
    CHECK_TRUE(instance.waitForExit(std::chrono::steady_clock::now() + observationTime).has_value());
}

// Guards against a restart that fails because of what the process before has left behind: callers' connections, also of
// callers that do not close them.
TEST(EdgeStart, restartsAtTheSameAddressesAfterAKill)
{
    this->writeSettings(this->settingsText());
    std::vector<int> connections;
    for (int restart = 0; restart < 30; ++restart) {
        ChildProcess instance = this->startInstance();
        CHECK_TRUE(this->isListening(instance));
        for (int index = 0; index < 5; ++index)
            connections.push_back(connectTo(callerPort));
        instance.kill();
    }
    for (const int connection : connections)
        ::close(connection);
}
