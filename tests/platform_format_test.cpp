#include "platform/job_format.h"
#include "platform/json_fields.h"
#include "platform/worker_answers.h"

#include <fmt/core.h>
#include <gtest/gtest.h>

#include <sys/resource.h>

using namespace yuccawheel;
using namespace std::chrono_literals;
using platform::FormatError;

namespace
{

const std::string Route = R"({"name":"r-1","host":"a.example","path_prefix":"/p/","timeout_ms":3000,"slo_ms":250,
    "priority":1,"service":"s","attempts":3,"stretch":2.2,
    "advice":{"decision_ms":7.0,"period_ms":0.099,"valid_ms":1500}})";

std::string configuration(const std::string &routes, const std::string &version = "7")
{
    return R"({"version":)" + version + R"(,"routes":[)" + routes + R"(],"services":[{"name":"s"}],"limits":{}})";
}

const std::string Report = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,
    "state":"ready","capacity":{"cpu":16000,"mem_mb":32768},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,
    "born":1700000000000,"cold_remaining_ms":0})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(PlatformFormat, DecodesAJobWithDefaults)
{
    const auto job = platform::decodeJob(
        R"({"task_spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,"data_rack":"r1-3"},
            {"count":20,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,"same_rack":true,"may_miss":2}]})");
    EXPECT_EQ(job.payload, "text");
    ASSERT_EQ(job.steps.size(), 2U);
    EXPECT_EQ(job.steps[0].perTask, (placement::Resources{500, 256, 0}));
    EXPECT_EQ(job.steps[0].estimatedRunTime, 900ms);
    EXPECT_EQ(job.steps[0].dataRack, "r1-3");
    EXPECT_FALSE(job.steps[0].gang);
    EXPECT_EQ(job.steps[1].after, std::vector<std::uint32_t>{0});
    EXPECT_TRUE(job.steps[1].gang && job.steps[1].sameRack && job.steps[1].checkpointing);
    EXPECT_EQ(job.steps[1].maxUnavailable, 2U);
    EXPECT_FALSE(workflow::findFault(job));
}

TEST(PlatformFormat, RefusesMalformedAndInvalidJobs)
{
    for (const char *const body : {"",
                                   "[]",
                                   "{}",
                                   R"({"steps":3})",
                                   R"({"steps":[{"count":"4"}]})",
                                   R"({"steps":[{"count":-1}]})",
                                   R"({"steps":[{"after":["x"]}]})"}) {
        EXPECT_THROW(platform::decodeJob(body), FormatError) << body;
    }
    EXPECT_TRUE(workflow::findFault(platform::decodeJob(R"({"steps":[]})")));
    EXPECT_TRUE(workflow::findFault(platform::decodeJob(R"({"steps":[{"count":1,"after":[0]}]})")));
    EXPECT_TRUE(workflow::findFault(platform::decodeJob(R"({"steps":[{"count":1,"cpu":-5}]})")));
    EXPECT_TRUE(workflow::findFault(platform::decodeJob(R"({"steps":[{"count":9000000}]})")));
}

TEST(PlatformFormat, DecodesAConfiguration)
{
    const auto decoded = platform::decodeConfiguration(configuration(Route));
    EXPECT_EQ(decoded.version, 7U);
    EXPECT_EQ(decoded.text, configuration(Route));
    ASSERT_EQ(decoded.routes.size(), 1U);
    const workflow::QueuePolicy &policy = decoded.routes[0].policy;
    EXPECT_EQ(policy.target, 250ms);
    EXPECT_EQ(policy.attempts, 3U);
    EXPECT_EQ(policy.eligibility->perWorker, 99us);
    EXPECT_EQ(policy.eligibility->validFor, 1500ms);
    EXPECT_FALSE(workflow::findFault(decoded));
}

TEST(PlatformFormat, RefusesInvalidConfigurations)
{
    const std::string valid = configuration(Route);
    EXPECT_THROW(platform::decodeConfiguration(valid.substr(0, valid.size() / 2)), FormatError);
    EXPECT_THROW(platform::decodeConfiguration(configuration(Route, "1.5")), FormatError);
    EXPECT_THROW(platform::decodeConfiguration(configuration(Route, "0")), FormatError);
    EXPECT_THROW(platform::decodeConfiguration(replaced(valid, "3000", "\"3000\"")), FormatError);
    const auto isFaulty = [](const std::string &body) {
        return workflow::findFault(platform::decodeConfiguration(body)).has_value();
    };
    EXPECT_TRUE(isFaulty(configuration(Route + "," + Route))) << "duplicate route";
    EXPECT_TRUE(isFaulty(replaced(valid, R"("service":"s")", R"("service":"t")"))) << "unknown service";
    EXPECT_TRUE(isFaulty(replaced(valid, "3000", "0"))) << "zero timeout";
}

TEST(PlatformFormat, RoutesByHostAndLongestPathPrefix)
{
    const std::string longer = replaced(replaced(Route, "/p/", "/p/q/"), "r-1", "r-2");
    const auto decoded = platform::decodeConfiguration(configuration(Route + "," + longer));
    EXPECT_EQ(decoded.findRoute("a.example", "/p/q/1")->policy.queue, "r-2");
    EXPECT_EQ(decoded.findRoute("a.example", "/p/1")->policy.queue, "r-1");
    EXPECT_EQ(decoded.findRoute("b.example", "/p/1"), nullptr);
    EXPECT_EQ(decoded.findRoute("a.example", "/x"), nullptr);
}

TEST(PlatformFormat, DecodesAWorkerReport)
{
    const auto report = platform::decodeReport("i-1", Report);
    EXPECT_EQ(report.worker.id, "i-1");
    EXPECT_EQ(report.worker.born, 1700000000000);
    EXPECT_EQ(report.worker.rack(), "r1-3");
    EXPECT_EQ(report.clock, 482113ms);
    EXPECT_FALSE(report.draining);
    EXPECT_TRUE(platform::decodeReport("i-1", replaced(Report, "ready", "draining")).draining);
}

// Guards against managers that a worker's report of 4 MiB of opening brackets takes over their memory limit, one after
// the other. Three managers hold 256 MB each.
TEST(PlatformFormat, RefusesDeepOrWideBodiesWithoutMuchMemory)
{
    constexpr std::size_t BodyBytes = std::size_t{4} * 1024 * 1024;
    constexpr long MaxKibibytes = 64L * 1024;
    std::string wide = "{\"a\":[";
    while (wide.size() < BodyBytes - 8) {
        wide += "[[]],";
    }
    wide += "[]]}";
    std::string deepObjects;
    while (deepObjects.size() < BodyBytes) {
        deepObjects += "{\"a\":";
    }
    const auto peak = [] {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    const long before = peak();
    for (const std::string &body : {std::string(BodyBytes, '['), deepObjects, wide}) {
        EXPECT_THROW(platform::decodeReport("i-1", body), FormatError);
        EXPECT_THROW(platform::decodeConfiguration(body), FormatError);
    }
    EXPECT_LE(peak() - before, MaxKibibytes);
}

TEST(PlatformFormat, RefusesMalformedWorkerReports)
{
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "ready", "resting")), FormatError);
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "\"seq\":4", "\"sequel\":4")), FormatError);
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "482113", "\"noon\"")), FormatError);
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "10.0.0.9:8080", "nowhere")), FormatError);
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "[\"a\"", "[1")), FormatError);
}

// Guards against gateways that end one after the other: the leader names the id of each worker that has joined in its
// queries, and an id that is not UTF-8 can't be written as JSON.
TEST(PlatformFormat, RefusesUnreadableWorkerIds)
{
    constexpr std::size_t TooLong = 257;
    for (const std::string &id : {std::string("i-\xc3\x28\xff"),
                                  std::string(),
                                  std::string("i 1"),
                                  std::string("i-1\n"),
                                  std::string("i-\0", 3),
                                  std::string(TooLong, 'i')}) {
        EXPECT_THROW(platform::decodeReport(id, Report), FormatError) << id;
        EXPECT_THROW(platform::decodeFinalReport(id, ""), FormatError) << id;
    }
    const auto leaving = platform::decodeFinalReport("i-7f3a91c2", R"({"born":1700000000000})");
    EXPECT_TRUE(leaving.leaving);
    EXPECT_EQ(leaving.worker.id, "i-7f3a91c2");
    EXPECT_EQ(leaving.worker.born, 1700000000000);
}

// Guards against an odd entry among the workers' reports, jobs and configurations of others: a number outside its range
// took every manager down with the job's memory, or hid the reports that came after it.
TEST(PlatformFormat, RefusesNumbersOutOfRange)
{
    const std::string born = R"("born":1700000000000)";
    for (const std::string &report : {replaced(Report, born, R"("born":9000000000000000)"),
                                      replaced(Report, born, R"("born":-1)"),
                                      replaced(Report, R"("seq":4)", R"("seq":-1)"),
                                      replaced(Report, R"("seq":4)", R"("seq":1e300)"),
                                      replaced(Report, "482113", "9000000000000000"),
                                      replaced(Report, "16000", "9000000000000000"),
                                      replaced(Report, ":8080", ":65536"),
                                      replaced(Report, ":8080", ":0"),
                                      replaced(Report, "8080", "18446744073709559696")}) {
        EXPECT_THROW(platform::decodeReport("i-1", report), FormatError) << report;
    }
    const std::string valid = configuration(Route);
    for (const std::string &body : {replaced(valid, "2.2", "1e300"),
                                    replaced(valid, R"("slo_ms":250)", R"("slo_ms":1e300)"),
                                    replaced(valid, R"("priority":1)", R"("priority":1e12)"),
                                    replaced(valid, R"("valid_ms":1500)", R"("valid_ms":1e300)"),
                                    replaced(valid, "3000", "1e15")}) {
        EXPECT_THROW(platform::decodeConfiguration(body), FormatError) << body;
    }
    for (const char *const body : {R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})",
                                   R"({"steps":[{"count":1,"cpu":9000000000000000}]})",
                                   R"({"steps":[{"count":1,"estimated_ms":9000000000000000}]})",
                                   R"({"steps":[{"count":1}],"interval_ms":9000000000000000})"}) {
        EXPECT_THROW(platform::decodeJob(body), FormatError) << body;
    }
    // The number of tasks is a multiple of 2^64.
    EXPECT_TRUE(workflow::findFault(platform::decodeJob(
        R"({"steps":[{"count":2147483648},{"count":2147483648},{"count":2147483648},{"count":2147483648}],
            "times":2147483648})")));
}

TEST(PlatformFormat, RefusesDeeplyNestedBodies)
{
    constexpr std::size_t Depth = 1'000'000;
    const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
    EXPECT_THROW(platform::decodeReport("i-1", replaced(Report, "[\"a\",\"r1-3\"]", nested)), FormatError);
    EXPECT_THROW(platform::decodeReport("i-1", std::string(Depth, '[')), FormatError);
    EXPECT_THROW(platform::decodeConfiguration(configuration(nested)), FormatError);
    EXPECT_THROW(platform::decodeJob(R"({"steps":)" + nested + "}"), FormatError);
}

// Guards against runs that are started again although they have ended: their ends were not listed yet, since workers
// list 500 at a time, or a list was missing.
TEST(PlatformFormat, ListsThatMayBeCutShortAreIncomplete)
{
    const auto parse = [](const std::string &lists) {
        const std::string body = fmt::format(R"({{"clock_ms":5,"born":7{}}})", lists);
        auto answer = platform::parsePollAnswer("i-1", 1, http::ClientResponse{200, {}, body, {}, {}});
        EXPECT_EQ(answer.outcome, workflow::OrderOutcome::Done) << lists;
        return answer;
    };
    const auto isComplete = [&](const std::string &lists) {
        return parse(lists).isComplete;
    };
    const auto ends = [](int count) {
        std::string rows;
        for (int number = 1; number <= count; ++number) {
            rows +=
                fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.1.{}",1,"done",""])", number > 1 ? "," : "", number, number);
        }
        return rows;
    };
    EXPECT_TRUE(isComplete(fmt::format(R"(,"running":[],"ended":[{}])", ends(499))));
    EXPECT_FALSE(isComplete(fmt::format(R"(,"running":[],"ended":[{}])", ends(500))));
    EXPECT_FALSE(isComplete(R"(,"ended":[])"));
    EXPECT_FALSE(isComplete(R"(,"running":[])"));
    EXPECT_FALSE(isComplete(""));
    EXPECT_TRUE(parse(fmt::format(R"(,"ended":[{}])", ends(499))).areAllEndsListed);
    EXPECT_FALSE(parse(fmt::format(R"(,"ended":[{}])", ends(500))).areAllEndsListed);
    EXPECT_FALSE(parse(R"(,"running":[])").areAllEndsListed);
}

// Guards against a leader that starts again from the log without end: an end with a checkpoint larger than an entry of
// the log may be was refused each time.
TEST(PlatformFormat, CheckpointsTooLargeForTheLogAreDropped)
{
    const std::string large(900'000, 'c');
    const std::string body = fmt::format(
        R"({{"clock_ms":5,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"{0}",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"stopped","{0}"]]}})",
        large);
    const auto answer = platform::parsePollAnswer("i-1", 1, http::ClientResponse{200, {}, body, {}, {}});
    ASSERT_EQ(answer.running.size(), 1U);
    ASSERT_EQ(answer.ended.size(), 1U);
    EXPECT_EQ(answer.running[0].checkpoint, "");
    EXPECT_EQ(answer.ended[0].checkpoint, "");
}

// Guards against a gang at work that counts as one that waits for its members.
TEST(PlatformFormat, RowsOfRunningTasksTellTheirProgress)
{
    const auto progress = [](const std::string &row) {
        const std::string body = fmt::format(R"({{"clock_ms":5,"born":7,"running":[{}],"ended":[]}})", row);
        const auto answer = platform::parsePollAnswer("i-1", 1, http::ClientResponse{200, {}, body, {}, {}});
        EXPECT_EQ(answer.running.size(), 1U) << row;
        return answer.running.empty() ? 0 : answer.running.front().progressPercent;
    };
    EXPECT_EQ(progress(R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,1500])"), 41U);
    EXPECT_EQ(progress(R"(["5c0e7a21d94b36f8.0.1.17",2,"",0])"), 0U);
    EXPECT_EQ(progress(R"(["5c0e7a21d94b36f8.0.1.17",2])"), 0U);
    EXPECT_EQ(progress(R"(["5c0e7a21d94b36f8.0.1.17",2,"","much"])"), 0U);
}

// Guards against a worker that counts as silent, so that its tasks move, because of one odd row in its lists.
TEST(PlatformFormat, UnreadableRowHidesNoOthers)
{
    const auto decode = [](const std::string &running, const std::string &ended) {
        const std::string body =
            fmt::format(R"({{"clock_ms":5,"born":7,"running":[{}],"ended":[{}]}})", running, ended);
        return platform::parsePollAnswer("i-1", 1, http::ClientResponse{200, {}, body, {}, {}});
    };
    const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41])";
    const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    EXPECT_TRUE(decode(run, end).isComplete);
    for (const std::string &odd : {std::string("3"),
                                   std::string("[]"),
                                   std::string(R"(["5c0e7a21d94b36f8.0.1.17",4294967298,""])"),
                                   std::string(R"([1e300,"5c0e7a21d94b36f8.0.1.9",1,"done",""])"),
                                   std::string(R"([59,"5c0e7a21d94b36f8.0.1.9",1,"lost",""])"),
                                   std::string(100'000, '[') + std::string(100'000, ']')}) {
        const auto answer = decode(fmt::format("{},{}", odd, run), fmt::format("{},{}", odd, end));
        EXPECT_EQ(answer.outcome, workflow::OrderOutcome::Done) << odd;
        EXPECT_FALSE(answer.isComplete) << odd;
        ASSERT_EQ(answer.running.size(), 1U) << odd;
        EXPECT_EQ(answer.running[0].run, 2U);
        ASSERT_EQ(answer.ended.size(), 1U) << odd;
        EXPECT_EQ(answer.ended[0].number, 58U);
    }
    const auto eligible = platform::parseEligibilityAnswer(
        "1.0.0", http::ClientResponse{200, {}, R"({"good":[["i-1",3],["i-2","ticket"]]})", {}, {}});
    ASSERT_TRUE(eligible && eligible->size() == 1);
    EXPECT_EQ(eligible->front().first, "i-2");
}
