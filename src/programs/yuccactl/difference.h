#pragma once

#include "programs/yuccactl/entry_client.h"
#include "settings/document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccawheel::programs::yuccactl
{

/// Change that a document makes to one team, service or job.
struct Change {
    enum class Kind : std::uint8_t { Added, Changed, Removed, Unchanged, Submitted };
    Kind kind = Kind::Unchanged;
    std::string item; ///< For example `service loan-checks`.
    std::string before; ///< Canonical form in force, or empty.
    std::string after; ///< Canonical form in the document, or empty if removed.
};

/// Compares a document with the configuration in force.
std::vector<Change> compare(const settings::Document &inForce, const settings::Document &wanted);

std::string toString(Change::Kind kind);
/// Formats the changes as text with `+` and `-` lines.
std::string renderChanges(const std::vector<Change> &changes);
Json toJson(const std::vector<Change> &changes);

} // namespace yuccawheel::programs::yuccactl
