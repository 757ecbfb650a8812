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

// What befell the cluster while the job was under way. Lines about a worker count only if the job was there.
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
    std::string source; ///< Name of the file, without its folder and ending.
    std::string text;
    LogRecord record;
};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count> &events, std::string_view event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

// A task, step or path names its job at the start or at the end: `ID.0.1.17`, `/jobs/ID`.
bool namesJob(std::string_view value, std::string_view job)
{
    const std::size_t place = value.find(job);
    if (place == std::string_view::npos) {
        return false;
    }
    const std::size_t end = place + job.size();
    return (place == 0 || value[place - 1] == '/') && (end == value.size() || value[end] == '.');
}

bool isAbout(const LogRecord &record, std::string_view job)
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

Json toJson(const TracedLine &line, bool ofJob)
{
    Json fields = Json::object();
    for (const auto &[key, value] : line.record.fields) {
        fields[key] = value;
    }
    return {{"source", line.source},
            {"time", line.record.time},
            {"level", line.record.level},
            {"event", line.record.event},
            {"of_job", ofJob},
            {"fields", fields}};
}

/// The lines of one job, and of what befell the cluster from its first line to its last.
class JobTrace
{
public:
    JobTrace(std::vector<TracedLine> lines, std::string job) : lines_(std::move(lines)), job_(std::move(job))
    {
        std::stable_sort(lines_.begin(), lines_.end(), [](const TracedLine &left, const TracedLine &right) {
            return left.record.time < right.record.time;
        });
        for (const TracedLine &line : lines_) {
            if (isAbout(line.record, job_)) {
                if (first_.empty()) {
                    first_ = line.record.time;
                }
                last_ = line.record.time;
                const std::string_view worker = line.record.field("worker");
                if (!worker.empty()) {
                    workers_.insert(std::string(worker));
                }
            }
        }
    }

    bool empty() const
    {
        return first_.empty();
    }
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const TracedLine &line : lines_) {
            const bool ofJob = isAbout(line.record, job_);
            if (ofJob || befellIt(line.record)) {
                visit(line, ofJob);
            }
        }
    }

private:
    bool befellIt(const LogRecord &record) const
    {
        if (record.time < first_ || record.time > last_) {
            return false;
        }
        return contains(ClusterEvents, record.event)
            || (contains(WorkerEvents, record.event) && workers_.contains(std::string(record.field("worker"))));
    }

    std::vector<TracedLine> lines_;
    std::string job_;
    std::string first_; ///< Time of the job's first line.
    std::string last_;
    std::set<std::string> workers_; ///< Where it was placed.
};

} // namespace

ExitCode runTrace(const Session &session)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    std::vector<TracedLine> lines;
    for (std::size_t file = 1; file < arguments.size(); ++file) {
        auto some = readLines(arguments[file]);
        if (!some) {
            return session.fail(ExitCode::Usage, some.error());
        }
        std::move(some->begin(), some->end(), std::back_inserter(lines));
    }
    const JobTrace trace(std::move(lines), arguments.front());
    if (trace.empty()) {
        return session.fail(ExitCode::Failed, "no line names " + arguments.front());
    }
    Json list = Json::array();
    std::string text;
    trace.forEach([&](const TracedLine &line, bool ofJob) {
        list.push_back(toJson(line, ofJob));
        text += fmt::format("{} {:<24} {}\n", ofJob ? ' ' : '*', line.source, line.text);
    });
    session.print(list, text);
    return ExitCode::Ok;
}

} // namespace yuccawheel::programs::yuccactl
