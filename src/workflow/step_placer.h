#pragma once

#include "placement/ledger.h"
#include "workflow/eligibility.h"
#include "workflow/pace.h"
#include "workflow/room_claims.h"
#include "workflow/state.h"
#include "workflow/worker_view.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccawheel::workflow
{

using WorkerViews = std::map<WorkerNumber, WorkerView>;

/// A task of a step, by its index, and the worker that it goes to.
struct Assignment {
    std::uint32_t index = 0;
    WorkerNumber worker = 0;
};

/// Amount that a task of a step reserves on its worker.
placement::Resources reservationOf(const StepSpec &step);

/// Chooses workers for the waiting tasks of one step. Pure: it reads views and the ledger and changes nothing.
class StepPlacer
{
public:
    StepPlacer(const WorkerViews &workers,
               const placement::Ledger &ledger,
               const RoomClaims &claims,
               const PaceBook &pace,
               base::TimePoint now)
        : workers_(workers)
        , ledger_(ledger)
        , claims_(claims)
        , pace_(pace)
        , now_(now)
    {
    }

    struct Request {
        const JobRecord &job;
        std::size_t position = 0;
        const std::vector<std::uint32_t> &waiting; ///< Indices of the tasks to place.
        const StepEligibility *eligibility = nullptr; ///< Null if any worker of the service may run the step.
        /// Tasks of the step on each worker, those on their way to the log included; only where there is a limit.
        std::map<WorkerNumber, std::uint32_t> there;
        Hurry hurry = Hurry::Some;
        bool mayMakeRoom = false; ///< Less urgent tasks that can be resumed give way to it.
    };

    /// Returns as many assignments as there is room for; for a gang all or none.
    std::vector<Assignment> place(const Request &request) const;

    /// Returns whether the worker could run the step if there were room, leaving tickets aside.
    bool suits(const Request &request, WorkerNumber number, const WorkerView &worker) const;
    /// Claims the room on the workers that a gang without enough room is likely to get: those that may run it and have
    /// the most room now.
    void claimFor(const Request &request, RoomClaims &claims) const;
    /// Returns what is free on a worker and not kept from the step.
    placement::Resources freeOn(const Request &request, WorkerNumber number) const;
    /// Returns how many of the step's tasks the worker has room for now.
    std::uint32_t roomFor(const Request &request, WorkerNumber number) const
    {
        return roomIn(request, number, freeOn(request, number));
    }
    /// The same if so much were free there.
    std::uint32_t roomIn(const Request &request, WorkerNumber number, const placement::Resources &free) const;

private:
    struct Room {
        WorkerNumber worker = 0;
        std::uint32_t tasks = 0;
        std::int64_t freeMilliCpu = 0;
    };

    int paceClass(const Request &request, WorkerNumber number) const;
    std::vector<Room> roomsOf(const Request &request) const;
    std::vector<Assignment> placeBatch(const Request &request, std::vector<Room> rooms) const;
    std::vector<Assignment> placeGang(const Request &request, const std::vector<Room> &rooms) const;
    static std::vector<Assignment> fill(std::vector<Room> rooms, const std::vector<std::uint32_t> &waiting);

    const WorkerViews &workers_;
    const placement::Ledger &ledger_;
    const RoomClaims &claims_;
    const PaceBook &pace_;
    base::TimePoint now_;
};

} // namespace yuccawheel::workflow
