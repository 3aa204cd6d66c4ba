#include <wagtailrack/process/HttpInstanceList.h>

#include <wagtailrack/connection/HttpConnection.h>

#include <json/reader.h>
#include <json/value.h>

namespace wagtailrack::process {

HttpInstanceList::HttpInstanceList(Endpoint target)
    : endpoint(std::move(target))
{
}

Result<std::vector<ListedInstance>> HttpInstanceList::read(SteadyTime deadline)
{
    connection::HttpRequest request;
    request.path = request.target = "/v1/instances";
    const auto result
        = connection::exchangeOnce(this->endpoint, request, { deadline, deadline, deadline, int64_t(1) << 20 });
    if (!result.response)
        return result.response.error();
    const std::string place = this->endpoint.toString();
    if (result.response.value().status != 200)
        return makeError(ErrorCode::AnswerInvalid, place, "status " + std::to_string(result.response.value().status));
    return parseInstanceList(result.response.value().body, place);
}

Result<std::vector<ListedInstance>> parseInstanceList(const std::string& text, const std::string& place)
{
    Json::Value list;
    try {
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(text.data(), text.data() + text.size(), &list, nullptr) || !list.isArray())
            return makeError(ErrorCode::AnswerInvalid, place, "not a JSON list");
        std::vector<ListedInstance> instances;
        for (const Json::Value& entry : list) {
            if (!entry.isObject())
                return makeError(ErrorCode::AnswerInvalid, place, "an entry is not an object");
            const std::string state = entry["state"].asString();
            auto caller = Endpoint::parse(entry["caller_address"].asString());
            auto peer = Endpoint::parse(entry["peer_address"].asString());
            if (!caller || !peer)
                return makeError(ErrorCode::AnswerInvalid, place, "an entry has an invalid address");
            if (state != "live" && state != "leaving")
                continue;
            instances.push_back({ entry["name"].asString(), entry["failure_domain"].asString(),
                std::move(caller).value(), std::move(peer).value(), state == "leaving" });
        }
        return instances;
    } catch (const Json::Exception& failure) {
        return makeError(ErrorCode::AnswerInvalid, place, failure.what());
    }
}

}
