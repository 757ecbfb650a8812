#include "workflow/room_maker.h"

#include <algorithm>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::uint32_t MostRuns = 3; ///< A task that has been started so often is let be, so that it gets done.
// A worker takes 400 ms at most to stop a task; then its end and the new start go through the log.
constexpr std::chrono::milliseconds TimeToMakeRoom{600};

} // namespace

bool RoomMaker::yields(const TaskRef &task, const LiveRun &run, std::int32_t priority) const
{
    const JobRecord *const job = state_.findJob(task.job);
    if (job == nullptr || run.stage != LiveRun::Stage::Present || job->policy.priority <= priority
        || !job->spec.steps[task.step].resumable()) {
        return false;
    }
    return run.run < MostRuns;
}

placement::Resources RoomMaker::amountOf(const TaskRef &task) const
{
    return reservationOf(state_.findJob(task.job)->spec.steps[task.step]);
}

template <typename Visit>
void RoomMaker::forEachYielding(WorkerNumber number, std::int32_t priority, Visit visit) const
{
    for (const auto &[task, run] : workers_.at(number).runs) {
        if (yields(task, run, priority)) {
            visit(task);
        }
    }
}

std::uint32_t
RoomMaker::mostRoom(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const
{
    placement::Resources most = placer.freeOn(request, number);
    forEachYielding(number, request.job.policy.priority, [&](const TaskRef &task) { most += amountOf(task); });
    return placer.roomIn(request, number, most);
}

RoomMaker::Candidate
RoomMaker::candidateOf(const StepPlacer &placer, const StepPlacer::Request &request, WorkerNumber number) const
{
    Candidate candidate;
    candidate.worker = number;
    candidate.free = placer.freeOn(request, number);
    candidate.room = placer.roomIn(request, number, candidate.free);
    candidate.mostRoom = mostRoom(placer, request, number);
    forEachYielding(number, request.job.policy.priority, [&](const TaskRef &task) {
        candidate.yielding.push_back({number, task});
    });
    std::sort(candidate.yielding.begin(), candidate.yielding.end(), [this](const Stop &left, const Stop &right) {
        return std::tuple(amountOf(left.task).milliCpu, left.task)
            < std::tuple(amountOf(right.task).milliCpu, right.task);
    });
    return candidate;
}

std::optional<RoomMaker::Plan> RoomMaker::plan(const StepPlacer &placer, const StepPlacer::Request &request) const
{
    std::vector<Candidate> candidates;
    std::size_t room = 0;
    std::size_t mostRoom = 0;
    for (const auto &[number, worker] : workers_) {
        if (placer.suits(request, number, worker)
            && (request.eligibility == nullptr
                || request.eligibility->ticket(number, now_, TimeToMakeRoom) != nullptr)) {
            candidates.push_back(candidateOf(placer, request, number));
            room += candidates.back().room;
            mostRoom += candidates.back().mostRoom;
        }
    }
    const std::size_t needed = request.waiting.size();
    if (mostRoom < needed) {
        return std::nullopt;
    }
    // Where the most room is now, the fewest tasks have to be stopped.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tuple(right.free.milliCpu, left.worker) < std::tuple(left.free.milliCpu, right.worker);
    });
    Plan plan;
    for (Candidate &candidate : candidates) {
        while (room < needed && candidate.room < candidate.mostRoom) {
            while (candidate.room < candidate.mostRoom
                   && placer.roomIn(request, candidate.worker, candidate.free) <= candidate.room) {
                plan.stops.push_back(candidate.yielding.back());
                candidate.free += amountOf(candidate.yielding.back().task);
                candidate.yielding.pop_back();
            }
            const std::uint32_t made = placer.roomIn(request, candidate.worker, candidate.free);
            room += made - candidate.room;
            candidate.room = made;
        }
    }
    std::size_t left = needed;
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &first, const Candidate &second) {
        return first.room > second.room;
    });
    for (const Candidate &candidate : candidates) {
        const auto taken = static_cast<std::uint32_t>(std::min<std::size_t>(candidate.room, left));
        if (taken > 0) {
            plan.room[candidate.worker] = taken;
            left -= taken;
        }
    }
    return plan;
}

} // namespace yuccawheel::workflow
