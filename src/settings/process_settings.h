#pragma once

#include "base/log.h"
#include "placement/planner.h"
#include "settings/endpoint.h"
#include "settings/problem.h"

#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::settings
{

enum class Program : std::uint8_t { Entry, Scheduler, Store, Manager, Gateway };

/// Addresses that a process listens on. Each program uses only those that its role needs.
struct Listeners {
    std::optional<Endpoint> caller;
    std::optional<Endpoint> operators;
    std::optional<Endpoint> upstream;
    std::optional<Endpoint> worker;
    std::optional<Endpoint> inner;
    std::optional<Endpoint> health;
    std::optional<Endpoint> control;
};

/// Another process of the cluster.
struct Peer {
    std::string node;
    std::string zone;
    Endpoint address; ///< Its listener of the inner protocol.
    std::optional<Endpoint> workerAddress; ///< Its listener for workers; schedulers only.
};

/// Position of a key, so that a problem detected after loading can name its file and line.
struct KeyPosition {
    std::string key;
    std::string file;
    int line = 0;
    std::string value;
};

/// Settings of one daemon. `settingInfos` describes each key.
struct ProcessSettings {
    std::string cluster;
    std::string zone;
    std::string node;
    base::LogLevel logLevel = base::LogLevel::Info;
    Listeners listen;
    std::vector<Peer> stores;
    std::vector<Peer> entries;
    std::vector<Peer> schedulers;
    std::vector<Endpoint> seeds; ///< Some managers, for discovery of the others; only the IP addresses are used.
    bool newCluster = false;
    std::int64_t toleratedLosses = 1;
    std::optional<Endpoint> eligibilityService;
    std::string tokenFile;
    std::string dataDir;
    std::optional<std::int64_t> maxOpenFiles;
    placement::Objective objective = placement::Objective::Packing;
    std::chrono::milliseconds heartbeat{0};
    std::chrono::milliseconds peerTimeoutMin{0};
    std::chrono::milliseconds peerTimeoutMax{0};
    std::chrono::milliseconds lease{0};
    std::chrono::milliseconds workerLease{0};
    std::chrono::milliseconds gangTimeout{0};
    std::chrono::milliseconds drainDelay{0};
    std::chrono::milliseconds drainLimit{0};
    std::chrono::milliseconds requestTimeout{0};
    std::vector<KeyPosition> positions;
};

/// Description of a setting; a row of the settings page.
struct SettingInfo {
    std::string key;
    std::string defaultValue; ///< Empty if there is none.
    std::string allowed;
    std::string requiredBy; ///< Programs that don't start without the setting; may be empty.
    std::string description;
};

/// Reads and checks a settings file and the file that it includes. The error lists all problems found.
tl::expected<ProcessSettings, Problems> loadProcessSettings(const std::string &file, Program program);

/// Returns a problem at the position of a key, for values that turn out to be unusable after loading.
Problem problemAt(const ProcessSettings &settings, std::string_view key, std::string allowed);

/// Checks the settings that depend on this VM: whether each listener's address can be bound, only its owner can access
/// the token file, and the data folder is writable.
Problems checkOnThisVm(const ProcessSettings &settings);

/// Returns a description of each key, in the order of the settings page.
std::vector<SettingInfo> settingInfos();

} // namespace yuccawheel::settings
