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

/// Settings of the operators' command line. Options of the command line go before them.
struct ClientSettings {
    std::vector<Endpoint> entries; ///< Operator addresses, tried in this order.
    std::string tokenFile;
    std::string stateDir; ///< Empty: unacknowledged submissions are kept beside the document.
    std::chrono::milliseconds timeout{0}; ///< For one entry's answer.
};

/// Returns the defaults.
ClientSettings defaultClientSettings();
/// Reads and checks a settings file. Reports every fault found.
tl::expected<ClientSettings, Problems> loadClientSettings(const std::string &file);
/// Returns a row for each key.
std::vector<SettingInfo> clientSettingInfos();

} // namespace yuccawheel::settings
