#include "platform/json_fields.h"

#include "base/json_check.h"

namespace yuccawheel::platform
{

namespace
{

[[noreturn]] void throwWrongType(const char *name, const char *expected)
{
    throw FormatError(std::string("field ") + name + " is not " + expected);
}

const Json *findField(const Json &object, const char *name)
{
    if (!object.is_object()) {
        throw FormatError(std::string("not an object, but expected one with the field ") + name);
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::chrono::milliseconds boundedMilliseconds(const Json &object, const char *name, std::chrono::milliseconds maximum)
{
    const double number = numberField(object, name);
    if (number < 0 || number > static_cast<double>(maximum.count())) {
        throwWrongType(name, "a time within its range");
    }
    return std::chrono::milliseconds(static_cast<std::int64_t>(number));
}

} // namespace

std::string encodeJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json parseObject(std::string_view body)
{
    if (!base::isParsableJson(body)) {
        throw FormatError("the body is no JSON document or has too many values");
    }
    Json parsed = Json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        throw FormatError("the body is not a JSON object");
    }
    return parsed;
}

std::string textField(const Json &object, const char *name, const std::string &defaultValue)
{
    const Json *const field = findField(object, name);
    if (field == nullptr) {
        return defaultValue;
    }
    if (!field->is_string()) {
        throwWrongType(name, "a string");
    }
    return field->get<std::string>();
}

std::int64_t integerField(const Json &object, const char *name, std::int64_t defaultValue)
{
    const double number = numberField(object, name, static_cast<double>(defaultValue));
    if (std::floor(number) != number || std::abs(number) > 9.0e15) {
        throwWrongType(name, "an integer");
    }
    return static_cast<std::int64_t>(number);
}

double numberField(const Json &object, const char *name, double defaultValue)
{
    const Json *const field = findField(object, name);
    if (field == nullptr) {
        return defaultValue;
    }
    if (!field->is_number()) {
        throwWrongType(name, "a number");
    }
    return field->get<double>();
}

bool flagField(const Json &object, const char *name)
{
    const Json *const field = findField(object, name);
    if (field == nullptr) {
        return false;
    }
    if (!field->is_boolean()) {
        throwWrongType(name, "true or false");
    }
    return field->get<bool>();
}

const Json &arrayField(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const Json *const field = findField(object, name);
    if (field == nullptr) {
        return empty;
    }
    if (!field->is_array()) {
        throwWrongType(name, "an array");
    }
    return *field;
}

const Json &requiredField(const Json &object, const char *name)
{
    const Json *const field = findField(object, name);
    if (field == nullptr) {
        throw FormatError(std::string("field ") + name + " is missing");
    }
    return *field;
}

std::chrono::milliseconds durationField(const Json &object, const char *name)
{
    return boundedMilliseconds(object, name, std::chrono::hours(24 * 365));
}

std::chrono::milliseconds timeField(const Json &object, const char *name)
{
    return boundedMilliseconds(object, name, std::chrono::seconds(4'102'444'800));
}

std::uint32_t countField(const Json &object, const char *name, std::uint32_t defaultValue)
{
    const std::int64_t number = integerField(object, name, defaultValue);
    if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
        throwWrongType(name, "a 32-bit count");
    }
    return static_cast<std::uint32_t>(number);
}

} // namespace yuccawheel::platform
