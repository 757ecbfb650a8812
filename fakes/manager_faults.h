#pragma once

#include "fakes/manager_cluster.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

enum class FaultKind : std::uint8_t {
    Kill,
    LosePower,
    LoseAllPower,
    LoseDisks, ///< As many as may be lost at one moment; the other managers lose power then.
    Pause,
    StallDisk,
    FillDisk,
    KillDuringWrite,
    HandOver,
    RefuseProposals,
    CutManagers, ///< One manager from the others.
    CutManagersOneWay,
    LoseMessages, ///< Between managers; some are duplicated or late.
    CutWorkers, ///< A share of the workers from all managers.
    LoseAnswers, ///< Of a share of the workers.
    CutLinks, ///< One manager from a share of the workers.
    LateOrders,
    CrashWorkers,
    RestartWorkers,
    MoveWorkers, ///< Restart at another address.
    DrainWorkers, ///< Until they restart or leave.
    ShrinkWorkers,
    ChangeConfiguration,
    CancelJobs,
};
std::string_view toString(FaultKind kind);

struct Fault {
    std::size_t number = 0; ///< Among the faults of its run as drawn.
    FaultKind kind = FaultKind::Kill;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds length{0};
    std::uint32_t target = 0; ///< Picks a manager or the first worker.
    double share = 0;
};
std::string describe(const Fault &fault);

/// A run of a ManagerCluster under faults that overlap, drawn from a seed.
struct ManagerRun {
    std::uint64_t seed = 1;
    std::uint32_t managers = 3;
    std::uint32_t spares = 0;
    std::uint32_t workers = 8;
    std::chrono::milliseconds length{60'000}; ///< Of the load and the faults.
    std::vector<Fault> faults;
};

struct ManagerRunResult {
    std::optional<std::string> failure;
    std::chrono::milliseconds virtualTime{0};
    std::size_t jobs = 0;
    std::uint64_t starts = 0;
    std::uint64_t membersAlone = 0;
    std::uint64_t refusedProposals = 0;
};

ManagerRun drawRun(std::uint64_t seed);
/// Plays a run. A broken guarantee that workers or callers see at once ends the process.
ManagerRunResult play(const ManagerRun &run);

} // namespace yuccawheel::fakes
