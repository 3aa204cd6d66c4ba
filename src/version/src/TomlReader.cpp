#include <wagtailrack/version/TomlReader.h>

#include <sstream>

namespace wagtailrack::version {

TomlReader::TomlReader(const toml::value& source, std::string fileName, std::string record)
    : table(source)
    , file(std::move(fileName))
    , recordName(std::move(record))
{
}

const toml::value* TomlReader::find(const std::string& key)
{
    this->knownKeys.insert(key);
    if (!this->table.is_table())
        return nullptr;
    const auto& entries = this->table.as_table();
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

std::string TomlReader::placeOf(const std::string& key) const
{
    uint_least32_t line = this->table.location().line();
    if (this->table.is_table()) {
        const auto found = this->table.as_table().find(key);
        if (found != this->table.as_table().end())
            line = found->second.location().line();
    }
    std::string place = this->file + ":" + std::to_string(line);
    const std::string path = this->recordName.empty() ? key : this->recordName + (key.empty() ? "" : "." + key);
    return path.empty() ? place : place + " " + path;
}

void TomlReader::fail(ErrorCode code, const std::string& key, const std::string& detail)
{
    if (this->firstFailure)
        this->firstFailure = makeError(code, this->placeOf(key), detail);
}

std::string TomlReader::requiredString(const std::string& key)
{
    if (!this->find(key)) {
        this->fail(ErrorCode::MissingKey, key, "required");
        return {};
    }
    return this->optionalString(key, {});
}

std::string TomlReader::requiredName(const std::string& key)
{
    constexpr size_t maxLength = 64;
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789.-_";
    std::string name = this->requiredString(key);
    if (name.empty() || name.size() > maxLength || name.find_first_not_of(allowed) != std::string::npos)
        this->fail(ErrorCode::OutOfRange, key, "expected 1 to 64 letters, digits, dots, dashes or underscores");
    return name;
}

WallTime TomlReader::requiredTime(const std::string& key)
{
    const toml::value* value = this->find(key);
    if (!value) {
        this->fail(ErrorCode::MissingKey, key, "required");
        return {};
    }
    if (!value->is_offset_datetime()) {
        this->fail(ErrorCode::WrongType, key, "expected a date and time with an offset, such as 2026-03-01T04:00:00Z");
        return {};
    }
    return std::chrono::system_clock::time_point(value->as_offset_datetime());
}

std::string TomlReader::optionalString(const std::string& key, const std::string& fallback)
{
    const toml::value* value = this->find(key);
    if (!value)
        return fallback;
    if (!value->is_string()) {
        this->fail(ErrorCode::WrongType, key, "expected a string");
        return fallback;
    }
    return value->as_string().str;
}

int64_t TomlReader::readInteger(const std::string& key, const toml::value& value, int64_t lowest, int64_t highest)
{
    if (!value.is_integer()) {
        this->fail(ErrorCode::WrongType, key, "expected a whole number");
        return lowest;
    }
    const int64_t number = value.as_integer();
    if (number < lowest || number > highest) {
        this->fail(ErrorCode::OutOfRange, key,
            std::to_string(number) + " is not in " + std::to_string(lowest) + " to " + std::to_string(highest));
        return lowest;
    }
    return number;
}

int64_t TomlReader::requiredInteger(const std::string& key, int64_t lowest, int64_t highest)
{
    const toml::value* value = this->find(key);
    if (!value) {
        this->fail(ErrorCode::MissingKey, key, "required");
        return lowest;
    }
    return this->readInteger(key, *value, lowest, highest);
}

int64_t TomlReader::optionalInteger(const std::string& key, int64_t lowest, int64_t highest, int64_t fallback)
{
    const toml::value* value = this->find(key);
    return value ? this->readInteger(key, *value, lowest, highest) : fallback;
}

bool TomlReader::optionalBool(const std::string& key, bool fallback)
{
    const toml::value* value = this->find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        this->fail(ErrorCode::WrongType, key, "expected true or false");
        return fallback;
    }
    return value->as_boolean();
}

std::vector<std::string> TomlReader::optionalStrings(const std::string& key, const std::vector<std::string>& fallback)
{
    const toml::value* value = this->find(key);
    if (!value)
        return fallback;
    std::vector<std::string> texts;
    if (!value->is_array()) {
        this->fail(ErrorCode::WrongType, key, "expected an array of strings");
        return texts;
    }
    for (const toml::value& element : value->as_array()) {
        if (!element.is_string()) {
            this->fail(ErrorCode::WrongType, key, "expected an array of strings");
            return texts;
        }
        texts.push_back(element.as_string().str);
    }
    return texts;
}

std::vector<toml::value> TomlReader::optionalTables(const std::string& key)
{
    const toml::value* value = this->find(key);
    if (!value)
        return {};
    if (!value->is_array()) {
        this->fail(ErrorCode::WrongType, key, "expected [[" + key + "]]");
        return {};
    }
    for (const toml::value& element : value->as_array()) {
        if (!element.is_table()) {
            this->fail(ErrorCode::WrongType, key, "expected [[" + key + "]]");
            return {};
        }
    }
    return value->as_array();
}

Status TomlReader::finish()
{
    if (!this->firstFailure)
        return this->firstFailure;
    if (this->table.is_table()) {
        for (const auto& entry : this->table.as_table()) {
            if (!this->knownKeys.contains(entry.first))
                return makeError(ErrorCode::UnknownKey, this->placeOf(entry.first), "not a key of this table");
        }
    }
    return success();
}

// Line of the first place that is nested too deeply; 0 without one. Brackets in strings and comments do not count. A
// dotted key nests one level for each dot.
static size_t lineNestedTooDeeply(std::string_view text)
{
    constexpr size_t maxDepth = 32;
    size_t line = 1;
    size_t depth = 0;
    size_t dots = 0;
    // Delimiter of the string that is open.
    std::string_view quote;
    bool isComment = false;
    for (size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (character == '\n') {
            ++line;
            dots = 0;
            isComment = false;
            if (quote.size() == 1)
                quote = {};
            continue;
        }
        if (isComment)
            continue;
        if (!quote.empty()) {
            if (character == '\\' && quote[0] == '"')
                ++index;
            else if (text.substr(index, quote.size()) == quote) {
                index += quote.size() - 1;
                quote = {};
            }
            continue;
        }
        if (character == '"' || character == '\'') {
            const bool isTriple = text.substr(index, 3) == std::string(3, character);
            quote = text.substr(index, isTriple ? 3 : 1);
            index += quote.size() - 1;
        } else if (character == '#')
            isComment = true;
        else if (character == '[' || character == '{')
            ++depth;
        else if ((character == ']' || character == '}') && depth > 0)
            --depth;
        else if (character == '.')
            ++dots;
        else if (character == '=' || character == ',')
            dots = 0;
        if (depth > maxDepth || dots > maxDepth)
            return line;
    }
    return 0;
}

Result<toml::value> parseToml(std::string_view text, const std::string& file)
{
    if (const size_t line = lineNestedTooDeeply(text); line > 0)
        return makeError(ErrorCode::SyntaxError, file + ":" + std::to_string(line), "nested too deeply");
    std::istringstream stream { std::string(text) };
    try {
        return toml::parse(stream, file);
    } catch (const toml::exception& failure) {
        const std::string message = failure.what();
        return makeError(ErrorCode::SyntaxError, file + ":" + std::to_string(failure.location().line()),
            message.substr(0, message.find('\n')));
    } catch (const std::exception& failure) {
        return makeError(ErrorCode::SyntaxError, file, failure.what());
    }
}

}
