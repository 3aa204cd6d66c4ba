#include <wagtailrack/version/parseJson.h>

#include <json/reader.h>

#include <memory>

namespace wagtailrack::version {

Result<Json::Value> parseJson(std::string_view text, const std::string& place, int maxDepth)
{
    // Making a reader takes longer than most texts.
    thread_local std::unique_ptr<Json::CharReader> reader;
    thread_local int readerDepth = -1;
    if (!reader || readerDepth != maxDepth) {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder.settings_["stackLimit"] = maxDepth;
        reader.reset(builder.newCharReader());
        readerDepth = maxDepth;
    }
    Json::Value value;
    std::string failures;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &failures))
            return makeError(ErrorCode::SyntaxError, place, failures.substr(0, failures.find('\n')));
    } catch (const std::exception& failure) {
        return makeError(ErrorCode::SyntaxError, place, failure.what());
    }
    return value;
}

}
