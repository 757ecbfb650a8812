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

/// What one scalar may hold: the parser, and the words that tell an operator what is allowed.
template <typename Value>
struct Rule {
    std::string allowed;
    std::function<std::optional<Value>(std::string_view)> parse;
    bool quotedAllowed = false; ///< Quoted scalars are text, never numbers.
};

Rule<std::int64_t> integerRule(std::int64_t lowest, std::int64_t highest);
Rule<bool> booleanRule();
Rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds lowest, std::chrono::milliseconds highest);
/// Amounts in MiB.
Rule<std::int64_t> memoryRule(std::int64_t lowestMib, std::int64_t highestMib);
/// Amounts in thousandths of a core.
Rule<std::int64_t> cpuRule(std::int64_t lowestMilli, std::int64_t highestMilli);
/// Names of clusters, zones, nodes, teams, jobs: 1 to 63 letters, digits, `-`, `_` or `.`, the first a letter or digit.
Rule<std::string> nameRule();
/// Any text up to a length in bytes.
Rule<std::string> textRule(std::size_t longest);
Rule<std::string> pathRule();
/// Port 0 stands for any free port, and only listeners may ask for it.
Rule<Endpoint> endpointRule(bool portZeroAllowed);

/// One of a few words.
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
