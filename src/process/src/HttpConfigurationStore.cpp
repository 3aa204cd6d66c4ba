#include <wagtailrack/process/HttpConfigurationStore.h>

#include <wagtailrack/connection/HttpConnection.h>

#include <algorithm>
#include <charconv>

namespace wagtailrack::process {

namespace {

constexpr int64_t maxValueBytes = 1'000'000;
// The store is asked to answer a watch this much before the deadline, so that an answer without news arrives in
// time and is told from a store that does not answer.
constexpr Milliseconds watchMargin { 250 };

connection::HttpRequest requestFor(const std::string& method, const std::string& target)
{
    connection::HttpRequest request;
    request.method = method;
    request.target = target;
    return request;
}

connection::ExchangeResult exchange(
    const Endpoint& endpoint, const connection::HttpRequest& request, SteadyTime deadline)
{
    return connection::exchangeOnce(endpoint, request, { deadline, deadline, deadline, maxValueBytes });
}

Result<uint64_t> versionOf(const connection::HttpResponse& response, const std::string& key)
{
    const std::string text = connection::headerValue(response.headers, "X-Version");
    uint64_t version = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc() || end != text.data() + text.size() || version == 0)
        return makeError(ErrorCode::AnswerInvalid, key, "answer of the store without a valid X-Version");
    return version;
}

Error refusal(int status, const std::string& key)
{
    if (status == 429)
        return makeError(ErrorCode::RateLimited, key, "the store's rate limit is reached");
    return makeError(ErrorCode::StoreUnavailable, key, "the store answered " + std::to_string(status));
}

Error readFailure(const Error& failure, const std::string& key, SteadyTime deadline)
{
    // httplib rounds its timeout down to milliseconds, so that a call may end just before its deadline.
    constexpr Milliseconds rounding { 2 };
    const bool isLate = std::chrono::steady_clock::now() + rounding >= deadline;
    const ErrorCode code = isLate                   ? ErrorCode::TimedOut
        : failure.code == ErrorCode::AnswerTooLarge ? failure.code
                                                    : ErrorCode::StoreUnavailable;
    return makeError(code, key, "store " + failure.place + ": " + failure.detail);
}

// The value of a 200, nothing for `statusWithoutValue`.
Result<std::optional<StoredValue>> valueOf(
    const connection::ExchangeResult& result, const std::string& key, SteadyTime deadline, int statusWithoutValue)
{
    if (!result.response)
        return readFailure(result.response.error(), key, deadline);
    const connection::HttpResponse& response = result.response.value();
    if (response.status == statusWithoutValue)
        return std::optional<StoredValue>();
    if (response.status != 200)
        return refusal(response.status, key);
    const auto version = versionOf(response, key);
    if (!version)
        return version.error();
    return std::optional(StoredValue { response.body, version.value() });
}

}

HttpConfigurationStore::HttpConfigurationStore(Endpoint storeEndpoint)
    : endpoint(std::move(storeEndpoint))
{
}

Result<std::optional<StoredValue>> HttpConfigurationStore::read(const std::string& key, SteadyTime deadline)
{
    return valueOf(exchange(this->endpoint, requestFor("GET", "/v1/keys/" + key), deadline), key, deadline, 404);
}

Result<uint64_t> HttpConfigurationStore::write(
    const std::string& key, const std::string& value, uint64_t expectedVersion, SteadyTime deadline)
{
    if (value.size() > maxValueBytes)
        return makeError(ErrorCode::TooLarge, key, "the store takes values up to 1,000,000 bytes");
    auto request = requestFor("PUT", "/v1/keys/" + key + "?expected_version=" + std::to_string(expectedVersion));
    request.headers["Content-Type"] = "application/octet-stream";
    request.body = value;
    const auto result = exchange(this->endpoint, request, deadline);
    if (!result.response) {
        const Error& failure = result.response.error();
        const ErrorCode code = result.progress == connection::SendProgress::NothingSent ? ErrorCode::StoreUnavailable
                                                                                        : ErrorCode::OutcomeUnknown;
        return makeError(code, key, "store " + failure.place + ": " + failure.detail);
    }
    switch (result.response.value().status) {
    case 200:
        break;
    case 409:
        return makeError(ErrorCode::VersionConflict, key, "the key has another version");
    case 413:
        return makeError(ErrorCode::TooLarge, key, "the store refused the value as too large");
    case 429:
        return refusal(429, key);
    default:
        // An error inside the store, or in something in front of it, does not say whether the write happened.
        return makeError(
            ErrorCode::OutcomeUnknown, key, "the store answered " + std::to_string(result.response.value().status));
    }
    auto version = versionOf(result.response.value(), key);
    if (!version)
        return makeError(ErrorCode::OutcomeUnknown, key, version.error().detail);
    return version;
}

Result<std::optional<StoredValue>> HttpConfigurationStore::watch(
    const std::string& key, uint64_t knownVersion, SteadyTime deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto wait = std::max<Milliseconds::rep>((left - watchMargin).count(), 1);
    const auto request = requestFor("GET",
        "/v1/watch/" + key + "?after_version=" + std::to_string(knownVersion) + "&timeout_ms=" + std::to_string(wait));
    return valueOf(exchange(this->endpoint, request, deadline), key, deadline, 204);
}

}
