#pragma once

#include <string_view>

namespace yuccawheel::base
{

/// Returns whether a text can be parsed as JSON without taking much memory: a large one must be valid and have at most
/// 500,000 values. Builds no document, which takes up to 75 times as much memory as the text of its values. Small texts
/// are not looked at.
bool isParsableJson(std::string_view text);

} // namespace yuccawheel::base
