#include "managers.h"

#include "base/log.h"
#include "fakes/manager_faults.h"

#include <cxxopts.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fcntl.h>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace yuccawheel::bench
{

namespace
{

using fakes::ManagerRun;
using fakes::ManagerRunResult;

constexpr int ExitUsage = 2;
constexpr std::size_t MaxReportBytes = 4'096;

/// What a run in a process of its own has told.
struct Report {
    std::string failure; ///< Empty if nothing was broken.
    double virtualSeconds = 0;
    std::uint64_t jobs = 0;
    std::uint64_t starts = 0;
    std::uint64_t membersAlone = 0;
    std::uint64_t refusedProposals = 0;
};

/// A run in a process of its own, since a broken guarantee ends the process.
class RunProcess
{
public:
    explicit RunProcess(const ManagerRun &run) : run_(run)
    {
        if (pipe(pipe_) != 0) {
            throw std::runtime_error("no pipe for a run");
        }
        std::fflush(nullptr);
        pid_ = fork();
        if (pid_ < 0) {
            throw std::runtime_error("no process for a run");
        }
        if (pid_ == 0) {
            playAndExit();
        }
        close(pipe_[1]);
    }
    ~RunProcess()
    {
        close(pipe_[0]);
    }
    RunProcess(const RunProcess &) = delete;
    RunProcess &operator=(const RunProcess &) = delete;

    pid_t pid() const
    {
        return pid_;
    }
    const ManagerRun &run() const
    {
        return run_;
    }
    /// Call it once the process has ended.
    Report report(int status) const
    {
        std::string text(MaxReportBytes, '\0');
        const ssize_t size = read(pipe_[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        Report report;
        unsigned long long jobs = 0;
        unsigned long long starts = 0;
        unsigned long long alone = 0;
        unsigned long long refused = 0;
        if (!WIFEXITED(status) || WEXITSTATUS(status) != 0
            || std::sscanf(
                   text.c_str(), "ok %lf %llu %llu %llu %llu", &report.virtualSeconds, &jobs, &starts, &alone, &refused)
                != 5) {
            report.failure = text.empty() ? "the process ended without a word" : text;
        }
        report.jobs = jobs;
        report.starts = starts;
        report.membersAlone = alone;
        report.refusedProposals = refused;
        return report;
    }

private:
    [[noreturn]] void playAndExit()
    {
        // The message of a broken invariant goes to standard error.
        dup2(pipe_[1], STDERR_FILENO);
        const int none = open("/dev/null", O_WRONLY);
        dup2(none, STDOUT_FILENO);
        {
            const base::LogWriter writer(base::LogLevel::Error);
            const ManagerRunResult result = fakes::play(run_);
            if (result.failure) {
                fmt::print(stderr, "{}", *result.failure);
            } else {
                fmt::print(stderr,
                           "ok {} {} {} {} {}",
                           std::chrono::duration<double>(result.virtualTime).count(),
                           result.jobs,
                           result.starts,
                           result.membersAlone,
                           result.refusedProposals);
            }
        }
        std::fflush(nullptr);
        _exit(0);
    }

    ManagerRun run_;
    int pipe_[2] = {-1, -1};
    pid_t pid_ = -1;
};

Report playAlone(const ManagerRun &run)
{
    const RunProcess process(run);
    int status = 0;
    waitpid(process.pid(), &status, 0);
    return process.report(status);
}

// Leaves out faults one by one as long as the run still fails.
ManagerRun shorten(ManagerRun run)
{
    for (std::size_t number = run.faults.size(); number-- > 0;) {
        ManagerRun shorter = run;
        shorter.faults.erase(shorter.faults.begin() + static_cast<std::ptrdiff_t>(number));
        if (!playAlone(shorter).failure.empty()) {
            run = std::move(shorter);
        }
    }
    return run;
}

void printFailure(const ManagerRun &run, const std::string &failure)
{
    fmt::print("seed {}: {}\n  {} managers, {} spares, {} workers\n",
               run.seed,
               failure,
               run.managers,
               run.spares,
               run.workers);
    for (const fakes::Fault &fault : run.faults) {
        fmt::print("  {}\n", fakes::describe(fault));
    }
    std::fflush(stdout);
}

struct SearchOptions {
    std::uint64_t firstSeed = 1;
    std::uint64_t runs = 100;
    std::size_t jobs = 1;
    std::chrono::seconds time{0}; ///< Starts no run after this; 0 is unlimited.
    bool shorten = true;
};

int search(const SearchOptions &options)
{
    using Clock = std::chrono::steady_clock;
    const auto begin = Clock::now();
    std::map<pid_t, std::unique_ptr<RunProcess>> processes;
    std::map<fakes::FaultKind, std::uint64_t> faults;
    Report sum;
    std::uint64_t started = 0;
    std::uint64_t failed = 0;
    const auto mayStart = [&] {
        const bool inTime = options.time.count() == 0 || Clock::now() - begin < options.time;
        return started < options.runs && inTime;
    };
    while (mayStart() || !processes.empty()) {
        while (mayStart() && processes.size() < options.jobs) {
            const ManagerRun run = fakes::drawRun(options.firstSeed + started++);
            for (const fakes::Fault &fault : run.faults) {
                ++faults[fault.kind];
            }
            auto process = std::make_unique<RunProcess>(run);
            const pid_t pid = process->pid();
            processes[pid] = std::move(process);
        }
        int status = 0;
        const auto process = processes.extract(waitpid(-1, &status, 0));
        if (process.empty()) {
            continue;
        }
        const Report report = process.mapped()->report(status);
        sum.virtualSeconds += report.virtualSeconds;
        sum.jobs += report.jobs;
        sum.starts += report.starts;
        sum.membersAlone += report.membersAlone;
        sum.refusedProposals += report.refusedProposals;
        if (!report.failure.empty()) {
            ++failed;
            const ManagerRun &run = process.mapped()->run();
            printFailure(options.shorten ? shorten(run) : run, report.failure);
        }
    }
    fmt::print("{} runs, {} failed; {:.0f} virtual seconds in {:.1f} s; {} jobs, {} starts, {} members alone, "
               "{} refused proposals\n",
               started,
               failed,
               sum.virtualSeconds,
               std::chrono::duration<double>(Clock::now() - begin).count(),
               sum.jobs,
               sum.starts,
               sum.membersAlone,
               sum.refusedProposals);
    for (const auto &[kind, count] : faults) {
        fmt::print("  {:<22} {}\n", fakes::toString(kind), count);
    }
    return failed == 0 ? 0 : 1;
}

// Plays one run in this process with its log lines, which tell the last decisions.
int playWithLog(std::uint64_t seed, const std::vector<std::size_t> &kept)
{
    ManagerRun run = fakes::drawRun(seed);
    if (!kept.empty()) {
        std::vector<fakes::Fault> faults;
        faults.reserve(kept.size());
        for (const std::size_t number : kept) {
            faults.push_back(run.faults.at(number));
        }
        run.faults = std::move(faults);
    }
    // Sets the level only: without a writer, no line is lost when the process ends.
    {
        const base::LogWriter writer(base::LogLevel::Info);
    }
    const ManagerRunResult result = fakes::play(run);
    fmt::print("{}\n", result.failure.value_or("nothing broken"));
    return result.failure ? 1 : 0;
}

} // namespace

int runManagers(int argc, char **argv)
{
    cxxopts::Options options("yw-bench managers", "Searches for broken guarantees of whole managers in virtual time.");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "runs", "number of runs", cxxopts::value<std::uint64_t>()->default_value("100"))(
        "jobs", "runs at the same time", cxxopts::value<std::size_t>()->default_value("1"))(
        "time", "seconds after which no run is started; 0 is unlimited", cxxopts::value<int>()->default_value("0"))(
        "no-shorten", "print all faults of a run that fails")("log", "play the first seed with its log lines")(
        "faults",
        "with --log: numbers of the faults that are kept, from 0",
        cxxopts::value<std::vector<std::size_t>>())("help", "print this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            fmt::print("{}\n", options.help());
            return 0;
        }
        SearchOptions searched;
        searched.firstSeed = arguments["seed"].as<std::uint64_t>();
        searched.runs = arguments["runs"].as<std::uint64_t>();
        searched.jobs = std::max<std::size_t>(arguments["jobs"].as<std::size_t>(), 1);
        searched.time = std::chrono::seconds(arguments["time"].as<int>());
        searched.shorten = arguments.count("no-shorten") == 0;
        if (arguments.count("log") > 0) {
            const auto kept = arguments.count("faults") > 0 ? arguments["faults"].as<std::vector<std::size_t>>()
                                                            : std::vector<std::size_t>();
            return playWithLog(searched.firstSeed, kept);
        }
        return search(searched);
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "{}\n{}\n", error.what(), options.help());
        return ExitUsage;
    }
}

} // namespace yuccawheel::bench
