#pragma once

#include "placement/job.h"
#include "settings/problem.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// What an operator submits: jobs to run, and changes to the configuration in force. Job ids are given on acceptance.
struct Document {
    std::vector<placement::TeamQuota> teams; ///< Added, or replaced by name.
    std::vector<placement::JobSpec> services; ///< Added, or replaced by name.
    std::vector<placement::JobSpec> batch;
    std::vector<placement::JobSpec> allAtOnce;
    std::vector<std::string> removedTeams;
    std::vector<std::string> removedServices;

    /// Says whether the document changes teams or services, and so needs an expected version.
    bool changesConfiguration() const;
};

constexpr std::size_t MaxDocumentBytes = 256U << 10U; ///< In bytes.
constexpr std::size_t MostItems = 1'000; ///< Entries of one list of a document.

/// Parses and checks a document. Reports every fault found; never throws.
tl::expected<Document, Problems> parseDocument(const std::string &text, const std::string &file);

/// Returns the document as YAML in canonical form: fixed order of keys, lists sorted by name, defaults left out.
std::string formatDocument(const Document &document);

/// Returns one job, service or team as it stands in the canonical form, without a leading `- `.
std::string formatJob(const placement::JobSpec &job);
std::string formatTeam(const placement::TeamQuota &team);

} // namespace yuccawheel::settings
