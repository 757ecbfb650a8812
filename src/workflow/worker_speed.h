#pragma once

#include "workflow/worker.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace yuccawheel::workflow
{

/// Estimates the speed of each worker from the run times of completed tasks. Callers' estimates of run times are rough,
/// but equally so on all workers, so each worker is compared with the average of all.
/// Load pattern: workers of different speeds, and tasks whose objectives leave little more than their run time.
class WorkerSpeedTracker
{
public:
    void recordRunTime(WorkerNumber worker, std::chrono::milliseconds estimated, std::chrono::milliseconds taken);
    void removeWorker(WorkerNumber worker);
    /// Returns the run time on a worker relative to the average; 1 until there are enough samples.
    double slowdown(WorkerNumber worker) const;
    /// Returns the maximum run time of a task on a healthy worker.
    std::chrono::milliseconds maxRunTime(std::chrono::milliseconds estimated) const;

private:
    struct Average {
        double value = 1;
        std::uint32_t samples = 0;

        void add(double sample, double weight);
    };

    Average all_;
    std::unordered_map<WorkerNumber, Average> workers_;
};

/// Time that a job's objective leaves beyond its critical path. Decides which workers its tasks prefer.
enum class Slack : std::uint8_t {
    Ample, ///< Leaves fast workers to other jobs.
    Moderate,
    Tight, ///< Needs a fast worker.
};

} // namespace yuccawheel::workflow
