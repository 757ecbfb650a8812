#include "programs/yuccactl/commands.h"
#include "programs/yuccactl/document_file.h"
#include "settings/document_fields.h"

#include <fmt/core.h>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using placement::JobKind;

Json settingRows(const std::vector<settings::SettingInfo> &infos)
{
    Json rows = Json::array();
    for (const settings::SettingInfo &info : infos) {
        rows.push_back({{"key", info.key},
                        {"default", info.defaultValue},
                        {"allowed", info.allowed},
                        {"required_by", info.requiredBy},
                        {"description", info.description}});
    }
    return rows;
}

Json fieldRows()
{
    Json rows = Json::array();
    for (const settings::JobField &field : settings::jobFields()) {
        Json sections = Json::array();
        for (const auto &[kind, section] : {std::pair{JobKind::Service, "services"},
                                            std::pair{JobKind::Batch, "batch"},
                                            std::pair{JobKind::Gang, "all_at_once"}}) {
            if (field.appliesTo(kind)) {
                sections.push_back(section);
            }
        }
        rows.push_back({{"field", field.key},
                        {"sections", std::move(sections)},
                        {"required", field.required ? "yes" : ""},
                        {"default", field.defaultValue},
                        {"allowed", field.allowed},
                        {"description", field.description}});
    }
    return rows;
}

} // namespace

ExitCode runCheck(const Session &session)
{
    const auto file = readDocumentFile(session.options().arguments.at(0));
    if (!file) {
        return session.fail(file.error());
    }
    const settings::Document &document = file->document;
    session.print({{"teams", document.teams.size()},
                   {"services", document.services.size()},
                   {"batch", document.batch.size()},
                   {"all_at_once", document.allAtOnce.size()},
                   {"removed_teams", document.removedTeams.size()},
                   {"removed_services", document.removedServices.size()}});
    return ExitCode::Ok;
}

ExitCode runDescribe(const Session &session)
{
    const std::string &topic = session.options().arguments.at(0);
    if (topic == "settings") {
        session.print({{"daemons", settingRows(settings::settingInfos())},
                       {"yuccactl", settingRows(settings::clientSettingInfos())}});
    } else if (topic == "document") {
        session.print({{"fields", fieldRows()}});
    } else {
        return session.fail(ExitCode::Usage, "describe: found '" + topic + "', allowed: settings, document");
    }
    return ExitCode::Ok;
}

} // namespace yuccawheel::programs::yuccactl
