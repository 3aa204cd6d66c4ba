#include <wagtailrack/version/Head.h>
#include <wagtailrack/version/parseJson.h>

#include <json/json.h>

#include <algorithm>
#include <limits>
#include <memory>

namespace wagtailrack::version {

namespace {

// A head has three levels.
constexpr int maxDepth = 8;
constexpr unsigned formatNumber = 1;
constexpr size_t maxHeadBytes = 1'000'000;
constexpr size_t maxChunks = 100'000;
constexpr size_t maxIdLength = 64;
constexpr size_t hashLength = 32;

Json::Value toJson(const std::vector<std::string>& texts)
{
    Json::Value array(Json::arrayValue);
    for (const std::string& text : texts)
        array.append(text);
    return array;
}

// Reads the members of one object and remembers the first failure.
class ObjectReader {
public:
    ObjectReader(const Json::Value& source, std::string where)
        : object(source)
        , place(std::move(where))
    {
        if (!this->object.isObject())
            this->fail(ErrorCode::WrongType, "", "expected an object");
    }

    uint64_t number(const char* key, uint64_t lowest, uint64_t highest)
    {
        const Json::Value* value = this->find(key);
        if (!value)
            return lowest;
        if (!value->isIntegral() || !value->isUInt64()) {
            this->fail(ErrorCode::WrongType, key, "expected a whole number");
            return lowest;
        }
        if (value->asUInt64() < lowest || value->asUInt64() > highest)
            this->fail(ErrorCode::OutOfRange, key, "out of range");
        return value->asUInt64();
    }

    std::string hash(const char* key)
    {
        const Json::Value* value = this->find(key);
        return value ? this->readHash(key, *value) : std::string();
    }

    std::string id(const char* key)
    {
        const Json::Value* value = this->find(key);
        if (!value)
            return {};
        if (!value->isString()) {
            this->fail(ErrorCode::WrongType, key, "expected a string");
            return {};
        }
        std::string text = value->asString();
        const bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
        if (text.empty() || text.size() > maxIdLength || !isPrintable)
            this->fail(ErrorCode::OutOfRange, key, "expected 1 to 64 printable characters");
        return text;
    }

    const Json::Value* array(const char* key, size_t maxSize)
    {
        const Json::Value* value = this->find(key);
        if (!value)
            return nullptr;
        if (!value->isArray()) {
            this->fail(ErrorCode::WrongType, key, "expected an array");
            return nullptr;
        }
        if (value->size() > maxSize) {
            this->fail(ErrorCode::TooLarge, key, "more than " + std::to_string(maxSize) + " elements");
            return nullptr;
        }
        return value;
    }

    std::vector<std::string> hashes(const char* key)
    {
        std::vector<std::string> texts;
        if (const Json::Value* values = this->array(key, maxChunks)) {
            for (const Json::Value& value : *values)
                texts.push_back(this->readHash(key, value));
        }
        return texts;
    }

    void fail(ErrorCode code, const std::string& key, const std::string& detail)
    {
        if (this->status)
            this->status = makeError(code, key.empty() ? this->place : this->place + " " + key, detail);
    }

    // The first failure, an unknown member, or success.
    Status finish()
    {
        if (this->status && this->object.size() != this->known.size()) {
            for (const std::string& name : this->object.getMemberNames()) {
                if (std::find(this->known.begin(), this->known.end(), name) == this->known.end())
                    this->fail(ErrorCode::UnknownKey, name, "not a member of this object");
            }
        }
        return this->status;
    }

private:
    const Json::Value* find(const char* key)
    {
        if (!this->object.isObject())
            return nullptr;
        this->known.emplace_back(key);
        if (this->object.isMember(key))
            return &this->object[key];
        this->fail(ErrorCode::MissingKey, key, "required");
        return nullptr;
    }

    std::string readHash(const char* key, const Json::Value& value)
    {
        if (!value.isString()) {
            this->fail(ErrorCode::WrongType, key, "expected a string");
            return {};
        }
        std::string text = value.asString();
        if (text.size() != hashLength || text.find_first_not_of("0123456789abcdef") != std::string::npos)
            this->fail(ErrorCode::OutOfRange, key, "expected 32 hexadecimal digits");
        return text;
    }

    const Json::Value& object;
    std::string place;
    std::vector<std::string> known;
    Status status = success();
};

Result<Edit> readEdit(const Json::Value& value, const std::string& place)
{
    ObjectReader reader(value, place + " edits");
    Edit edit;
    edit.id = reader.id("id");
    edit.version.generation = reader.number("generation", 1, std::numeric_limits<uint64_t>::max());
    edit.version.digest = reader.hash("digest");
    if (auto status = reader.finish(); !status)
        return status.error();
    return edit;
}

// The last edit made this version and has the highest generation. Earlier ones may share a generation: joinedHead()
// puts the edits of two histories into one list.
Status checkOrder(const Head& head, const std::string& place)
{
    if (head.edits.empty() || head.edits.back().version != head.id)
        return makeError(ErrorCode::OutOfRange, place + " edits", "the last edit is not that of the version");
    for (size_t index = 1; index < head.edits.size(); ++index) {
        const uint64_t earlier = head.edits[index - 1].version.generation;
        const uint64_t later = head.edits[index].version.generation;
        if (earlier > later || (earlier == later && index + 1 == head.edits.size()))
            return makeError(ErrorCode::OutOfRange, place + " edits", "generations do not increase");
    }
    return success();
}

}

std::string encodeHead(const Head& head)
{
    Json::Value value(Json::objectValue);
    value["format"] = formatNumber;
    value["generation"] = Json::UInt64(head.id.generation);
    value["digest"] = head.id.digest;
    value["routes"] = toJson(head.routesChunks);
    value["pools"] = toJson(head.poolsChunks);
    Json::Value& edits = value["edits"] = Json::Value(Json::arrayValue);
    for (const Edit& edit : head.edits) {
        Json::Value entry(Json::objectValue);
        entry["id"] = edit.id;
        entry["generation"] = Json::UInt64(edit.version.generation);
        entry["digest"] = edit.version.digest;
        edits.append(std::move(entry));
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Result<Head> decodeHead(std::string_view text, const std::string& place)
{
    if (text.size() > maxHeadBytes)
        return makeError(ErrorCode::TooLarge, place, "a head has at most 1,000,000 bytes");
    const auto value = parseJson(text, place, maxDepth);
    if (!value)
        return value.error();
    ObjectReader reader(value.value(), place);
    Head head;
    reader.number("format", formatNumber, formatNumber);
    head.id.generation = reader.number("generation", 1, std::numeric_limits<uint64_t>::max());
    head.id.digest = reader.hash("digest");
    head.routesChunks = reader.hashes("routes");
    head.poolsChunks = reader.hashes("pools");
    if (const Json::Value* edits = reader.array("edits", Head::maxEdits)) {
        for (const Json::Value& entry : *edits) {
            auto edit = readEdit(entry, place);
            if (!edit)
                return edit.error();
            head.edits.push_back(std::move(edit).value());
        }
    }
    if (auto status = reader.finish(); !status)
        return status.error();
    if (auto status = checkOrder(head, place); !status)
        return status.error();
    return head;
}

}
