#pragma once

#include "workflow/worker.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace yuccawheel::workflow
{

/// Learns how fast each worker is from the run times of tasks that ended as done. Callers' estimates of run times are
/// rough, but alike on all workers, so each worker is compared with all of them together.
/// Load pattern: workers of different speeds under tasks of which some have hardly more time than they take.
class PaceBook
{
public:
    void learn(WorkerNumber worker, std::chrono::milliseconds estimated, std::chrono::milliseconds taken);
    void forget(WorkerNumber worker);
    /// Returns how much longer tasks take there than on average; 1 while little is known.
    double slowness(WorkerNumber worker) const;
    /// Returns how long a task should take at most, on any sound worker.
    std::chrono::milliseconds longest(std::chrono::milliseconds estimated) const;

private:
    struct Average {
        double value = 1;
        std::uint32_t samples = 0;

        void add(double sample, double weight);
    };

    Average all_;
    std::unordered_map<WorkerNumber, Average> workers_;
};

/// What a task's time allows in the choice of its worker.
enum class Hurry : std::uint8_t {
    None, ///< It leaves the fast workers to others.
    Some,
    Much, ///< It needs a fast worker.
};

} // namespace yuccawheel::workflow
