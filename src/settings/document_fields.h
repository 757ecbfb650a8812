#pragma once

#include "placement/job.h"
#include "settings/reader.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace yuccawheel::settings
{

/// A field of a service, batch job or all-at-once job, with its parser and formatters.
struct JobField {
    std::string key;
    std::vector<placement::JobKind> kinds;
    bool required = false;
    std::string allowed;
    std::string defaultValue;
    std::string description;
    std::function<void(Reader &reader, placement::JobSpec &job)> read;
    std::function<std::string(const placement::JobSpec &job)> print;
    std::function<nlohmann::ordered_json(const placement::JobSpec &job)> json;

    bool appliesTo(placement::JobKind kind) const;
};

/// Returns all fields in canonical order.
const std::vector<JobField> &jobFields();

/// Reads `cpu`, `memory` and `accelerators`. CPU and memory of a task must not be zero; a team's quota may be.
placement::Resources readResources(Reader &reader, bool forTask);
std::string formatResources(const placement::Resources &resources);
nlohmann::ordered_json resourcesToJson(const placement::Resources &resources);

/// Returns text as a YAML scalar, quoted if YAML would read it as something other than this text.
std::string formatText(const std::string &text);

} // namespace yuccawheel::settings
