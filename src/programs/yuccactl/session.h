#pragma once

#include "programs/yuccactl/entry_client.h"
#include "programs/yuccactl/options.h"

#include <string>
#include <string_view>

namespace yuccawheel::programs::yuccactl
{

/// Options, entry client and output of one command.
class Session
{
public:
    Session(Options options, EntryClient client);

    const Options &options() const
    {
        return options_;
    }
    const EntryClient &client() const
    {
        return client_;
    }

    /// Prints an answer as JSON or text. An empty `text` stands for the rendered answer.
    void print(const Json &answer, const std::string &text = "") const;
    /// Prints one of a sequence of answers; with JSON, each takes one line.
    void printUpdate(const Json &answer) const;
    /// Prints the answer or the failure and returns the exit code.
    ExitCode printOrFail(const tl::expected<Json, Failure> &answer) const;
    /// Prints a failure and returns its exit code. Text goes to standard error, JSON to standard output.
    ExitCode fail(const Failure &failure) const;
    ExitCode fail(ExitCode code, const std::string &message) const;

private:
    Options options_;
    EntryClient client_;
};

/// Prints a progress line to standard error.
void printProgress(std::string_view text);

} // namespace yuccawheel::programs::yuccactl
