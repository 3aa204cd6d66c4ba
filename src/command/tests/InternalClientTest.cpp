#include "InternalClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <thread>

using namespace wagtailrack;
using namespace wagtailrack::command;

namespace {

// Result of the question at an address where a server sends these bytes to its first caller.
Result<Json::Value> askServerThatSends(const std::string& bytes)
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const Endpoint address { "127.0.0.1", acceptor.local_endpoint().port() };
    std::thread server([&] {
        Tcp::socket socket = acceptor.accept();
        std::array<char, 4096> buffer {};
        boost::system::error_code ignored;
        socket.read_some(boost::asio::buffer(buffer), ignored);
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    });
    auto answer = queryInternal(address, "/explain?id=1", "explain");
    server.join();
    return answer;
}

std::string response(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ExitCode exitCodeOf(const Result<Json::Value>& answer)
{
    return answer ? ExitCode::Success : reportInternalError(answer.error());
}

}

TEST_GROUP(InternalClient) {};

// Guards against taking the response of something else for that of an instance, and against the exit code of an
// instance that is not reached.
TEST(InternalClient, wrongAddressIsAnErrorOfTheCommandLine)
{
    for (const std::string& bytes : { response("404 Not Found", "no-route\n"), response("200 OK", "{\"a\":1}"),
             response("200 OK", "{\"wagtailrack\":\"servers\"}"), response("200 OK", "[]") })
        CHECK_TRUE(exitCodeOf(askServerThatSends(bytes)) == ExitCode::Usage);
    CHECK_TRUE(exitCodeOf(queryInternal({ "127.0.0.1", 1 }, "/servers", "servers")) == ExitCode::Unavailable);
    CHECK_TRUE(
        exitCodeOf(askServerThatSends(response("200 OK", "{\"wagtailrack\":\"explain\"}"))) == ExitCode::Success);
    CHECK_TRUE(exitCodeOf(askServerThatSends(
                   response("404 Not Found", "{\"wagtailrack\":\"explain\",\"error\":\"unknown id\"}")))
        == ExitCode::Invalid);
}

// Guards against objects with separators of a query being cut.
TEST(InternalClient, valuesAreEncoded)
{
    STRCMP_EQUAL("/a%26b%3D%25%20%C3%A4", percentEncode("/a&b=% \xC3\xA4").c_str());
}
