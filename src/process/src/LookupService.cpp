#include <wagtailrack/process/LookupService.h>

#include <wagtailrack/process/InstanceOrder.h>

#include <json/value.h>
#include <json/writer.h>

#include <map>

namespace wagtailrack::process {

// The answers' parts for one version and one view. Orders are built when a service is first asked for, so that a new
// view costs little at an instance that answers for few services.
class LookupService::Prepared {
public:
    Prepared(version::TableVersionPointer sourceVersion, MemberViewPointer sourceView, Milliseconds validity)
        : version(std::move(sourceVersion))
        , view(std::move(sourceView))
        , prefix("{\"generation\":" + std::to_string(this->version->id.generation)
              + ",\"digest\":" + Json::valueToQuotedString(this->version->id.digest.c_str())
              + ",\"valid_for_ms\":" + std::to_string(validity.count()) + ",\"valid_until_unix_ms\":")
    {
        this->memberTexts.reserve(this->view->members.size());
        for (const Member& member : this->view->members) {
            this->memberTexts.push_back("{\"name\":" + Json::valueToQuotedString(member.name.c_str())
                + ",\"address\":" + Json::valueToQuotedString(member.callerAddress.toString().c_str())
                + ",\"failure_domain\":" + Json::valueToQuotedString(member.failureDomain.c_str()) + "}");
        }
    }

    bool isOf(const version::TableVersionPointer& otherVersion, const MemberViewPointer& otherView) const noexcept
    {
        return this->version == otherVersion && this->view == otherView;
    }

    // Null for an unknown service.
    const InstanceOrder* orderOf(std::string_view service)
    {
        const version::Route* route = nullptr;
        if (!service.empty()) {
            route = this->version->tables.findRouteByName(service);
            if (!route)
                return nullptr;
        }
        const std::lock_guard lock(this->mutex);
        auto& order = this->orders[route ? std::string_view(route->pool) : std::string_view()];
        if (!order) {
            const version::Pool* pool = route ? this->version->tables.findPool(route->pool) : nullptr;
            order = std::make_unique<InstanceOrder>(this->version->tables, *this->view, pool);
        }
        return order.get();
    }

    const version::TableVersionPointer version;
    const MemberViewPointer view;
    // Up to the time until which the answer is valid.
    const std::string prefix;
    // The JSON object of each member of the view.
    std::vector<std::string> memberTexts;

private:
    std::mutex mutex;
    // By name of the pool; the empty name stands for all pools. The names belong to `version`.
    std::map<std::string_view, std::unique_ptr<InstanceOrder>> orders;
};

LookupService::LookupService(const Clock& processClock, std::function<version::TableVersionPointer()> version,
    std::function<MemberViewPointer()> view, Milliseconds answerValidity)
    : clock(processClock)
    , currentVersion(std::move(version))
    , currentView(std::move(view))
    , validity(answerValidity)
{
}

LookupService::~LookupService() = default;

std::shared_ptr<LookupService::Prepared> LookupService::prepared(
    version::TableVersionPointer version, MemberViewPointer view)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->latest && this->latest->isOf(version, view))
            return this->latest;
    }
    auto fresh = std::make_shared<Prepared>(std::move(version), std::move(view), this->validity);
    const std::lock_guard lock(this->mutex);
    this->latest = fresh;
    return fresh;
}

Result<std::string> LookupService::answer(std::string_view service, std::string_view block)
{
    auto version = this->currentVersion();
    auto view = this->currentView();
    if (!version || !view)
        return makeError(ErrorCode::NotReady, "lookup", version ? "no member view yet" : "no tables yet");
    if (block.empty())
        return makeError(ErrorCode::MissingKey, "block", "an address of the caller's client block");
    const auto address = parseIPv4(block);
    if (!address)
        return address.error();
    const auto source = this->prepared(std::move(version), std::move(view));
    const InstanceOrder* order = source->orderOf(service);
    if (!order)
        return makeError(ErrorCode::UnknownName, "service", "no route " + std::string(service));
    const WallTime now = this->clock.wallNow();
    std::string text = source->prefix;
    text.reserve(text.size() + maxInstances * 128);
    text += std::to_string(toUnixMilliseconds(now + this->validity));
    text += ",\"instances\":[";
    bool isFirst = true;
    for (const Member* member : order->order(address.value(), now, maxInstances)) {
        if (!isFirst)
            text += ',';
        isFirst = false;
        text += source->memberTexts[static_cast<size_t>(member - source->view->members.data())];
    }
    text += "]}";
    return text;
}

}
