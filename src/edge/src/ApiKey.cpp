#include <wagtailrack/edge/ApiKey.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>

namespace wagtailrack::edge {

const char* toString(KeyProblem problem) noexcept
{
    switch (problem) {
    case KeyProblem::Missing:
        return "key-missing";
    case KeyProblem::Malformed:
        return "key-malformed";
    case KeyProblem::Unknown:
        break;
    }
    return "key-unknown";
}

std::string_view bearerKey(const http::fields& fields, KeyProblem& problem)
{
    constexpr std::string_view scheme = "bearer ";
    const auto [first, last] = fields.equal_range(http::field::authorization);
    if (first == last) {
        problem = KeyProblem::Missing;
        return {};
    }
    problem = KeyProblem::Malformed;
    if (std::next(first) != last)
        return {};
    const auto value = first->value();
    std::string_view text(value.data(), value.size());
    // The name of the scheme is compared regardless of case (RFC 9110, 11.1).
    if (text.size() <= scheme.size()
        || !boost::beast::iequals({ text.data(), scheme.size() }, { scheme.data(), scheme.size() }))
        return {};
    text.remove_prefix(scheme.size());
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    // A key has no spaces (RFC 6750, 2.1).
    return text.find_first_of(" \t") == std::string_view::npos ? text : std::string_view();
}

}
