#include "BackendBehavior.h"

#include <array>

namespace wagtailrack::testbed {

namespace {

template <typename Value> struct Named {
    const char* name;
    Value value;
};

constexpr std::array<Named<AnswerMode>, 8> modes { { { "normal", AnswerMode::Normal }, { "late", AnswerMode::Late },
    { "crossed", AnswerMode::Crossed }, { "truncated", AnswerMode::Truncated }, { "oversized", AnswerMode::Oversized },
    { "without_length", AnswerMode::WithoutLength }, { "hanging", AnswerMode::Hanging },
    { "closing", AnswerMode::Closing } } };

constexpr std::array<Named<ServiceTime>, 3> distributions { { { "fixed", ServiceTime::Fixed },
    { "uniform", ServiceTime::Uniform }, { "exponential", ServiceTime::Exponential } } };

constexpr std::array<Named<int64_t BackendBehavior::*>, 8> integers { { { "slots", &BackendBehavior::slots },
    { "queue", &BackendBehavior::queueLength }, { "cold_requests", &BackendBehavior::coldRequests },
    { "body_bytes", &BackendBehavior::bodyBytes }, { "mode_count", &BackendBehavior::modeCount },
    { "late_ms", &BackendBehavior::lateMs }, { "oversized_bytes", &BackendBehavior::oversizedBytes },
    { "health_lag_ms", &BackendBehavior::healthLagMs } } };

constexpr std::array<Named<double BackendBehavior::*>, 3> numbers { { { "service_ms", &BackendBehavior::serviceMs },
    { "cold_factor", &BackendBehavior::coldFactor }, { "claimed_load", &BackendBehavior::claimedLoad } } };

constexpr std::array<Named<bool BackendBehavior::*>, 3> flags { { { "draining", &BackendBehavior::isDraining },
    { "hides_draining", &BackendBehavior::hidesDraining }, { "health_hangs", &BackendBehavior::healthHangs } } };

template <typename Table> auto find(const Table& table, const std::string& name)
{
    const typename Table::value_type* found = nullptr;
    for (const auto& entry : table) {
        if (name == entry.name)
            found = &entry;
    }
    return found;
}

template <typename Table, typename Value> const char* nameOf(const Table& table, Value value)
{
    for (const auto& entry : table) {
        if (entry.value == value)
            return entry.name;
    }
    return "";
}

bool applyKey(BackendBehavior& behavior, const std::string& key, const Json::Value& value)
{
    if (const auto* integer = find(integers, key); integer && value.isInt64())
        behavior.*(integer->value) = value.asInt64();
    else if (const auto* number = find(numbers, key); number && value.isNumeric())
        behavior.*(number->value) = value.asDouble();
    else if (const auto* flag = find(flags, key); flag && value.isBool())
        behavior.*(flag->value) = value.asBool();
    else if (const auto* mode = value.isString() ? find(modes, value.asString()) : nullptr; mode && key == "mode")
        behavior.mode = mode->value;
    else if (const auto* shape = value.isString() ? find(distributions, value.asString()) : nullptr;
             shape && key == "distribution")
        behavior.distribution = shape->value;
    else
        return false;
    return true;
}

}

std::string BackendBehavior::apply(const Json::Value& changes)
{
    if (!changes.isObject())
        return "expected an object";
    BackendBehavior changed = *this;
    for (const std::string& key : changes.getMemberNames()) {
        if (!applyKey(changed, key, changes[key]))
            return key;
    }
    *this = changed;
    return {};
}

Json::Value BackendBehavior::toJson() const
{
    Json::Value value(Json::objectValue);
    for (const auto& entry : integers)
        value[entry.name] = Json::Int64(this->*(entry.value));
    for (const auto& entry : numbers)
        value[entry.name] = this->*(entry.value);
    for (const auto& entry : flags)
        value[entry.name] = this->*(entry.value);
    value["mode"] = nameOf(modes, this->mode);
    value["distribution"] = nameOf(distributions, this->distribution);
    return value;
}

}
