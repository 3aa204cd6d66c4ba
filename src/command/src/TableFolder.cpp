#include "TableFolder.h"

#include <wagtailrack/process/Settings.h>

#include <json/json.h>

#include <filesystem>
#include <fstream>
#include <memory>

namespace wagtailrack::command {

// Readers see the old content or the new one.
static Status replaceFile(const std::string& path, const std::string& content)
{
    const std::string temporary = path + ".tmp";
    {
        std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
        stream << content;
        stream.close();
        if (!stream)
            return makeError(ErrorCode::Unreadable, temporary, "cannot write the file");
    }
    std::error_code failure;
    std::filesystem::rename(temporary, path, failure);
    if (failure)
        return makeError(ErrorCode::Unreadable, path, failure.message());
    return success();
}

static Result<FolderContent> decodeBase(const std::string& text, const std::string& path)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    FolderContent content;
    try {
        Json::Value value;
        std::string failures;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &failures) || !value.isObject())
            return makeError(ErrorCode::SyntaxError, path, "not a base file; run get again");
        content.id.generation = value["generation"].asUInt64();
        content.id.digest = value["digest"].asString();
        content.routesText = value["routes"].asString();
        content.poolsText = value["pools"].asString();
    } catch (const std::exception& failure) {
        return makeError(ErrorCode::SyntaxError, path, failure.what());
    }
    if (version::digestOf(content.routesText, content.poolsText) != content.id.digest)
        return makeError(ErrorCode::AnswerMismatched, path, "the base file was changed; run get again");
    return content;
}

TableFolder::TableFolder(const std::string& path)
    : folder(path)
    , routes(path + "/routes.toml")
    , pools(path + "/pools.toml")
    , base(path + "/base.json")
{
}

const std::string& TableFolder::routesPath() const noexcept { return this->routes; }

const std::string& TableFolder::poolsPath() const noexcept { return this->pools; }

Result<FolderContent> TableFolder::readTables() const
{
    auto routesText = process::readFile(this->routes);
    if (!routesText)
        return routesText.error();
    auto poolsText = process::readFile(this->pools);
    if (!poolsText)
        return poolsText.error();
    return FolderContent { {}, std::move(routesText).value(), std::move(poolsText).value() };
}

Result<FolderContent> TableFolder::readBase() const
{
    std::error_code failure;
    if (!std::filesystem::exists(this->base, failure))
        return FolderContent {};
    const auto text = process::readFile(this->base);
    if (!text)
        return text.error();
    return decodeBase(text.value(), this->base);
}

Status TableFolder::write(const FolderContent& content) const
{
    std::error_code failure;
    std::filesystem::create_directories(this->folder, failure);
    if (failure)
        return makeError(ErrorCode::Unreadable, this->folder, failure.message());
    Json::Value value(Json::objectValue);
    value["generation"] = Json::UInt64(content.id.generation);
    value["digest"] = content.id.digest;
    value["routes"] = content.routesText;
    value["pools"] = content.poolsText;
    Json::StreamWriterBuilder builder;
    builder["emitUTF8"] = true;
    if (auto status = replaceFile(this->routes, content.routesText); !status)
        return status;
    if (auto status = replaceFile(this->pools, content.poolsText); !status)
        return status;
    return replaceFile(this->base, Json::writeString(builder, value) + '\n');
}

}
