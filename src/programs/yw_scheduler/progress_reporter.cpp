#include "progress_reporter.h"

#include "base/invariant.h"

namespace yuccawheel::scheduler
{

protocol::JobProgress &ProgressReporter::pendingProgress(placement::JobId job)
{
    protocol::JobProgress &progress = pending_.progress[job];
    progress.job = job;
    return progress;
}

void ProgressReporter::add(const placement::TaskDone &done)
{
    protocol::JobProgress &progress = pendingProgress(done.task.job);
    switch (done.verdict) {
    case base::Verdict::NotRun:
        progress.notRun.insert(done.task.index);
        break;
    case base::Verdict::MayHaveRun:
        progress.mayHaveRun.insert(done.task.index);
        break;
    case base::Verdict::Ran:
        (done.succeeded ? progress.succeeded : progress.failed).insert(done.task.index);
        break;
    }
}

void ProgressReporter::add(const placement::TasksNotRun &notRun)
{
    pendingProgress(notRun.job)
        .notRun.insert(protocol::IndexRange{notRun.firstIndex, notRun.firstIndex + notRun.count});
}

void ProgressReporter::addStart(const placement::StartTask &start, std::uint64_t session)
{
    pendingProgress(start.task.job).started.insert(start.task.index);
    pending_.starts.push_back({start, session});
}

void ProgressReporter::addJoinedWorker(const std::string &worker)
{
    pending_.joined.insert(worker);
}

void ProgressReporter::addLeftWorker(const std::string &worker)
{
    pending_.left.insert(worker);
}

void ProgressReporter::addProcessedPoll(const PollId &pollId)
{
    pending_.processedPolls[pollId.worker] = pollId;
}

void ProgressReporter::fillRequest(protocol::RenewZone &request)
{
    YW_INVARIANT(!sending_, "at most one progress report is in flight");
    sending_ = true;
    for (auto &[job, progress] : pending_.progress) {
        protocol::JobProgress &target = inFlight_.progress[job];
        target.job = job;
        target.started.insert(progress.started);
        target.succeeded.insert(progress.succeeded);
        target.failed.insert(progress.failed);
        target.notRun.insert(progress.notRun);
        target.mayHaveRun.insert(progress.mayHaveRun);
    }
    inFlight_.joined.merge(pending_.joined);
    inFlight_.left.merge(pending_.left);
    inFlight_.starts.insert(inFlight_.starts.end(), pending_.starts.begin(), pending_.starts.end());
    for (const auto &[worker, pollId] : pending_.processedPolls) {
        inFlight_.processedPolls[worker] = pollId;
    }
    pending_ = {};
    for (const auto &[job, progress] : inFlight_.progress) {
        request.progress.push_back(progress);
    }
    request.joinedWorkers.assign(inFlight_.joined.begin(), inFlight_.joined.end());
    request.leftWorkers.assign(inFlight_.left.begin(), inFlight_.left.end());
}

ProgressReporter::CommittedBatch ProgressReporter::onCommitted()
{
    sending_ = false;
    CommittedBatch committed{
        std::move(inFlight_.starts), std::move(inFlight_.processedPolls), std::move(inFlight_.joined)};
    inFlight_ = {};
    return committed;
}

void ProgressReporter::onFailed()
{
    sending_ = false;
}

} // namespace yuccawheel::scheduler
