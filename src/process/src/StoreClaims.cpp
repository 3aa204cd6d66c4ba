#include <wagtailrack/process/StoreClaims.h>

#include <wagtailrack/base/Hash.h>
#include <wagtailrack/version/parseJson.h>

#include <json/writer.h>

#include <thread>

namespace wagtailrack::process {

namespace {

constexpr Milliseconds retryInterval { 20 };

std::string encode(const OrderClaim& claim)
{
    Json::Value value;
    value["instance"] = claim.instance;
    value["process"] = claim.processId;
    value["claimed_at_ms"] = Json::Int64(claim.claimedAtMs);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Result<OrderClaim> decode(const std::string& key, const std::string& text)
{
    const auto parsed = version::parseJson(text, key);
    const Json::Value value = parsed ? parsed.value() : Json::Value();
    if (!value.isObject() || !value["instance"].isString() || !value["process"].isString()
        || !value["claimed_at_ms"].isInt64())
        return makeError(ErrorCode::AnswerInvalid, key, "not a claim");
    return OrderClaim { value["instance"].asString(), value["process"].asString(), value["claimed_at_ms"].asInt64() };
}

}

StoreClaims::StoreClaims(
    const Clock& source, ConfigurationStore& configurationStore, std::string instance, std::string process)
    : clock(source)
    , store(configurationStore)
    , instanceName(std::move(instance))
    , processId(std::move(process))
{
}

Result<OrderClaim> StoreClaims::claim(const std::string& key, SteadyTime deadline)
{
    const std::string name = "wagtailrack/order/" + contentHash(key);
    const auto nowMs = std::chrono::duration_cast<Milliseconds>(this->clock.now().time_since_epoch()).count();
    const OrderClaim own { this->instanceName, this->processId, nowMs };
    while (true) {
        const auto written = this->store.write(name, encode(own), 0, deadline);
        if (written)
            return own;
        // After a conflict or a lost reply the key itself tells who holds it, which may be this process.
        const auto present = this->store.read(name, deadline);
        if (present && present.value())
            return decode(name, present.value()->value);
        const Error& failure = present ? written.error() : present.error();
        if (this->clock.now() + retryInterval >= deadline)
            return failure;
        std::this_thread::sleep_for(retryInterval);
    }
}

}
