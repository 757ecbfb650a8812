#include "base/log_record.h"
#include "programs/yuccactl/commands.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <set>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using base::LogRecord;

// Events of the cluster that the trace shows between the job's first and last line. WorkerEvents are shown only for
// workers that the job's own lines name.
constexpr std::array<std::string_view, 10> ClusterEvents{"started",
                                                         "leading",
                                                         "leading_ended",
                                                         "leadership_lost",
                                                         "log_role",
                                                         "disk_failed",
                                                         "proposal_refused",
                                                         "settings_reloaded",
                                                         "drain_started",
                                                         "log_lines_dropped"};
constexpr std::array<std::string_view, 6> WorkerEvents{
    "worker_does_not_answer", "worker_answers", "worker_given_up", "worker_replaced", "worker_draining", "worker_gone"};

struct TracedLine {
    std::string source; ///< Name of the log file, without folder and extension.
    std::string text;
    LogRecord record;
};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &events, std::string_view event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

// Task and step ids start with the job id (`ID.0.1.17`), and paths end with it (`/jobs/ID`).
bool namesJob(std::string_view value, std::string_view job)
{
    const std::size_t offset = value.find(job);
    if (offset == std::string_view::npos) {
        return false;
    }
    const std::size_t end = offset + job.size();
    return (offset == 0 || value[offset - 1] == '/') && (end == value.size() || value[end] == '.');
}

bool mentionsJob(const LogRecord &record, std::string_view job)
{
    return std::any_of(
        record.fields.begin(), record.fields.end(), [job](const auto &field) { return namesJob(field.second, job); });
}

tl::expected<std::vector<TracedLine>, std::string> readLines(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return tl::unexpected("cannot read " + file);
    }
    std::vector<TracedLine> lines;
    const std::string source = std::filesystem::path(file).stem().string();
    for (std::string text; std::getline(stream, text);) {
        auto record = base::parseLogRecord(text);
        if (record) {
            lines.push_back({source, std::move(text), std::move(*record)});
        }
    }
    if (stream.bad()) {
        return tl::unexpected("cannot read " + file);
    }
    return lines;
}

Json toJson(const TracedLine &line, bool isOfJob)
{
    Json fields = Json::object();
    for (const auto &[key, value] : line.record.fields) {
        fields[key] = value;
    }
    return {{"source", line.source},
            {"time", line.record.time},
            {"level", line.record.level},
            {"event", line.record.event},
            {"of_job", isOfJob},
            {"fields", fields}};
}

/// Log lines of one job, and related events of the cluster between the job's first and last line.
class JobTrace
{
public:
    JobTrace(std::vector<TracedLine> lines, std::string job) : lines_(std::move(lines)), job_(std::move(job))
    {
        std::stable_sort(lines_.begin(), lines_.end(), [](const TracedLine &left, const TracedLine &right) {
            return left.record.time < right.record.time;
        });
        for (const TracedLine &line : lines_) {
            if (mentionsJob(line.record, job_)) {
                if (firstTime_.empty()) {
                    firstTime_ = line.record.time;
                }
                lastTime_ = line.record.time;
                const std::string_view worker = line.record.field("worker");
                if (!worker.empty()) {
                    workers_.insert(std::string(worker));
                }
            }
        }
    }

    bool empty() const
    {
        return firstTime_.empty();
    }
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const TracedLine &line : lines_) {
            const bool isOfJob = mentionsJob(line.record, job_);
            if (isOfJob || isRelatedEvent(line.record)) {
                visit(line, isOfJob);
            }
        }
    }

private:
    bool isRelatedEvent(const LogRecord &record) const
    {
        if (record.time < firstTime_ || record.time > lastTime_) {
            return false;
        }
        return contains(ClusterEvents, record.event)
            || (contains(WorkerEvents, record.event) && workers_.contains(std::string(record.field("worker"))));
    }

    std::vector<TracedLine> lines_;
    std::string job_;
    std::string firstTime_; ///< Time of the job's first line; empty if there is none.
    std::string lastTime_; ///< Time of the job's last line.
    std::set<std::string> workers_; ///< Workers that the job's lines name.
};

} // namespace

ExitCode runTrace(const Session &session)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    std::vector<TracedLine> lines;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        auto fileLines = readLines(arguments[index]);
        if (!fileLines) {
            return session.fail(ExitCode::Usage, fileLines.error());
        }
        std::move(fileLines->begin(), fileLines->end(), std::back_inserter(lines));
    }
    const JobTrace trace(std::move(lines), arguments.front());
    if (trace.empty()) {
        return session.fail(ExitCode::Failed, "no log line mentions job " + arguments.front());
    }
    Json list = Json::array();
    std::string text;
    trace.forEach([&](const TracedLine &line, bool isOfJob) {
        list.push_back(toJson(line, isOfJob));
        text += fmt::format("{} {:<24} {}\n", isOfJob ? ' ' : '*', line.source, line.text);
    });
    session.print(list, text);
    return ExitCode::Ok;
}

} // namespace yuccawheel::programs::yuccactl
