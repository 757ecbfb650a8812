#include "programs/yuccactl/commands.h"

#include "programs/yuccactl/render.h"

#include <fmt/core.h>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr std::size_t MaxExtraLogFiles = 10'000; ///< More than a cluster has processes.

std::string jobPath(const Session &session, std::string_view action = "")
{
    return fmt::format("/v1/jobs/{}{}", escapePath(session.options().arguments.at(0)), action);
}

/// Prints the list under `key` of the answer as a table with the given columns.
ExitCode
printList(const Session &session, const std::string &target, const char *key, const std::vector<std::string> &columns)
{
    const auto answer = session.client().get(target);
    if (!answer) {
        return session.fail(answer.error());
    }
    const bool hasList = answer->is_object() && answer->contains(key) && answer->at(key).is_array();
    session.print(*answer, hasList ? renderTable(answer->at(key), columns) : "");
    return ExitCode::Ok;
}

ExitCode runGet(const Session &session)
{
    return session.printOrFail(session.client().get(jobPath(session)));
}

ExitCode runExplain(const Session &session)
{
    return session.printOrFail(session.client().get(jobPath(session, "/explain")));
}

ExitCode runCancel(const Session &session)
{
    return session.printOrFail(session.client().post(jobPath(session, "/cancel"), {}, ""));
}

ExitCode runList(const Session &session)
{
    const std::string &state = session.options().state;
    return printList(
        session,
        state.empty() ? "/v1/jobs" : "/v1/jobs?state=" + escapePath(state),
        "jobs",
        {"id", "name", "kind", "team", "state", "tasks", "running", "waiting", "succeeded", "failed", "zones"});
}

ExitCode runWorkers(const Session &session)
{
    return printList(session,
                     "/v1/workers",
                     "workers",
                     {"name", "zone", "rack", "state", "capacity", "reserved", "tasks", "reason"});
}

ExitCode runUpstreams(const Session &session)
{
    return printList(
        session, "/v1/upstreams", "upstreams", {"executor", "zone", "address", "state", "slots", "services"});
}

ExitCode postWorkerAction(const Session &session, std::string_view action)
{
    const std::string name = escapePath(session.options().arguments.at(0));
    return session.printOrFail(session.client().post(fmt::format("/v1/workers/{}/{}", name, action), {}, ""));
}

ExitCode runDrain(const Session &session)
{
    return postWorkerAction(session, "drain");
}

ExitCode runUndrain(const Session &session)
{
    return postWorkerAction(session, "undrain");
}

ExitCode runConfig(const Session &session)
{
    return session.printOrFail(session.client().get("/v1/configuration"));
}

ExitCode runConfigStatus(const Session &session)
{
    return session.printOrFail(session.client().get("/v1/configuration/status"));
}

ExitCode runStoreStatus(const Session &session)
{
    return session.printOrFail(session.client().get("/v1/store"));
}

} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> table{
        {"check", "FILE", "check a document without sending it", 1, false, runCheck},
        {"describe", "settings|document", "print every setting, or every field of a document", 1, false, runDescribe},
        {"submit", "FILE", "show what a document changes, and submit it; - reads standard input", 1, true, runSubmit},
        {"list", "", "list jobs and services", 0, true, runList},
        {"get", "JOB", "show one job, by id or name", 1, true, runGet},
        {"explain", "JOB", "explain why a job waits, or where it runs", 1, true, runExplain},
        {"watch", "[JOB]", "follow a job until it ends, or the list of jobs", 0, true, runWatch, 1},
        {"cancel", "JOB", "cancel a job", 1, true, runCancel},
        {"workers", "", "list the workers", 0, true, runWorkers},
        {"drain", "VM", "move work off a worker and place nothing new there", 1, true, runDrain},
        {"undrain", "VM", "cancel the drain of a worker", 1, true, runUndrain},
        {"upstreams", "", "list the upstreams", 0, true, runUpstreams},
        {"config", "", "show the teams and services in force", 0, true, runConfig},
        {"config status", "", "show which version each daemon has", 0, true, runConfigStatus},
        {"store status", "", "show the replicas of the replicated log", 0, true, runStoreStatus},
        {"trace",
         "JOB LOG...",
         "merge the log lines about a job from all processes in order of time; * marks events of the cluster",
         2,
         false,
         runTrace,
         MaxExtraLogFiles},
        {"report",
         "",
         "summarize what failed, waits or needs an operator; --since sets the period",
         0,
         true,
         runReport},
    };
    return table;
}

} // namespace yuccawheel::programs::yuccactl
