#include "settings/setting_table.h"

#include "settings/setting_row.h"
#include "settings/units.h"

#include <fmt/core.h>

#include <algorithm>
#include <map>

namespace yuccawheel::settings
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MostStores = 7;
constexpr std::size_t MostPeers = 64;

std::string_view programName(Program program)
{
    switch (program) {
    case Program::Entry:
        return "yw-entry";
    case Program::Scheduler:
        return "yw-scheduler";
    case Program::Store:
        return "yw-store";
    case Program::Manager:
        return "yw-manager";
    case Program::Gateway:
        return "yw-gateway";
    }
    return "";
}

std::string programNames(const std::vector<Program> &programs)
{
    std::string names;
    for (const Program program : programs) {
        names += (names.empty() ? "" : ", ") + std::string(programName(program));
    }
    return names;
}

using Setting = SettingRow<ProcessSettings>;

template <typename Value, typename Access>
Setting scalar(const std::string &key,
               const std::string &defaultValue,
               const Rule<Value> &rule,
               std::vector<Program> requiredBy,
               Access access,
               const std::string &description)
{
    SettingInfo info{key, defaultValue, rule.allowed, programNames(requiredBy), description};
    return scalarRow<ProcessSettings>(std::move(info), rule, std::move(requiredBy), access);
}

template <typename Access>
Setting duration(const std::string &key,
                 const std::string &defaultValue,
                 std::chrono::milliseconds lowest,
                 std::chrono::milliseconds highest,
                 Access access,
                 const std::string &description)
{
    return scalar(key, defaultValue, durationRule(lowest, highest), {}, access, description);
}

Setting listener(const std::string &name,
                 std::vector<Program> requiredBy,
                 std::optional<Endpoint> Listeners::*field,
                 const std::string &description)
{
    const auto access = [field](ProcessSettings & settings) -> auto &
    {
        return settings.listen.*field;
    };
    return scalar("listen." + name, "", endpointRule(true), std::move(requiredBy), access, description);
}

Peer readPeer(Reader &reader, bool isScheduler)
{
    Peer peer;
    peer.node = reader.require("node", nameRule()).value_or("");
    peer.zone = reader.require("zone", nameRule()).value_or("");
    peer.address = reader.require("address", endpointRule(false)).value_or(Endpoint{});
    if (isScheduler) {
        peer.workerAddress = reader.require("worker_address", endpointRule(false));
    }
    reader.finish();
    return peer;
}

template <typename Access>
Setting peers(const std::string &key,
              std::size_t most,
              std::vector<Program> requiredBy,
              Access access,
              const std::string &description)
{
    const bool isScheduler = key == "schedulers";
    auto read = [=](Reader &reader, const std::string &name, ProcessSettings &settings) {
        for (Reader &element : reader.children(name, most)) {
            std::invoke(access, settings).push_back(readPeer(element, isScheduler));
        }
    };
    const std::string allowed =
        fmt::format("a list of at most {} with node, zone, address{}", most, isScheduler ? ", worker_address" : "");
    return {{key, "", allowed, programNames(requiredBy), description}, requiredBy, std::move(read)};
}

const std::vector<Program> Everyone{
    Program::Entry, Program::Scheduler, Program::Store, Program::Manager, Program::Gateway};
const std::vector<Program> ZoneDaemons{Program::Entry, Program::Scheduler, Program::Store};
const std::vector<Program> CalledWorkerDaemons{Program::Manager, Program::Gateway};

Setting seedsSetting()
{
    const std::string allowed = fmt::format("a list of at most {} addresses", MostStores);
    auto read = [](Reader &reader, const std::string &name, ProcessSettings &settings) {
        settings.seeds = reader.list(name, endpointRule(false), MostStores);
    };
    return {{"seeds",
             "",
             allowed,
             programNames(CalledWorkerDaemons),
             "Addresses of some managers, to find all of them. Only the IP numbers count: managers take the inner "
             "protocol at the port of `listen.inner`."},
            CalledWorkerDaemons,
            std::move(read)};
}

std::vector<Setting> identitySettings()
{
    using base::LogLevel;
    return {
        scalar("cluster",
               "",
               nameRule(),
               Everyone,
               &ProcessSettings::cluster,
               "Name of the cluster. Processes of another cluster are refused."),
        scalar("zone", "", nameRule(), Everyone, &ProcessSettings::zone, "Availability zone of this process."),
        scalar("node",
               "",
               nameRule(),
               Everyone,
               &ProcessSettings::node,
               "Name of the VM that this process runs on; unique among the processes of its role."),
        scalar("log_level",
               "info",
               choiceRule<LogLevel>({{"debug", LogLevel::Debug},
                                     {"info", LogLevel::Info},
                                     {"warning", LogLevel::Warning},
                                     {"error", LogLevel::Error}}),
               {},
               &ProcessSettings::logLevel,
               "Lowest level of the log lines that are written to standard output."),
    };
}

std::vector<Setting> addressSettings()
{
    return {
        listener("caller",
                 {Program::Entry, Program::Gateway},
                 &Listeners::caller,
                 "Where callers send requests, over HTTP."),
        listener("operator",
                 {Program::Entry},
                 &Listeners::operators,
                 "Where operators and `yuccactl` connect, over HTTP with a token."),
        listener("upstream", {Program::Entry}, &Listeners::upstream, "Where upstreams announce themselves."),
        listener("worker", {Program::Scheduler}, &Listeners::worker, "Where workers announce themselves."),
        listener("inner", Everyone, &Listeners::inner, "Where the cluster's own processes connect."),
        listener("health", ZoneDaemons, &Listeners::health, "Serves `/healthz`, `/readyz` and `/metrics`."),
        listener("control",
                 {Program::Manager},
                 &Listeners::control,
                 "Where called workers report and operators of queues connect, over HTTP."),
        seedsSetting(),
        peers("stores", MostStores, ZoneDaemons, &ProcessSettings::stores, "Replicas of the agreed log."),
        peers("entries",
              MostPeers,
              {Program::Entry, Program::Scheduler},
              &ProcessSettings::entries,
              "The entry processes."),
        peers("schedulers",
              MostPeers,
              {Program::Entry, Program::Scheduler},
              &ProcessSettings::schedulers,
              "The scheduler processes; one of each zone's owns its workers at a time."),
    };
}

std::vector<Setting> behaviourSettings()
{
    using placement::Objective;
    return {
        scalar("token_file",
               "",
               pathRule(),
               {Program::Entry},
               &ProcessSettings::tokenFile,
               "File of the operators' token, readable by its owner only. Read again when it changes."),
        scalar("data_dir",
               "",
               pathRule(),
               {Program::Store, Program::Manager},
               &ProcessSettings::dataDir,
               "Folder on a disk of this VM. All files of the process live below it."),
        scalar("objective",
               "packing",
               choiceRule<Objective>({{"waiting", Objective::Waiting}, {"packing", Objective::Packing}}),
               {},
               &ProcessSettings::objective,
               "What placement weighs most: waiting time, or how full the busy VMs are."),
        scalar("new_cluster",
               "false",
               booleanRule(),
               {},
               &ProcessSettings::newCluster,
               "Whether a manager that is one of the seeds forms a new log if its disk is empty. Only true when the "
               "whole system starts for the first time."),
        scalar("tolerated_losses",
               "1",
               integerRule(0, 3),
               {},
               &ProcessSettings::toleratedLosses,
               "How many managers may be lost at once; sets the number of voters of their log."),
        scalar("eligibility_service",
               "",
               endpointRule(false),
               {},
               &ProcessSettings::eligibilityService,
               "Service that knows which workers may run a step; gateways ask it."),
        duration("worker_lease",
                 "10s",
                 1s,
                 1min,
                 &ProcessSettings::workerLease,
                 "Longest lease that called workers grant; without a renewal they end what they run."),
        duration(
            "heartbeat", "500ms", 50ms, 10s, &ProcessSettings::heartbeat, "Time between two heartbeats to a peer."),
        duration("peer_timeout_min",
                 "1500ms",
                 150ms,
                 1min,
                 &ProcessSettings::peerTimeoutMin,
                 "Shortest silence after which a peer counts as failed, however regular its heartbeats are. At least "
                 "three heartbeats."),
        duration("peer_timeout_max",
                 "5s",
                 150ms,
                 1min,
                 &ProcessSettings::peerTimeoutMax,
                 "Longest silence that a peer is allowed, however irregular its heartbeats are. At least "
                 "peer_timeout_min."),
        duration("lease",
                 "10s",
                 1s,
                 10min,
                 &ProcessSettings::lease,
                 "How long ownership of a zone, and each worker's grant to the owner, lasts after its renewal. At "
                 "least four heartbeats."),
        duration("drain_delay",
                 "5s",
                 0s,
                 10min,
                 &ProcessSettings::drainDelay,
                 "How long a leaving process goes on accepting while the balancer takes notice."),
        duration("drain_limit",
                 "30s",
                 0s,
                 1h,
                 &ProcessSettings::drainLimit,
                 "How long requests in progress may take after drain_delay; then they are cut off."),
        duration("request_timeout",
                 "15s",
                 10ms,
                 1h,
                 &ProcessSettings::requestTimeout,
                 "Longest time that a caller's request may take if the caller names none. "
                 "Above 17s, a request waits before it may use a slot borrowed from another entry."),
    };
}

const std::vector<Setting> &settingTable()
{
    static const std::vector<Setting> table = [] {
        std::vector<Setting> all = identitySettings();
        for (const auto &more : {addressSettings(), behaviourSettings()}) {
            all.insert(all.end(), more.begin(), more.end());
        }
        return all;
    }();
    return table;
}

bool contains(const std::vector<Program> &programs, Program program)
{
    return std::find(programs.begin(), programs.end(), program) != programs.end();
}

void readSetting(
    const Setting &setting, const std::string &name, Reader &reader, Program program, ProcessSettings &settings)
{
    if (!reader.has(name)) {
        if (contains(setting.requiredBy, program)) {
            reader.reportMissing(name, setting.info.allowed);
        }
    } else if (reader.isScalar(name)) {
        settings.positions.push_back({setting.info.key, reader.fileOf(name), reader.lineOf(name), reader.textOf(name)});
    }
    setting.read(reader, name, settings);
}

} // namespace

void readSettings(Reader &root, Program program, ProcessSettings &settings)
{
    std::map<std::string, Reader> sections;
    for (const Setting &setting : settingTable()) {
        const auto dot = setting.info.key.find('.');
        if (dot == std::string::npos) {
            readSetting(setting, setting.info.key, root, program, settings);
            continue;
        }
        const std::string section = setting.info.key.substr(0, dot);
        auto found = sections.find(section);
        if (found == sections.end()) {
            found = sections.emplace(section, root.childOrEmpty(section)).first;
        }
        readSetting(setting, setting.info.key.substr(dot + 1), found->second, program, settings);
    }
    for (auto &[name, section] : sections) {
        section.finish();
    }
    root.finish();
}

std::vector<SettingInfo> settingInfos()
{
    std::vector<SettingInfo> infos;
    for (const Setting &setting : settingTable()) {
        infos.push_back(setting.info);
    }
    return infos;
}

} // namespace yuccawheel::settings
