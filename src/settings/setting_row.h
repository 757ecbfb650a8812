#pragma once

#include "settings/process_settings.h"
#include "settings/reader.h"

#include <functional>
#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// A setting: its description and the function that reads it into a struct.
template <typename Target>
struct SettingRow {
    SettingInfo info;
    std::vector<Program> requiredBy;
    std::function<void(Reader &reader, const std::string &key, Target &target)> read;
};

/// Returns a setting that holds one scalar. If its default value is empty, an absent key leaves the target unchanged.
template <typename Target, typename Value, typename Access>
SettingRow<Target> scalarRow(SettingInfo info, const Rule<Value> &rule, std::vector<Program> requiredBy, Access access)
{
    auto read =
        [rule, defaultValue = info.defaultValue, access](Reader &reader, const std::string &key, Target &target) {
            auto value = reader.read(key, rule);
            if (!value && !defaultValue.empty()) {
                value = rule.parse(defaultValue);
            }
            if (value) {
                std::invoke(access, target) = std::move(*value);
            }
        };
    return {std::move(info), std::move(requiredBy), std::move(read)};
}

} // namespace yuccawheel::settings
