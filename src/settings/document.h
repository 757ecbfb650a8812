#pragma once

#include "placement/job.h"
#include "settings/problem.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// A submission by an operator: jobs to run, and changes of the current configuration. Job ids are assigned on
/// acceptance.
struct Document {
    std::vector<placement::TeamQuota> teams; ///< Added, or replaced by name.
    std::vector<placement::JobSpec> services; ///< Added, or replaced by name.
    std::vector<placement::JobSpec> batch;
    std::vector<placement::JobSpec> allAtOnce;
    std::vector<std::string> removedTeams;
    std::vector<std::string> removedServices;

    /// Returns whether the document changes teams or services. Such a document needs an expected version.
    bool changesConfiguration() const;
};

constexpr std::size_t MaxDocumentBytes = 256U << 10U;
constexpr std::size_t MaxListItems = 1'000; ///< Limit for each list of a document.

/// Parses and checks a document. The error lists all problems found; `file` only names the source in them. Never
/// throws.
tl::expected<Document, Problems> parseDocument(const std::string &text, const std::string &file);

/// Returns the document as YAML in canonical form: keys in a fixed order, lists sorted by name, default values omitted.
std::string formatDocument(const Document &document);

/// Returns one job, service or team in canonical form, without the leading `- ` of a list item.
std::string formatJob(const placement::JobSpec &job);
std::string formatTeam(const placement::TeamQuota &team);

} // namespace yuccawheel::settings
