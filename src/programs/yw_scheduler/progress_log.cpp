#include "progress_log.h"

#include "base/invariant.h"

#include <iterator>

namespace yuccawheel::scheduler
{

namespace
{

template <typename Item>
void appendAll(std::vector<Item> &target, std::vector<Item> &source)
{
    target.insert(target.end(), std::make_move_iterator(source.begin()), std::make_move_iterator(source.end()));
    source.clear();
}

} // namespace

protocol::JobProgress &ProgressLog::progressOf(placement::JobId job)
{
    protocol::JobProgress &progress = collecting_.progress[job];
    progress.job = job;
    return progress;
}

void ProgressLog::add(const placement::TaskDone &done)
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

void ProgressLog::add(const placement::TasksNotRun &notRun)
{
    progressOf(notRun.job).notRun.insert(protocol::IndexRange{notRun.firstIndex, notRun.firstIndex + notRun.count});
}

void ProgressLog::addStart(const placement::StartTask &start, std::uint64_t session)
{
    progressOf(start.task.job).started.insert(start.task.index);
    collecting_.starts.push_back({start, session});
}

void ProgressLog::addJoined(const std::string &worker)
{
    collecting_.joined.push_back(worker);
}

void ProgressLog::addLeft(const std::string &worker)
{
    collecting_.left.push_back(worker);
}

void ProgressLog::addMark(const PollMark &mark)
{
    collecting_.marks.push_back(mark);
}

void ProgressLog::fill(protocol::RenewZone &request)
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
    appendAll(sent_.joined, collecting_.joined);
    appendAll(sent_.left, collecting_.left);
    appendAll(sent_.starts, collecting_.starts);
    appendAll(sent_.marks, collecting_.marks);
    collecting_ = {};
    for (const auto &[job, progress] : sent_.progress) {
        request.progress.push_back(progress);
    }
    request.joinedWorkers = sent_.joined;
    request.leftWorkers = sent_.left;
}

ProgressLog::Agreed ProgressLog::committed()
{
    sending_ = false;
    Agreed agreed{std::move(sent_.starts), std::move(sent_.marks), std::move(sent_.joined)};
    sent_ = {};
    return agreed;
}

void ProgressLog::failed()
{
    sending_ = false;
}

} // namespace yuccawheel::scheduler
