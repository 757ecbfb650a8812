#include "state.h"

#include "base/invariant.h"
#include "coordination/file_log_storage.h"
#include "fakes/fake_cluster.h"
#include "protocol/frame.h"
#include "state_replicas.h"
#include "store/replication_codec.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <string>
#include <unistd.h>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using namespace coordination;
using namespace std::chrono_literals;
using fakes::FakeCluster;

constexpr int ExitUsage = 2;
constexpr std::size_t RecoveredEntryBytes = 100;
constexpr std::size_t EntriesPerSync = 1000;

struct ElectionResult {
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
};

struct RecoveryResult {
    std::uint64_t entries = 0;
    double seconds = 0;
    double fileMb = 0;
    double residentMb = 0; ///< Growth of the resident set by the recovered log.
};

struct IdleResult {
    double messagesPerSecond = 0; ///< Sum over all replicas.
    double bytesPerSecond = 0; ///< Sum of the frame sizes over all replicas.
};

double residentMb()
{
    long size = 0;
    long resident = 0;
    if (std::FILE *file = std::fopen("/proc/self/statm", "r")) {
        if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) { // NOLINT(cert-err34-c)
            resident = 0;
        }
        std::fclose(file);
    }
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

// Kills the leader at a varying point of its heartbeat interval and measures the time until another replica leads.
ElectionResult measureElections(std::uint64_t runs)
{
    std::vector<double> times;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        FakeCluster cluster({3, seed});
        YW_INVARIANT(cluster.runUntil([&] { return cluster.leader() != 0; }, 30s), "a leader is elected");
        cluster.run(std::chrono::milliseconds(1000 + seed % 200));
        const std::uint32_t old = cluster.leader();
        cluster.kill(old);
        const base::TimePoint killed = cluster.now();
        YW_INVARIANT(cluster.runUntil([&] { return cluster.leader() != 0; }, 30s), "a leader is elected");
        times.push_back(std::chrono::duration<double, std::milli>(cluster.now() - killed).count());
    }
    std::sort(times.begin(), times.end());
    return ElectionResult{times[times.size() / 2], times[times.size() * 99 / 100], times.back()};
}

IdleResult measureIdle()
{
    constexpr std::chrono::seconds Length{60};
    FakeCluster cluster({3, 1});
    YW_INVARIANT(cluster.runUntil([&] { return cluster.leader() != 0; }, 30s), "a leader is elected");
    cluster.run(1s);
    cluster.network().countBytes(
        [](const Message &message) { return protocol::FrameHeaderBytes + store::encodeReplication(message).size(); });
    const std::uint64_t before = cluster.network().sent();
    cluster.run(Length);
    const auto sent = static_cast<double>(cluster.network().sent() - before);
    const auto bytes = static_cast<double>(cluster.network().sentBytes());
    const auto seconds = static_cast<double>(Length.count());
    return IdleResult{sent / seconds, bytes / seconds};
}

// Recovers a log without a snapshot, so that every entry is read: the worst case, which snapshots avoid in production.
RecoveryResult measureRecovery(const std::string &folder, std::uint64_t entries)
{
    RecoveryResult result;
    result.entries = entries;
    {
        const auto files = openFolder(folder);
        YW_INVARIANT(files.has_value(), "the log folder can be opened");
        FileLogStorage storage(**files);
        YW_INVARIANT(storage.recover().has_value(), "an empty folder is recovered");
        std::vector<Entry> batch;
        for (Index index = 1; index <= entries; ++index) {
            batch.push_back(Entry{index, 1, EntryKind::Application, std::string(RecoveredEntryBytes, 'e')});
            if (batch.size() == EntriesPerSync || index == entries) {
                YW_INVARIANT(storage.save(HardState{1, {1, 1}, 1, {}}, batch).has_value(), "the entries are saved");
                batch.clear();
            }
        }
    }
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        result.fileMb += static_cast<double>(file.file_size()) / (1024 * 1024);
    }
    const double residentBefore = residentMb();
    const base::TimePoint start = base::BootClock::now();
    {
        const auto files = openFolder(folder);
        FileLogStorage storage(**files);
        auto state = storage.recover();
        YW_INVARIANT(state.has_value() && state->entries.size() == entries, "all entries are recovered");
        const ReplicatedLog log({.self = {1, 1}, .nodes = {}}, std::move(*state), storage, base::BootClock::now());
        result.seconds = std::chrono::duration<double>(base::BootClock::now() - start).count();
        result.residentMb = residentMb() - residentBefore;
    }
    std::filesystem::remove_all(folder);
    return result;
}

struct StateResult {
    std::array<std::size_t, 3> outstanding{1, 16, 256};
    std::array<AppendResult, 3> appends;
    ElectionResult election;
    IdleResult idle;
    std::vector<RecoveryResult> recoveries;
};

void printJson(const StateResult &result)
{
    fmt::print("{{\n  \"appends\": [");
    for (std::size_t i = 0; i < result.appends.size(); ++i) {
        const AppendResult &append = result.appends[i];
        fmt::print("{}\n    {{\"outstanding\": {}, \"entries_per_second\": {:.0f}, \"ack_p50_us\": {:.0f}, "
                   "\"ack_p99_us\": {:.0f}, \"acknowledged\": {}}}",
                   i == 0 ? "" : ",",
                   result.outstanding[i],
                   append.entriesPerSecond,
                   append.p50Us,
                   append.p99Us,
                   append.acknowledged);
    }
    fmt::print("\n  ],\n  \"new_leader_ms\": {{\"p50\": {:.0f}, \"p99\": {:.0f}, \"max\": {:.0f}}},\n",
               result.election.p50Ms,
               result.election.p99Ms,
               result.election.maxMs);
    fmt::print("  \"idle_messages_per_second\": {:.1f},\n  \"idle_bytes_per_second\": {:.0f},\n  \"recoveries\": [",
               result.idle.messagesPerSecond,
               result.idle.bytesPerSecond);
    for (std::size_t i = 0; i < result.recoveries.size(); ++i) {
        const RecoveryResult &recovery = result.recoveries[i];
        fmt::print("{}\n    {{\"entries\": {}, \"seconds\": {:.3f}, \"file_mb\": {:.1f}, \"resident_mb\": {:.1f}}}",
                   i == 0 ? "" : ",",
                   recovery.entries,
                   recovery.seconds,
                   recovery.fileMb,
                   recovery.residentMb);
    }
    fmt::print("\n  ]\n}}\n");
}

void printText(const StateResult &result)
{
    for (std::size_t i = 0; i < result.appends.size(); ++i) {
        const AppendResult &append = result.appends[i];
        fmt::print("{:>4} outstanding: {:.0f} entries/s, acknowledged in {:.0f} us (p50), {:.0f} us (p99)\n",
                   result.outstanding[i],
                   append.entriesPerSecond,
                   append.p50Us,
                   append.p99Us);
    }
    fmt::print("new leader after {:.0f} ms (p50), {:.0f} ms (p99), {:.0f} ms (max)\n",
               result.election.p50Ms,
               result.election.p99Ms,
               result.election.maxMs);
    fmt::print("idle: {:.1f} messages/s and {:.0f} bytes/s in all\n",
               result.idle.messagesPerSecond,
               result.idle.bytesPerSecond);
    for (const RecoveryResult &recovery : result.recoveries) {
        fmt::print("{} entries recovered in {:.3f} s, {:.1f} MB on disk, {:.1f} MB in memory\n",
                   recovery.entries,
                   recovery.seconds,
                   recovery.fileMb,
                   recovery.residentMb);
    }
}

} // namespace

int runState(int argc, char **argv)
{
    cxxopts::Options options("yw-bench state", "measure the replicated log");
    auto add = options.add_options();
    add("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("folder", "folder on the disk to measure", cxxopts::value<std::string>()->default_value("."));
    add("seconds", "length of each append measurement", cxxopts::value<std::string>()->default_value("3"));
    add("elections", "number of leaders to kill", cxxopts::value<std::string>()->default_value("1000"));
    add("entries", "largest log to recover", cxxopts::value<std::string>()->default_value("1000000"));
    std::string folder;
    StateResult result;
    try {
        const auto parsed = options.parse(argc, argv);
        folder = fmt::format("{}/yw-bench-state-{}", parsed["folder"].as<std::string>(), ::getpid());
        for (std::size_t i = 0; i < result.appends.size(); ++i) {
            const std::chrono::seconds duration(std::stoul(parsed["seconds"].as<std::string>()));
            result.appends[i] = measureAppends({folder, result.outstanding[i], 200, duration});
        }
        result.election =
            measureElections(std::max<std::uint64_t>(1, std::stoul(parsed["elections"].as<std::string>())));
        result.idle = measureIdle();
        const std::uint64_t largest = std::stoull(parsed["entries"].as<std::string>());
        for (const std::uint64_t entries : {std::min<std::uint64_t>(10'000, largest), largest}) {
            result.recoveries.push_back(measureRecovery(folder, entries));
        }
        if (parsed["format"].as<std::string>() == "json") {
            printJson(result);
        } else {
            printText(result);
        }
    } catch (const std::exception &error) {
        fmt::print(stderr, "yw-bench state: {}\n", error.what());
        return ExitUsage;
    }
    return 0;
}

} // namespace yuccawheel::bench
