#include "settings/document.h"
#include "settings/document_json.h"

#include <fmt/core.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace yuccawheel;
using namespace yuccawheel::settings;
using namespace std::chrono_literals;
using placement::JobKind;

namespace
{

const std::string Valid = R"(teams:
  - name: routes
    guaranteed: {cpu: 4, memory: 16GiB, accelerators: 1}
services:
  - name: loan-checks
    team: routes
    replicas: 6
    resources: {cpu: 0.5, memory: 512MiB}
    urgent: true
    max_disruption: 2
batch:
  - name: catalogue
    team: routes
    tasks: 40
    resources: {cpu: 2, memory: 4GiB}
    run_time: 90s
    priority: -5
    deadline: 6h
    repeatable: false
    payload: "rebuild \"all\"\n"
all_at_once:
  - name: suite
    team: routes
    tasks: 4
    resources: {cpu: 1, memory: 1GiB, accelerators: 1}
    run_time: 10m
remove: {services: [old], teams: [gone]}
)";

std::string problemsIn(const std::string &text)
{
    const auto document = parseDocument(text, "f.yaml");
    std::string result;
    for (const Problem &problem : document ? Problems{} : document.error()) {
        EXPECT_FALSE(problem.found.empty() || problem.allowed.empty());
        result += (result.empty() ? "" : "; ") + std::to_string(problem.line) + " " + problem.key;
    }
    return result;
}

std::string validWith(const std::string &part, const std::string &replacement)
{
    std::string text = Valid;
    return text.replace(text.find(part), part.size(), replacement);
}

placement::Resources arbitraryResources(bool forTask)
{
    return {*rc::gen::inRange(forTask ? 1 : 0, 64'000),
            *rc::gen::inRange(forTask ? 1 : 0, 1 << 20),
            *rc::gen::inRange(0, 9)};
}

placement::JobSpec arbitraryJob(JobKind kind, int number)
{
    placement::JobSpec job;
    job.kind = kind;
    job.name = fmt::format("{}{}", *rc::gen::element<std::string>("null", "true", "1.5-", "a_"), number);
    job.team = *rc::gen::element<std::string>("null", "NULL", "true", "1.5", "a-b_c.d");
    job.tasks = *rc::gen::inRange(1, 1'000);
    job.perTask = arbitraryResources(true);
    job.priority = *rc::gen::inRange(-100, 101);
    job.urgent = *rc::gen::arbitrary<bool>();
    job.detachedFor = std::chrono::milliseconds(*rc::gen::inRange(1'000, 86'400'000));
    // All ASCII characters and two others: the emitter must escape those that YAML would interpret.
    for (const int code : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 130))) {
        job.payload += code < 128 ? std::string(1, static_cast<char>(code)) : code == 128 ? "é" : "✂";
    }
    if (kind == JobKind::Service) {
        job.maxDisruption = *rc::gen::inRange<std::uint32_t>(1, job.tasks + 1);
        return job;
    }
    job.declaredRunTime = std::chrono::milliseconds(*rc::gen::inRange(1, 1'000'000'000));
    job.repeatable = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        job.deadline = std::chrono::milliseconds(*rc::gen::inRange(1'000, 1'000'000'000));
    }
    return job;
}

} // namespace

TEST(Document, allFieldsAreParsed)
{
    const auto document = parseDocument(Valid, "f.yaml");
    ASSERT_TRUE(document) << toString(document.error());
    EXPECT_EQ(document->teams.at(0).guaranteed, (placement::Resources{4'000, 16'384, 1}));
    const auto &service = document->services.at(0);
    EXPECT_EQ(service.kind, JobKind::Service);
    EXPECT_EQ(service.tasks, 6U);
    EXPECT_EQ(service.perTask, (placement::Resources{500, 512, 0}));
    EXPECT_TRUE(service.urgent);
    EXPECT_EQ(service.maxDisruption, 2U);
    EXPECT_EQ(service.detachedFor, 1min);
    const auto &batch = document->batch.at(0);
    EXPECT_EQ(batch.declaredRunTime, 90s);
    EXPECT_EQ(batch.priority, -5);
    EXPECT_EQ(batch.deadline, 6h);
    EXPECT_FALSE(batch.repeatable);
    EXPECT_EQ(batch.payload, "rebuild \"all\"\n");
    EXPECT_EQ(document->allAtOnce.at(0).kind, JobKind::Gang);
    EXPECT_EQ(document->removedServices, std::vector<std::string>{"old"});
    EXPECT_EQ(document->removedTeams, std::vector<std::string>{"gone"});
}

TEST(Document, inputOtherThanOneYamlDocumentIsRejected)
{
    for (const char *text : {", x: }", "teams: []\n---\nteams: []\n"}) {
        const auto document = parseDocument(text, "input");
        ASSERT_FALSE(document) << text;
        EXPECT_EQ(document.error().front().allowed, "one document") << text;
    }
}

TEST(Document, allProblemsAreReportedAtOnce)
{
    EXPECT_EQ(problemsIn(validWith("tasks: 40", "tasks: 0") + "servces: []\n"), "14 batch[0].tasks; 28 ");
    EXPECT_EQ(problemsIn(validWith("    team: routes\n    tasks: 40", "    tasks: \"40\"\n    colour: red")),
              "12 batch[0].team; 13 batch[0].tasks; 14 batch[0]");
    EXPECT_EQ(problemsIn(validWith("cpu: 0.5", "cpu: 0")), "8 services[0].resources.cpu");
    EXPECT_EQ(problemsIn(validWith("512MiB", "512")), "8 services[0].resources.memory");
    EXPECT_EQ(problemsIn(validWith(", memory: 512MiB", "")), "8 services[0].resources.memory");
    EXPECT_EQ(problemsIn(validWith("replicas: 6", "replicas: 1")), "10 services[0].max_disruption");
    EXPECT_EQ(problemsIn(validWith("replicas: 6", "tasks: 6")),
              "5 services[0].replicas; 10 services[0].max_disruption; 7 services[0]");
    EXPECT_EQ(problemsIn(validWith("[old]", "[loan-checks, 'a b']")), "27 remove.services[1]; 27 remove.services");
    EXPECT_EQ(problemsIn(validWith("all_at_once:", "  - name: catalogue\n    tasks: x\nall_at_once:")),
              "21 batch[1].name; 21 batch[1].team; 22 batch[1].tasks; 21 batch[1].resources; 21 batch[1].run_time");
    EXPECT_EQ(problemsIn(validWith("run_time: 90s", "run_time: 90s\n    run_time: 80s")), "17 batch[0].run_time");
    EXPECT_EQ(problemsIn(validWith("payload: \"rebuild", "payload: \"\xff")), "20 batch[0].payload");
    EXPECT_EQ(problemsIn("batch: 5\n"), "1 batch");
    EXPECT_EQ(problemsIn(""), "0 ");
    EXPECT_EQ(problemsIn("batch: [&a [*a]]\n"), "1 batch[0]");
    EXPECT_EQ(problemsIn(std::string(100'000, '[')), "1 ");
    EXPECT_EQ(problemsIn(std::string(MaxDocumentBytes + 1, ' ')), "0 ");
}

RC_GTEST_PROP(Document, canonicalFormRoundTrips, ())
{
    Document document;
    for (int i = 0; i < *rc::gen::inRange(1, 4); ++i) {
        document.teams.push_back({fmt::format("t{}", i), arbitraryResources(false)});
        document.services.push_back(arbitraryJob(JobKind::Service, i));
        document.batch.push_back(arbitraryJob(JobKind::Batch, i));
        document.allAtOnce.push_back(arbitraryJob(JobKind::Gang, i));
        document.removedServices.push_back(fmt::format("r{}", i));
    }
    const std::string text = formatDocument(document);
    const auto parsed = parseDocument(text, "f.yaml");
    if (!parsed) {
        RC_FAIL(toString(parsed.error()) + text);
    }
    RC_ASSERT(formatDocument(*parsed) == text);
    RC_ASSERT(parsed->batch.size() == document.batch.size());
    for (const auto &job : document.batch) {
        const auto same = [&](const auto &other) {
            return other.name == job.name && other.payload == job.payload && other.perTask == job.perTask;
        };
        RC_ASSERT(std::any_of(parsed->batch.begin(), parsed->batch.end(), same));
    }
}

RC_GTEST_PROP(Document, jsonFormIsParsedAsDocument, ())
{
    const Document document{{{"t", arbitraryResources(false)}}, {arbitraryJob(JobKind::Service, 1)}, {}, {}, {}, {}};
    const nlohmann::ordered_json json{{"teams", {toJson(document.teams[0])}},
                                      {"services", {toJson(document.services[0])}}};
    for (const int indent : {-1, 2}) {
        const auto parsed = parseDocument(json.dump(indent), "f.json");
        if (!parsed) {
            RC_FAIL(toString(parsed.error()) + json.dump(indent));
        }
        RC_ASSERT(formatDocument(*parsed) == formatDocument(document));
    }
}

// The parser must return a document or problems for randomly damaged input, and must not throw or crash.
RC_GTEST_PROP(Document, damagedInputNeverThrows, ())
{
    std::string text = Valid;
    for (int i = 0; i < *rc::gen::inRange(1, 8) && !text.empty(); ++i) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        const auto other = *rc::gen::inRange<std::size_t>(0, text.size());
        const std::string slice = text.substr(other, length);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[place] = *rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('&', '*', '{', '\t', '"', '!'));
            break;
        case 1:
            text.erase(place, length);
            break;
        case 2:
            text.insert(place, slice);
            break;
        default:
            text.resize(place);
        }
    }
    const auto document = parseDocument(text, "f.yaml");
    if (document) {
        RC_ASSERT(parseDocument(formatDocument(*document), "again").has_value());
    } else {
        RC_ASSERT(!document.error().empty());
    }
}
