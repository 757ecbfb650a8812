#pragma once

#include "settings/endpoint.h"

#include <fmt/core.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccawheel::settings
{

/// Parser of a scalar, with a description of the allowed values for error messages.
template <typename Value>
struct Rule {
    std::string allowed;
    std::function<std::optional<Value>(std::string_view)> parse;
    bool quotedAllowed = false; ///< False for numbers and booleans: a quoted YAML scalar is text.
};

Rule<std::int64_t> integerRule(std::int64_t min, std::int64_t max);
Rule<bool> booleanRule();
Rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds min, std::chrono::milliseconds max);
/// Limits and values are in MiB.
Rule<std::int64_t> memoryRule(std::int64_t minMib, std::int64_t maxMib);
/// Limits and values are in thousandths of a core.
Rule<std::int64_t> cpuRule(std::int64_t minMilli, std::int64_t maxMilli);
/// Names of clusters, zones, nodes, teams, jobs: 1 to 63 letters, digits, `-`, `_` or `.`, the first a letter or digit.
Rule<std::string> nameRule();
/// UTF-8 text.
Rule<std::string> textRule(std::size_t maxBytes);
Rule<std::string> pathRule();
/// Port 0 stands for any free port and is allowed for listeners only.
Rule<Endpoint> endpointRule(bool portZeroAllowed);

/// Accepts one of the given words.
template <typename Value>
Rule<Value> choiceRule(std::vector<std::pair<std::string, Value>> choices)
{
    std::string allowed;
    for (const auto &[word, value] : choices) {
        allowed += (allowed.empty() ? "one of " : ", ") + word;
    }
    auto parse = [choices = std::move(choices)](std::string_view text) -> std::optional<Value> {
        for (const auto &[word, value] : choices) {
            if (word == text) {
                return value;
            }
        }
        return std::nullopt;
    };
    return {std::move(allowed), std::move(parse), true};
}

} // namespace yuccawheel::settings
