#include "workflow/worker_health.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr double WeightToQuarantine = 2; ///< Failures that it takes while they are rare.
constexpr std::size_t MaxFailures = 16; ///< Earlier ones say less than the latest.
constexpr std::chrono::milliseconds FirstQuarantine{2'000};
constexpr std::uint32_t MaxDoublings = 3;

} // namespace

// Runs on workers that have been quarantined tell little about the others, so they don't count as usual.
bool WorkerHealth::recordFailure(JobKey job,
                                 std::chrono::milliseconds ran,
                                 const WeightOfJob &weightOfJob,
                                 base::TimePoint now)
{
    failures_.push_back({job, usual_ == nullptr ? 1 : usual_->weightOfFailure()});
    if (failures_.size() > MaxFailures) {
        failures_.erase(failures_.begin());
    }
    if (usual_ != nullptr && !onProbation()) {
        usual_->recordFailure();
    }
    longestFailedRun_ = std::max(longestFailedRun_, ran);
    lastFailure_ = now;
    // A job that fails everywhere must not quarantine every worker it runs on.
    const bool ofSeveralJobs =
        std::any_of(failures_.begin(), failures_.end(), [&](const Failure &failure) { return failure.job != job; });
    if (!onProbation() && !ofSeveralJobs) {
        return false;
    }
    // How a job does elsewhere may have become known since it failed here.
    double weight = onProbation() ? WeightToQuarantine - 1 : 0; // While failures are rare, one is enough then.
    for (const Failure &failure : failures_) {
        weight += failure.weight * weightOfJob(failure.job);
    }
    if (weight < WeightToQuarantine) {
        return false;
    }
    failures_.clear();
    startRound();
    quarantinedUntil_ = now + FirstQuarantine * (1U << std::min(quarantines_, MaxDoublings));
    ++quarantines_;
    return true;
}

void WorkerHealth::recordSuccess()
{
    if (usual_ != nullptr && !onProbation()) {
        usual_->recordSuccess();
    }
    failures_.clear();
    longestFailedRun_ = {};
    lastFailure_ = {};
    quarantines_ = 0;
    quarantinedUntil_ = {};
    startRound();
}

// A run that began before the latest failure doesn't tell whether what starts now fails.
bool WorkerHealth::recordAtWork(base::TimePoint orderedAt, std::chrono::milliseconds atWork)
{
    if (!isSuspect() || orderedAt <= lastFailure_ || atWork < std::max(TrialTime, 2 * longestFailedRun_)) {
        return false;
    }
    recordSuccess();
    return true;
}

WorkerHealth::TrialRound WorkerHealth::addTask()
{
    if (!onProbation()) {
        return 0;
    }
    ++trials_;
    return round_;
}

void WorkerHealth::endTrial(TrialRound round)
{
    if (round == round_ && trials_ > 0) {
        --trials_;
    }
}

void WorkerHealth::startRound()
{
    ++round_;
    trials_ = 0;
}

} // namespace yuccawheel::workflow
