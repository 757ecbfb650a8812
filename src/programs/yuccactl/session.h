#pragma once

#include "programs/yuccactl/entry_client.h"
#include "programs/yuccactl/options.h"

#include <string>
#include <string_view>

namespace yuccawheel::programs::yuccactl
{

/// One run of the program: the options, and the way to the cluster.
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

    /// Prints an answer as text or JSON. Without a text the answer is rendered as it is.
    void print(const Json &answer, const std::string &text = "") const;
    /// Prints one of several answers: with JSON, one a line.
    void printStep(const Json &answer) const;
    /// Prints an answer, or the failure.
    ExitCode finish(const tl::expected<Json, Failure> &answer) const;
    /// Prints a failure and returns its exit code.
    ExitCode fail(const Failure &failure) const;
    ExitCode fail(ExitCode code, const std::string &message) const;

private:
    Options options_;
    EntryClient client_;
};

/// Prints a line of progress to standard error.
void printProgress(std::string_view text);

} // namespace yuccawheel::programs::yuccactl
