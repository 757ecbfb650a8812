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
    std::unique_ptr<Scheduler> fresh() const override
    {
        return std::make_unique<Baseline>(rule_);
    }

private:
    struct Waiting {
        JobSpec spec;
        std::vector<std::uint32_t> indices;
    };
    struct Live {
        WorkerId worker = 0;
        Resources reserved;
    };

    bool place(Waiting &job, std::vector<Command> &commands);
    std::optional<WorkerId> find(const Resources &need) const;

    BaselineRule rule_;
    std::vector<Resources> free_;
    std::list<Waiting> queue_;
    std::map<TaskId, Live> live_;
    std::vector<Command> done_;
    bool changed_ = false;
};

void Baseline::handle(const Event &event, base::TimePoint /*now*/)
{
    if (const auto *joined = std::get_if<WorkerJoined>(&event)) {
        free_.resize(std::max<std::size_t>(free_.size(), joined->worker + 1));
        free_[joined->worker] = joined->capacity;
    } else if (const auto *assigned = std::get_if<JobAssigned>(&event)) {
        Waiting job{assigned->spec, {}};
        for (std::uint32_t index = assigned->count; index > 0; --index) {
            job.indices.push_back(index - 1);
        }
        queue_.push_back(std::move(job));
    } else if (const auto *reported = std::get_if<WorkerReported>(&event)) {
        for (const TaskReport &report : reported->tasks) {
            const auto found = live_.find(report.task);
            if (report.state != TaskState::Running && found != live_.end()) {
                free_[found->second.worker] += found->second.reserved;
                live_.erase(found);
                done_.emplace_back(TaskDone{report.task, base::Verdict::Ran, report.state == TaskState::Finished});
            }
        }
    }
    changed_ = true;
}

std::optional<WorkerId> Baseline::find(const Resources &need) const
{
    std::optional<WorkerId> best;
    for (WorkerId worker = 0; worker < free_.size(); ++worker) {
        if (!need.fitsIn(free_[worker])) {
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

// Places what fits of a job; of a gang all or nothing. Returns true if nothing of it is left.
bool Baseline::place(Waiting &job, std::vector<Command> &commands)
{
    const std::vector<Resources> before = free_;
    std::vector<Command> starts;
    std::vector<std::uint32_t> left = job.indices;
    while (!left.empty()) {
        const auto worker = find(job.spec.perTask);
        if (!worker) {
            break;
        }
        free_[*worker] -= job.spec.perTask;
        starts.emplace_back(StartTask{*worker, {job.spec.id, left.back(), 0}, job.spec.perTask, {}, false});
        left.pop_back();
    }
    if (job.spec.kind == JobKind::Gang && !left.empty()) {
        free_ = before;
        return false;
    }
    for (const Command &command : starts) {
        const auto &start = std::get<StartTask>(command);
        live_[start.task] = {start.worker, start.reserved};
        commands.push_back(command);
    }
    job.indices = left;
    return left.empty();
}

void Baseline::decide(base::TimePoint /*now*/, std::vector<Command> &commands)
{
    if (!changed_) {
        return;
    }
    changed_ = false;
    commands.insert(commands.end(), done_.begin(), done_.end());
    done_.clear();
    for (auto job = queue_.begin(); job != queue_.end();) {
        if (place(*job, commands)) {
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
