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

/// Addresses that a process listens on; each program uses those that its role needs.
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
    Endpoint address; ///< Where it takes the inner protocol.
    std::optional<Endpoint> workerAddress; ///< Schedulers only: where workers report.
};

/// Where a key stands, so that a fault seen later can still name its place.
struct KeyPosition {
    std::string key;
    std::string file;
    int line = 0;
    std::string value;
};

/// Settings of one daemon. `settingInfos` lists each key with its default, range and meaning.
struct ProcessSettings {
    std::string cluster;
    std::string zone;
    std::string node;
    base::LogLevel logLevel = base::LogLevel::Info;
    Listeners listen;
    std::vector<Peer> stores;
    std::vector<Peer> entries;
    std::vector<Peer> schedulers;
    std::vector<Endpoint> seeds; ///< Managers to begin with; their inner port is this process's.
    bool newCluster = false;
    std::int64_t toleratedLosses = 1;
    std::optional<Endpoint> eligibilityService;
    std::string tokenFile;
    std::string dataDir;
    placement::Objective objective = placement::Objective::Packing;
    std::chrono::milliseconds heartbeat{0};
    std::chrono::milliseconds peerTimeoutMin{0};
    std::chrono::milliseconds peerTimeoutMax{0};
    std::chrono::milliseconds lease{0};
    std::chrono::milliseconds workerLease{0};
    std::chrono::milliseconds drainDelay{0};
    std::chrono::milliseconds drainLimit{0};
    std::chrono::milliseconds requestTimeout{0};
    std::vector<KeyPosition> positions;
};

/// One row of the settings page.
struct SettingInfo {
    std::string key;
    std::string defaultValue; ///< Empty if the key has none.
    std::string allowed;
    std::string requiredBy; ///< Programs that refuse to start without it, or empty.
    std::string description;
};

/// Reads and checks a settings file, and the file that it includes. Reports every fault found.
tl::expected<ProcessSettings, Problems> loadProcessSettings(const std::string &file, Program program);

/// Returns a problem at the place of a key, for faults that show only when the value is used.
Problem problemAt(const ProcessSettings &settings, std::string_view key, std::string allowed);

/// Checks what depends on this VM: each listener can be bound, the token file is the owner's alone, and the data folder
/// can be written to.
Problems checkOnThisVm(const ProcessSettings &settings);

/// Returns a row for each key, in the order of the settings page.
std::vector<SettingInfo> settingInfos();

} // namespace yuccawheel::settings
