#include "policy_baselines.h"

#include <algorithm>
#include <list>

namespace yuccawheel::bench
{

namespace
{

using namespace placement;

class Baseline : public Scheduler
{
public:
    explicit Baseline(BaselineRule rule) : rule_(rule)
    {
    }
    void handle(const Event &event, base::TimePoint now) override;
    void decide(base::TimePoint now, std::vector<Command> &commands) override;
    std::unique_ptr<Scheduler> createEmpty() const override
    {
        return std::make_unique<Baseline>(rule_);
    }

private:
    struct QueuedJob {
        JobSpec spec;
        std::vector<std::uint32_t> indices;
    };
    struct RunningTask {
        WorkerId worker = 0;
        Resources reserved;
    };

    bool placeJob(QueuedJob &job, std::vector<Command> &commands);
    std::optional<WorkerId> findWorker(const Resources &demand) const;

    BaselineRule rule_;
    std::vector<Resources> free_;
    std::list<QueuedJob> queue_;
    std::map<TaskId, RunningTask> running_;
    std::vector<Command> doneCommands_;
    bool hasNewEvents_ = false;
};

void Baseline::handle(const Event &event, base::TimePoint /*now*/)
{
    if (const auto *joined = std::get_if<WorkerJoined>(&event)) {
        free_.resize(std::max<std::size_t>(free_.size(), joined->worker + 1));
        free_[joined->worker] = joined->capacity;
    } else if (const auto *assigned = std::get_if<JobAssigned>(&event)) {
        QueuedJob job{assigned->spec, {}};
        for (std::uint32_t index = assigned->count; index > 0; --index) {
            job.indices.push_back(index - 1);
        }
        queue_.push_back(std::move(job));
    } else if (const auto *reported = std::get_if<WorkerReported>(&event)) {
        for (const TaskReport &report : reported->tasks) {
            const auto found = running_.find(report.task);
            if (report.state != TaskState::Running && found != running_.end()) {
                free_[found->second.worker] += found->second.reserved;
                running_.erase(found);
                doneCommands_.emplace_back(
                    TaskDone{report.task, base::Verdict::Ran, report.state == TaskState::Finished});
            }
        }
    }
    hasNewEvents_ = true;
}

std::optional<WorkerId> Baseline::findWorker(const Resources &demand) const
{
    std::optional<WorkerId> best;
    for (WorkerId worker = 0; worker < free_.size(); ++worker) {
        if (!demand.fitsIn(free_[worker])) {
            continue;
        }
        if (rule_ == BaselineRule::FifoFirstFit) {
            return worker;
        }
        if (!best || free_[worker].milliCpu > free_[*best].milliCpu) {
            best = worker;
        }
    }
    return best;
}

// Starts as many tasks of a job as fit, or all or none of a gang. Returns true if no task is left waiting.
bool Baseline::placeJob(QueuedJob &job, std::vector<Command> &commands)
{
    const std::vector<Resources> before = free_;
    std::vector<Command> starts;
    std::vector<std::uint32_t> remaining = job.indices;
    while (!remaining.empty()) {
        const auto worker = findWorker(job.spec.perTask);
        if (!worker) {
            break;
        }
        free_[*worker] -= job.spec.perTask;
        starts.emplace_back(StartTask{*worker, {job.spec.id, remaining.back(), 0}, job.spec.perTask, {}, false});
        remaining.pop_back();
    }
    if (job.spec.kind == JobKind::Gang && !remaining.empty()) {
        free_ = before;
        return false;
    }
    for (const Command &command : starts) {
        const auto &start = std::get<StartTask>(command);
        running_[start.task] = {start.worker, start.reserved};
        commands.push_back(command);
    }
    job.indices = remaining;
    return remaining.empty();
}

void Baseline::decide(base::TimePoint /*now*/, std::vector<Command> &commands)
{
    if (!hasNewEvents_) {
        return;
    }
    hasNewEvents_ = false;
    commands.insert(commands.end(), doneCommands_.begin(), doneCommands_.end());
    doneCommands_.clear();
    for (auto job = queue_.begin(); job != queue_.end();) {
        if (placeJob(*job, commands)) {
            job = queue_.erase(job);
        } else if (rule_ == BaselineRule::FifoFirstFit) {
            return;
        } else {
            ++job;
        }
    }
}

} // namespace

std::unique_ptr<Scheduler> makeBaseline(BaselineRule rule)
{
    return std::make_unique<Baseline>(rule);
}

} // namespace yuccawheel::bench
