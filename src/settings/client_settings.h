#pragma once

#include "settings/endpoint.h"
#include "settings/problem.h"
#include "settings/process_settings.h"

#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// Settings of yuccactl. Command line options override them.
struct ClientSettings {
    std::vector<Endpoint> entries; ///< Operator addresses, tried in this order.
    std::string tokenFile;
    std::string stateDir; ///< If empty, unacknowledged submissions are kept beside the document.
    std::chrono::milliseconds timeout{0}; ///< Maximum time to wait for the answer of one entry.
};

/// Returns the settings that apply without a settings file.
ClientSettings defaultClientSettings();
/// Reads and checks a settings file. The error lists all problems found.
tl::expected<ClientSettings, Problems> loadClientSettings(const std::string &file);
/// Returns a description of each key.
std::vector<SettingInfo> clientSettingInfos();

} // namespace yuccawheel::settings
