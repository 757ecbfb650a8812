#include "base/scope_guard.h"
#include "routing/loan_manager.h"
#include "settings/process_settings.h"
#include "settings/units.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace yuccawheel::settings;
using namespace std::chrono_literals;

namespace
{

const std::string Valid = R"(cluster: demo
zone: a
node: a1
listen:
  caller: 127.0.0.1:0
  operator: 127.0.0.1:0
  upstream: 127.0.0.1:0
  worker: 127.0.0.1:0
  inner: "[::1]:0"
  health: 127.0.0.1:0
stores: [{node: a1, zone: a, address: 127.0.0.1:7400}]
entries: [{node: a1, zone: a, address: 127.0.0.1:7401}]
schedulers: [{node: a1, zone: a, address: 127.0.0.1:7402, worker_address: 127.0.0.1:7403}]
token_file: token
data_dir: data
)";

class SettingsFile : public testing::Test
{
protected:
    SettingsFile()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "yw-settings-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
    }
    ~SettingsFile() override
    {
        std::filesystem::remove_all(folder_);
    }
    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(folder_ / name) << text;
        return (folder_ / name).string();
    }
    auto load(const std::string &text, Program program = Program::Entry) const
    {
        return loadProcessSettings(write("settings.yaml", text), program);
    }
    /// Returns `LINE KEY` of each problem, separated by `; `.
    std::string problemsIn(const std::string &text, Program program = Program::Entry) const
    {
        const auto loaded = load(text, program);
        std::string result;
        for (const Problem &problem : loaded ? Problems{} : loaded.error()) {
            EXPECT_FALSE(problem.found.empty() || problem.allowed.empty());
            result += (result.empty() ? "" : "; ") + std::to_string(problem.line) + " " + problem.key;
        }
        return result;
    }
    /// Returns the valid settings with one line replaced.
    static std::string validWith(const std::string &line, const std::string &replacement)
    {
        std::string text = Valid;
        return text.replace(text.find(line), line.size(), replacement);
    }

    /// Returns settings whose addresses, token file and data folder are usable on this VM.
    std::string usableOnThisVm(std::string text) const
    {
        const auto replace = [&text](const std::string &part, const std::string &replacement) {
            text.replace(text.find(part), part.size(), replacement);
        };
        replace("[::1]", "127.0.0.1");
        replace("token_file: token", "token_file: " + write("token", "0123456789abcdef\n"));
        std::filesystem::permissions(folder_ / "token", std::filesystem::perms::owner_read);
        replace("data_dir: data", "data_dir: " + (folder_ / "data").string());
        return text;
    }

    std::filesystem::path folder_;
};

} // namespace

// A request whose timeout exceeds the loan term can't use a borrowed slot. With a longer default timeout, callers would
// wait at an entry whose own share is in use although slots of other entries are idle.
TEST_F(SettingsFile, defaultRequestTimeoutFitsIntoLoanTerm)
{
    const auto settings = load(Valid);
    ASSERT_TRUE(settings);
    const yuccawheel::routing::LoanOptions loan;
    EXPECT_LE(settings->requestTimeout, loan.term - loan.abandonGrace);
}

TEST_F(SettingsFile, allZoneDaemonsLoadTheSameFileAndGetDefaults)
{
    for (const Program program : {Program::Entry, Program::Scheduler, Program::Store}) {
        const auto settings = load(Valid, program);
        ASSERT_TRUE(settings) << toString(settings.error());
        EXPECT_EQ(settings->heartbeat, 500ms);
        EXPECT_EQ(settings->listen.inner, (Endpoint{"::1", 0}));
        EXPECT_EQ(toString(*settings->schedulers.at(0).workerAddress), "127.0.0.1:7403");
    }
}

TEST_F(SettingsFile, eachProblemNamesItsLineAndKey)
{
    EXPECT_EQ(problemsIn(validWith("zone: a\n", "")), "1 zone");
    EXPECT_EQ(problemsIn(validWith("zone: a\n", "zone: [a]\n")), "2 zone");
    EXPECT_EQ(problemsIn(Valid + "lese: 10s\n"), "16 ");
    EXPECT_EQ(problemsIn(Valid + "lease: 10\n"), "16 lease");
    EXPECT_EQ(problemsIn(Valid + "lease: 2h\n"), "16 lease");
    EXPECT_EQ(problemsIn(Valid + "lease: 1s\n"), "16 lease");
    EXPECT_EQ(problemsIn(Valid + "peer_timeout_min: 1s\n"), "16 peer_timeout_min");
    EXPECT_EQ(problemsIn(Valid + "peer_timeout_max: 1s\n"), "16 peer_timeout_max");
    EXPECT_EQ(problemsIn(Valid + "zone: b\n"), "16 zone");
    EXPECT_EQ(problemsIn(Valid + "drain_limit: 2h\n"), "16 drain_limit");
    EXPECT_EQ(problemsIn(validWith("address: 127.0.0.1:7400", "address: localhost:7400")), "11 stores[0].address");
    EXPECT_EQ(problemsIn(validWith("address: 127.0.0.1:7400", "address: 127.0.0.1:0")), "11 stores[0].address");
    EXPECT_EQ(problemsIn(validWith("caller: 127.0.0.1:0", "caller: 127.0.0.1:65536")), "5 listen.caller");
    EXPECT_EQ(problemsIn(validWith("caller: 127.0.0.1:0", "callers: 127.0.0.1:0")), "5 listen.caller; 5 listen");
    EXPECT_EQ(problemsIn(validWith("node: a1\n", "node: a1\nobjective: speed\nlease: x\n")), "4 objective; 5 lease");
    EXPECT_EQ(problemsIn(validWith(", worker_address: 127.0.0.1:7403", "")), "13 schedulers[0].worker_address");
    EXPECT_EQ(problemsIn("cluster: [\n"), "2 ");
    EXPECT_EQ(problemsIn(Valid + "---\n" + Valid), "0 ");
    EXPECT_EQ(problemsIn("- a\n").substr(0, 2), "1 ");
}

TEST_F(SettingsFile, includedFileIsReadAndNamedInItsProblems)
{
    write("cluster.yaml", "cluster: demo\nlog_level: loud\n");
    const auto bad = load(validWith("cluster: demo\n", "include: cluster.yaml\n"));
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().at(0).file, (folder_ / "cluster.yaml").string());
    EXPECT_EQ(bad.error().at(0).line, 2);
    write("cluster.yaml", "cluster: demo\nlog_level: error\n");
    const auto good = load(validWith("cluster: demo\n", "include: cluster.yaml\n"));
    ASSERT_TRUE(good) << toString(good.error());
    EXPECT_EQ(good->logLevel, yuccawheel::base::LogLevel::Error);
    EXPECT_EQ(problemsIn("include: cluster.yaml\n" + Valid), "1 cluster");
}

TEST_F(SettingsFile, unbindableAddressIsReportedAtItsKey)
{
    const auto settings = load(usableOnThisVm(validWith("caller: 127.0.0.1:0", "caller: 192.0.2.1:80")));
    ASSERT_TRUE(settings);
    const auto problems = checkOnThisVm(*settings);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems.at(0).key, "listen.caller");
    EXPECT_EQ(problems.at(0).line, 5);
    EXPECT_EQ(problems.at(0).found, "192.0.2.1:80");
}

TEST_F(SettingsFile, tokenFileAndDataFolderAreCheckedAtTheirKeys)
{
    auto settings = load(usableOnThisVm(Valid));
    ASSERT_TRUE(settings);
    std::filesystem::permissions(settings->tokenFile, std::filesystem::perms::all);
    settings->dataDir = (folder_ / "none" / "data").string();
    const auto problems = checkOnThisVm(*settings);
    ASSERT_EQ(problems.size(), 2U);
    EXPECT_EQ(std::to_string(problems[0].line) + problems[0].key, "14token_file");
    EXPECT_EQ(std::to_string(problems[1].line) + problems[1].key, "15data_dir");
}

TEST_F(SettingsFile, sameAddressForTwoListenersIsReported)
{
    auto settings = load(usableOnThisVm(Valid));
    ASSERT_TRUE(settings);
    EXPECT_TRUE(checkOnThisVm(*settings).empty());
    // A bound socket that doesn't listen reserves the port, but SO_REUSEADDR lets the check bind it too.
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const int boundSocket = socket(AF_INET, SOCK_STREAM, 0);
    const yuccawheel::base::ScopeGuard closer([boundSocket] { close(boundSocket); });
    const int on = 1;
    setsockopt(boundSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ASSERT_EQ(bind(boundSocket, reinterpret_cast<sockaddr *>(&address), length), 0);
    ASSERT_EQ(getsockname(boundSocket, reinterpret_cast<sockaddr *>(&address), &length), 0);
    settings->listen.caller = Endpoint{"127.0.0.1", ntohs(address.sin_port)};
    EXPECT_TRUE(checkOnThisVm(*settings).empty());
    settings->listen.health = settings->listen.caller;
    const auto problems = checkOnThisVm(*settings);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems.at(0).key, "listen.health");
}

RC_GTEST_PROP(Units, formattedAmountsRoundTrip, ())
{
    const auto amount = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40);
    RC_ASSERT(parseDuration(formatDuration(std::chrono::milliseconds(amount)))->count() == amount);
    RC_ASSERT(parseMemory(formatMemory(amount)) == amount);
    RC_ASSERT(parseCpu(formatCpu(amount)) == amount);
}

TEST(Units, malformedAmountsAreRejected)
{
    for (const char *text : {"", "s", "5", "5 s", "-5s", "1.5s", "99999999999999999999s", "9223372036854775807d"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
    for (const char *text : {"", ".", "1.", ".5", "1.0001", "-1", "1e3", "9223372036854775807"}) {
        EXPECT_FALSE(parseCpu(text)) << text;
    }
}
