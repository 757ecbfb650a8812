// Fuzzes worker polls. Each line of the input is the body of one poll. A poll is refused or passed to the planner; no
// report of a worker may violate an invariant of the planner.

#include "fuzz/target.h"
#include "placement/planner.h"
#include "programs/yw_scheduler/worker_protocol.h"

#include <chrono>
#include <vector>

using namespace yuccawheel;

namespace
{

constexpr std::chrono::milliseconds PollInterval{500};

placement::Event eventOf(const scheduler::Poll &poll)
{
    if (!poll.full) {
        placement::WorkerReported reported;
        for (const scheduler::Poll::Task &task : poll.tasks) {
            reported.tasks.push_back(task.report);
        }
        return reported;
    }
    placement::WorkerJoined joined{0, "w", poll.rack, poll.capacity, {}};
    for (const scheduler::Poll::Task &task : poll.tasks) {
        joined.running.push_back({task.report.task, task.reserved});
    }
    return joined;
}

placement::JobAssigned makeJob(placement::JobId id, placement::JobKind kind)
{
    placement::JobAssigned assigned;
    assigned.spec.id = id;
    assigned.spec.name = "j" + std::to_string(id);
    assigned.spec.team = "t";
    assigned.spec.kind = kind;
    assigned.spec.tasks = 4;
    assigned.spec.perTask = {1000, 1024, 0};
    assigned.count = 4;
    return assigned;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    placement::Planner planner({});
    base::TimePoint now{std::chrono::hours(1)};
    planner.handle(placement::QuotasChanged{{placement::TeamQuota{"t", {8000, 8192, 0}}}}, now);
    planner.handle(makeJob(1, placement::JobKind::Batch), now);
    planner.handle(makeJob(2, placement::JobKind::Gang), now);
    planner.handle(makeJob(3, placement::JobKind::Service), now);
    bool joined = false;
    std::vector<placement::Command> commands;
    for (std::string_view rest = fuzz::view(data, size); !rest.empty();) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        const auto poll = scheduler::parsePoll(line);
        if (!poll || (!poll->full && !joined)) {
            continue;
        }
        joined = true;
        now += PollInterval;
        planner.handle(eventOf(*poll), now);
        planner.decide(now, commands);
    }
    return 0;
}
