#include <wagtailrack/base/HeaderNames.h>
#include <wagtailrack/connection/HttpConnection.h>

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

using namespace wagtailrack;
using namespace wagtailrack::connection;

namespace {

// Server that answers the first request on its only connection with given bytes, and leaves the connection open.
class FixedAnswerServer {
public:
    explicit FixedAnswerServer(std::string answer)
        : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , bytes(std::move(answer))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CHECK_EQUAL(0, ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size));
        CHECK_EQUAL(0, ::listen(this->listener, 1));
        CHECK_EQUAL(0, ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size));
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->answerOnce(); });
    }

    ~FixedAnswerServer()
    {
        this->thread.join();
        ::close(this->connection);
        ::close(this->listener);
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->port }; }

private:
    void answerOnce()
    {
        this->connection = ::accept(this->listener, nullptr, nullptr);
        std::string request;
        std::array<char, 1024> part {};
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t size = ::recv(this->connection, part.data(), part.size(), 0);
            if (size <= 0)
                return;
            request.append(part.data(), static_cast<size_t>(size));
        }
        ::send(this->connection, this->bytes.data(), this->bytes.size(), MSG_NOSIGNAL);
    }

    int listener;
    std::string bytes;
    int connection = -1;
    uint16_t port = 0;
    std::thread thread;
};

std::string answerWithStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
}

}

TEST_GROUP(InvalidStatus) { ExchangeResult exchangeWith(const std::string& status, bool& isOpenAfterwards) {
    FixedAnswerServer server(answerWithStatus(status));
HttpConnection connection(server.endpoint());
const SteadyTime deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
ExchangeResult result = connection.exchange({}, { deadline, deadline, deadline });
isOpenAfterwards = connection.isOpen();
return result;
}
}
;

// Guards against the answer of a server in trouble being passed on: a status that HTTP does not define as a final one
// tells nothing about the request, and a caller would take it for an answer.
TEST(InvalidStatus, answerOutsideTheFinalStatusCodesIsInvalid)
{
    for (const char* status : { "000", "042", "101", "150", "199", "600", "999" }) {
        bool isOpen = true;
        const SteadyTime start = std::chrono::steady_clock::now();
        const ExchangeResult result = this->exchangeWith(status, isOpen);
        CHECK_TEXT(result.response.has_error() && result.response.error().code == ErrorCode::AnswerInvalid, status);
        CHECK_FALSE_TEXT(isOpen, status);
        CHECK_TEXT(std::chrono::steady_clock::now() - start < std::chrono::seconds(2), status);
    }
    for (const char* status : { "200", "299", "404", "599" }) {
        bool isOpen = false;
        const ExchangeResult result = this->exchangeWith(status, isOpen);
        CHECK_TEXT(result.response.has_value() && isOpen, status);
    }
}
