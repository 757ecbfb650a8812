#include "progress_reporter.h"

#include "base/invariant.h"

namespace yuccawheel::scheduler
{

protocol::JobProgress &ProgressReporter::progressOf(placement::JobId job)
{
    protocol::JobProgress &progress = collecting_.progress[job];
    progress.job = job;
    return progress;
}

void ProgressReporter::add(const placement::TaskDone &done)
{
    protocol::JobProgress &progress = progressOf(done.task.job);
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
    progressOf(notRun.job).notRun.insert(protocol::IndexRange{notRun.firstIndex, notRun.firstIndex + notRun.count});
}

void ProgressReporter::addStart(const placement::StartTask &start, std::uint64_t session)
{
    progressOf(start.task.job).started.insert(start.task.index);
    collecting_.starts.push_back({start, session});
}

void ProgressReporter::addJoined(const std::string &worker)
{
    collecting_.joined.insert(worker);
}

void ProgressReporter::addLeft(const std::string &worker)
{
    collecting_.left.insert(worker);
}

void ProgressReporter::addMark(const PollMark &mark)
{
    collecting_.marks[mark.worker] = mark;
}

void ProgressReporter::fill(protocol::RenewZone &request)
{
    YW_INVARIANT(!sending_, "one progress report is on its way at a time");
    sending_ = true;
    for (auto &[job, progress] : collecting_.progress) {
        protocol::JobProgress &target = sent_.progress[job];
        target.job = job;
        target.started.insert(progress.started);
        target.succeeded.insert(progress.succeeded);
        target.failed.insert(progress.failed);
        target.notRun.insert(progress.notRun);
        target.mayHaveRun.insert(progress.mayHaveRun);
    }
    sent_.joined.merge(collecting_.joined);
    sent_.left.merge(collecting_.left);
    sent_.starts.insert(sent_.starts.end(), collecting_.starts.begin(), collecting_.starts.end());
    for (const auto &[worker, mark] : collecting_.marks) {
        sent_.marks[worker] = mark;
    }
    collecting_ = {};
    for (const auto &[job, progress] : sent_.progress) {
        request.progress.push_back(progress);
    }
    request.joinedWorkers.assign(sent_.joined.begin(), sent_.joined.end());
    request.leftWorkers.assign(sent_.left.begin(), sent_.left.end());
}

ProgressReporter::Agreed ProgressReporter::committed()
{
    sending_ = false;
    Agreed agreed{std::move(sent_.starts), std::move(sent_.marks), std::move(sent_.joined)};
    sent_ = {};
    return agreed;
}

void ProgressReporter::failed()
{
    sending_ = false;
}

} // namespace yuccawheel::scheduler
