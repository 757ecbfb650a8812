#pragma once

#include <nlohmann/json.hpp>

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

/// A body that is not what the platform's pages describe.
class FormatError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses a body that must be one JSON object. Throws FormatError.
Json parseObject(std::string_view body);

/// Typed access to the fields of an object; a field of another type throws FormatError. The platform leaves out fields
/// that are 0, false or empty, so that each read names the value of an absent one.
std::string textField(const Json &object, const char *name, const std::string &absent = {});
std::int64_t integerField(const Json &object, const char *name, std::int64_t absent = 0);
double numberField(const Json &object, const char *name, double absent = 0);
bool flagField(const Json &object, const char *name);
/// Returns an empty array if the field is absent.
const Json &arrayField(const Json &object, const char *name);
/// Throws FormatError if the field is absent.
const Json &requiredField(const Json &object, const char *name);
/// An integer from 0 to the largest of 32 bits.
std::uint32_t countField(const Json &object, const char *name, std::uint32_t absent = 0);

} // namespace yuccawheel::platform
