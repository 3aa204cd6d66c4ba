#include <wagtailrack/connection/JsonRpc.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace wagtailrack::connection;

TEST_GROUP(MalformedPeerAnswer) {};

// Guards against an answer of a peer, or of a program that reuses its port, that ends the process.
TEST(MalformedPeerAnswer, isRefused)
{
    const std::vector<std::string> answers { "", "x", "null", "1", "[]", "[1]", "{}", "\"a\"", std::string(5000, '['),
        std::string(200'000, '['), "{\"a\":" + std::string(200'000, '['), std::string(1, '\0'), "\xff\xfe",
        R"({"jsonrpc":"2.0","id":1})", R"({"jsonrpc":"2.0","id":1,"error":5})",
        R"({"jsonrpc":"2.0","id":1,"error":{}})", R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":[]}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":1e300,"message":{}}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":1,"message":{}}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":99999999999,"message":"x"}})",
        R"({"jsonrpc":2.0,"id":1,"result":{}})", R"({"jsonrpc":"2.0","id":[],"result":{}})",
        R"({"jsonrpc":"2.0","id":{},"result":{}})", R"({"jsonrpc":"2.0","id":1e300,"result":{}})",
        R"({"jsonrpc":"2.0","id":"x","result":{}})", R"({"jsonrpc":[],"id":1,"result":{}})",
        R"({"jsonrpc":"2.0","id":1,"error":[]})", R"({"jsonrpc":"2.0","id":1,"error":"x","result":1})",
        "/* " + std::string(5000, '*'), "// x\n{}", "{\"a\":1e99999}", "{\"a\":\"\\ud800\"}", "{\"a\":\"\\u00" };
    for (const std::string& answer : answers) {
        const auto transport = [&answer](const std::string&, std::string& received) {
            received = answer;
            return true;
        };
        const JsonRpcAnswer result = callJsonRpc(transport, "probe", Json::Value(Json::objectValue));
        CHECK_TRUE_TEXT(result.end == JsonRpcEnd::Refused, answer.substr(0, 60).c_str());
    }
}

// Guards against a request of another program that ends the process.
TEST(MalformedPeerAnswer, requestIsRefused)
{
    JsonRpcServer server;
    server.addMethod("probe", [](const Json::Value& parameters) { return parameters["x"]["y"]; });
    for (const std::string& request : std::vector<std::string> { "", "x", "null", "1", "[]", "[1,[],{}]", "{}",
             std::string(5000, '['), std::string(200'000, '['), R"({"jsonrpc":"2.0","id":1,"method":5})",
             R"({"jsonrpc":"2.0","id":[],"method":"probe","params":{}})", R"({"jsonrpc":[],"id":1,"method":"probe"})",
             R"({"jsonrpc":"2.0","id":{},"method":{},"params":5})",
             R"({"jsonrpc":"2.0","id":1,"method":"probe","params":[]})",
             R"({"jsonrpc":"2.0","id":1,"method":"probe","params":{"x":"y"}})", R"({"jsonrpc":"2.0","method":"probe"})",
             R"({"jsonrpc":"2.0","id":1e300,"method":"probe","params":{}})", "\xff\xfe\"",
             "{\"jsonrpc\":\"2.0\",\"id\":\"\xff\",\"method\":\"\xff\"}" })
        (void)server.handle(request);
}
