#include <wagtailrack/base/Endpoint.h>

#include <arpa/inet.h>

#include <charconv>

namespace wagtailrack {

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ErrorCode::AddressInvalid, std::string(text), "expected address:port");
    const std::string_view host = text.substr(0, colon);
    if (auto address = parseIPv4(host); !address)
        return address.error();
    const std::string_view digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (status != std::errc() || end != digits.data() + digits.size() || port == 0 || port > 65535)
        return makeError(ErrorCode::AddressInvalid, std::string(text), "port must be 1 to 65535");
    return Endpoint { std::string(host), static_cast<uint16_t>(port) };
}

std::string Endpoint::toString() const { return this->host + ":" + std::to_string(this->port); }

Result<uint32_t> parseIPv4(std::string_view text)
{
    in_addr address {};
    if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1)
        return makeError(ErrorCode::AddressInvalid, std::string(text), "not an IPv4 address");
    return ntohl(address.s_addr);
}

}
