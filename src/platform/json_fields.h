#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace yuccawheel::platform
{

using Json = nlohmann::json;

/// Returns the text of a value. Bytes that are not UTF-8 are replaced; Json::dump() would throw.
std::string encodeJson(const Json &value);

/// Thrown for a body that does not match the platform's API description.
class FormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses a body as a JSON object. Throws FormatError if it is anything else.
Json parseObject(std::string_view body);

/// Typed access to the fields of an object; a field of another type throws FormatError. The platform omits fields that
/// are 0, false or empty, so each function has a default value for an absent field.
std::string textField(const Json &object, const char *name, const std::string &defaultValue = {});
std::int64_t integerField(const Json &object, const char *name, std::int64_t defaultValue = 0);
double numberField(const Json &object, const char *name, double defaultValue = 0);
bool flagField(const Json &object, const char *name);
/// Returns an empty array if the field is absent.
const Json &arrayField(const Json &object, const char *name);
/// Throws FormatError if the field is absent.
const Json &requiredField(const Json &object, const char *name);
/// An integer from 0 to 2^32 - 1.
std::uint32_t countField(const Json &object, const char *name, std::uint32_t defaultValue = 0);
/// A time in milliseconds from 0 to a year. Sums of such times don't overflow.
std::chrono::milliseconds durationField(const Json &object, const char *name);
/// A time in milliseconds since the Unix epoch, up to the year 2100. Without an upper bound, one malformed start time
/// would count as the latest incarnation of its worker for ever.
std::chrono::milliseconds timeField(const Json &object, const char *name);

} // namespace yuccawheel::platform
