#include "platform/json_fields.h"

namespace yuccawheel::platform
{

namespace
{

constexpr std::size_t SmallBody = std::size_t{64} * 1024; ///< Can't become a large document.
constexpr std::size_t MaxValues = 500'000; ///< Some 40 MB. A configuration of 4 MiB has fewer.

/// Checks that a document is valid and within the limit without building it. Depth needs no limit of its own: an odd
/// row of a list must not hide the others.
class DocumentChecker : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return addValue();
    }
    bool boolean(bool /*value*/) override
    {
        return addValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return addValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return addValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return addValue();
    }
    bool string(string_t & /*value*/) override
    {
        return addValue();
    }
    bool binary(binary_t & /*value*/) override
    {
        return addValue();
    }
    bool start_object(std::size_t /*size*/) override
    {
        return addValue();
    }
    bool key(string_t & /*name*/) override
    {
        return true;
    }
    bool end_object() override
    {
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        return addValue();
    }
    bool end_array() override
    {
        return true;
    }
    bool parse_error(std::size_t /*position*/,
                     const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool addValue()
    {
        return ++values_ <= MaxValues;
    }

    std::size_t values_ = 0;
};

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
    // A value takes up to 75 times as much memory as its text, so a few MiB would exceed the limit of a process.
    if (body.size() > SmallBody) {
        DocumentChecker checker;
        if (!Json::sax_parse(body, &checker)) {
            throw FormatError("the body is no JSON document or has too many values");
        }
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
