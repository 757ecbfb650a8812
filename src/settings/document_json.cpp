#include "settings/document_json.h"

#include "settings/document_fields.h"

namespace yuccawheel::settings
{

nlohmann::ordered_json toJson(const placement::JobSpec &job)
{
    nlohmann::ordered_json object = nlohmann::ordered_json::object();
    for (const JobField &field : jobFields()) {
        if (field.appliesTo(job.kind) && !field.print(job).empty()) {
            object[field.key] = field.json(job);
        }
    }
    return object;
}

nlohmann::ordered_json toJson(const placement::TeamQuota &team)
{
    return {{"name", team.team}, {"guaranteed", resourcesToJson(team.guaranteed)}};
}

} // namespace yuccawheel::settings
