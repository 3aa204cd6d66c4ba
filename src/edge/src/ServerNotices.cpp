#include <wagtailrack/edge/ServerNotices.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

namespace wagtailrack::edge {

std::optional<double> parseRetryAfterSeconds(std::string_view text)
{
    const bool isDecimal = !text.empty() && text.front() != '.'
        && std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || c == '.'; });
    if (!isDecimal)
        return std::nullopt;
    double seconds = 0;
    const auto [end, failure]
        = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    if (failure != std::errc() || end != text.data() + text.size() || !std::isfinite(seconds))
        return std::nullopt;
    return seconds;
}

ServerNotices readServerNotices(const http::response_header<>& head, const EdgeHeaderNames& names, SteadyTime now)
{
    ServerNotices notices;
    if (head.find(names.serverLeaving) != head.end()) {
        notices.isLeaving = headerValue(head, names.serverLeaving) == "1";
        notices.invalidFields += notices.isLeaving ? 0 : 1;
    }
    if (head.result() != http::status::service_unavailable || head.find(http::field::retry_after) == head.end())
        return notices;
    const auto field = head[http::field::retry_after];
    const std::optional<double> seconds = parseRetryAfterSeconds({ field.data(), field.size() });
    if (!seconds) {
        ++notices.invalidFields;
        return notices;
    }
    const double limitSeconds = std::chrono::duration<double>(maximumServerPause).count();
    notices.pausesUntil = now
        + std::chrono::duration_cast<SteadyTime::duration>(
            std::chrono::duration<double>(std::min(*seconds, limitSeconds)));
    return notices;
}

}
