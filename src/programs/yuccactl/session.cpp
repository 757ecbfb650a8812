#include "programs/yuccactl/session.h"

#include "programs/yuccactl/render.h"

#include <fmt/core.h>

#include <cstdio>
#include <utility>

namespace yuccawheel::programs::yuccactl
{

namespace
{

constexpr int JsonIndent = 2;

std::string dump(const Json &json, int indent = JsonIndent)
{
    return json.dump(indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

void writeToStdout(const std::string &output)
{
    std::fwrite(output.data(), 1, output.size(), stdout);
    std::fflush(stdout);
}

} // namespace

Session::Session(Options options, EntryClient client) : options_(std::move(options)), client_(std::move(client))
{
}

void Session::print(const Json &answer, const std::string &text) const
{
    writeToStdout(options_.json ? dump(answer) : text.empty() ? render(answer) : text);
}

void Session::printUpdate(const Json &answer) const
{
    constexpr int NoIndent = -1;
    writeToStdout(options_.json ? dump(answer, NoIndent) : render(answer) + "\n");
}

ExitCode Session::printOrFail(const tl::expected<Json, Failure> &answer) const
{
    if (!answer) {
        return fail(answer.error());
    }
    print(*answer);
    return ExitCode::Ok;
}

ExitCode Session::fail(const Failure &failure) const
{
    if (options_.json) {
        print({{"exit_code", static_cast<int>(failure.code)},
               {"message", failure.message},
               {"answer", failure.details.is_discarded() ? Json() : failure.details}});
    } else {
        fmt::print(stderr, "yuccactl: {}\n", failure.message);
    }
    return failure.code;
}

ExitCode Session::fail(ExitCode code, const std::string &message) const
{
    return fail(Failure{code, message, {}});
}

void printProgress(std::string_view text)
{
    fmt::print(stderr, "{}\n", text);
}

} // namespace yuccawheel::programs::yuccactl
