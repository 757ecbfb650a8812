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

constexpr std::size_t MaxStores = 7;
constexpr std::size_t MaxPeers = 64;

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
                 std::chrono::milliseconds min,
                 std::chrono::milliseconds max,
                 Access access,
                 const std::string &description)
{
    return scalar(key, defaultValue, durationRule(min, max), {}, access, description);
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
    reader.reportUnknownKeys();
    return peer;
}

template <typename Access>
Setting peers(const std::string &key,
              std::size_t maxCount,
              std::vector<Program> requiredBy,
              Access access,
              const std::string &description)
{
    const bool isScheduler = key == "schedulers";
    auto read = [=](Reader &reader, const std::string &name, ProcessSettings &settings) {
        for (Reader &element : reader.children(name, maxCount)) {
            std::invoke(access, settings).push_back(readPeer(element, isScheduler));
        }
    };
    const std::string allowed =
        fmt::format("a list of at most {} with node, zone, address{}", maxCount, isScheduler ? ", worker_address" : "");
    return {{key, "", allowed, programNames(requiredBy), description}, requiredBy, std::move(read)};
}

const std::vector<Program> AllDaemons{
    Program::Entry, Program::Scheduler, Program::Store, Program::Manager, Program::Gateway};
const std::vector<Program> ZoneDaemons{Program::Entry, Program::Scheduler, Program::Store};
const std::vector<Program> CalledWorkerDaemons{Program::Manager, Program::Gateway};

Setting seedsSetting()
{
    const std::string allowed = fmt::format("a list of at most {} addresses", MaxStores);
    auto read = [](Reader &reader, const std::string &name, ProcessSettings &settings) {
        settings.seeds = reader.list(name, endpointRule(false), MaxStores);
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
               AllDaemons,
               &ProcessSettings::cluster,
               "Name of the cluster. Processes of another cluster are refused."),
        scalar("zone", "", nameRule(), AllDaemons, &ProcessSettings::zone, "Availability zone of this process."),
        scalar("node",
               "",
               nameRule(),
               AllDaemons,
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
               "Minimum level of the log lines that are written to standard output."),
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
        listener("inner", AllDaemons, &Listeners::inner, "Where the cluster's own processes connect."),
        listener("health", ZoneDaemons, &Listeners::health, "Serves `/healthz`, `/readyz` and `/metrics`."),
        listener("control",
                 {Program::Manager},
                 &Listeners::control,
                 "Where called workers report and operators of queues connect, over HTTP."),
        seedsSetting(),
        peers("stores",
              MaxStores,
              ZoneDaemons,
              &ProcessSettings::stores,
              "The store processes, which replicate the agreed log."),
        peers("entries",
              MaxPeers,
              {Program::Entry, Program::Scheduler},
              &ProcessSettings::entries,
              "The entry processes."),
        peers("schedulers",
              MaxPeers,
              {Program::Entry, Program::Scheduler},
              &ProcessSettings::schedulers,
              "The scheduler processes. In each zone, one of them at a time owns the zone's workers."),
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
               "File with the operators' token; only its owner may have access. Read again when it changes."),
        scalar("data_dir",
               "",
               pathRule(),
               {Program::Store, Program::Manager},
               &ProcessSettings::dataDir,
               "Folder on a disk of this VM. All files of the process live below it."),
        scalar("max_open_files",
               "",
               integerRule(256, 1'000'000),
               {},
               &ProcessSettings::maxOpenFiles,
               "Number of files and connections that managers and gateways may have open; they accept and open no more "
               "connections than leave a reserve. If it is not set or higher, the limit of the process "
               "(`RLIMIT_NOFILE`) counts."),
        scalar("objective",
               "packing",
               choiceRule<Objective>({{"waiting", Objective::Waiting}, {"packing", Objective::Packing}}),
               {},
               &ProcessSettings::objective,
               "What placement optimizes first: waiting time, or how full the busy VMs are."),
        scalar("new_cluster",
               "false",
               booleanRule(),
               {},
               &ProcessSettings::newCluster,
               "Whether a manager that is one of the seeds creates a new log if its disk is empty. Set it to true only "
               "for "
               "the first start of the whole system."),
        scalar("tolerated_losses",
               "1",
               integerRule(0, 3),
               {},
               &ProcessSettings::toleratedLosses,
               "Number of managers that may be lost at the same time; determines the number of voters of their log."),
        scalar("eligibility_service",
               "",
               endpointRule(false),
               {},
               &ProcessSettings::eligibilityService,
               "Service that decides which workers may run a step; queried by gateways."),
        duration("worker_lease",
                 "10s",
                 1s,
                 1min,
                 &ProcessSettings::workerLease,
                 "Maximum lease that called workers grant. If it is not renewed, they end the tasks that they run."),
        duration("gang_timeout",
                 "3s",
                 500ms,
                 1min,
                 &ProcessSettings::gangTimeout,
                 "How long the tasks of a gang wait on called workers for the others. A gang of which a task hasn't "
                 "started after 0.4 of it is stopped and placed again."),
        duration(
            "heartbeat", "500ms", 50ms, 10s, &ProcessSettings::heartbeat, "Interval between heartbeats to a peer."),
        duration(
            "peer_timeout_min",
            "1500ms",
            150ms,
            1min,
            &ProcessSettings::peerTimeoutMin,
            "Lower limit of the time without heartbeats after which a peer is considered failed, however regular its "
            "heartbeats are. At least three heartbeats."),
        duration(
            "peer_timeout_max",
            "5s",
            150ms,
            1min,
            &ProcessSettings::peerTimeoutMax,
            "Upper limit of the time without heartbeats after which a peer is considered failed, however irregular its "
            "heartbeats are. At least peer_timeout_min."),
        duration("lease",
                 "10s",
                 1s,
                 10min,
                 &ProcessSettings::lease,
                 "Duration of the lease on the ownership of a zone, and of the lease that each worker grants the "
                 "owner, from "
                 "the last renewal. At least four heartbeats."),
        duration(
            "drain_delay",
            "5s",
            0s,
            10min,
            &ProcessSettings::drainDelay,
            "How long a process that shuts down keeps accepting requests, until load balancers stop sending them."),
        duration("drain_limit",
                 "30s",
                 0s,
                 1h,
                 &ProcessSettings::drainLimit,
                 "Time limit for requests in progress after drain_delay. Those that remain shortly before it get an "
                 "answer that says what is known of them."),
        duration("request_timeout",
                 "15s",
                 10ms,
                 1h,
                 &ProcessSettings::requestTimeout,
                 "Timeout of a caller's request if the caller sets none. "
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
        section.reportUnknownKeys();
    }
    root.reportUnknownKeys();
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
