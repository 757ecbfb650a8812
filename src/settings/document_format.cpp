#include "settings/document.h"
#include "settings/document_fields.h"

#include <fmt/core.h>

#include <algorithm>

namespace yuccawheel::settings
{

namespace
{

using placement::JobSpec;
using placement::TeamQuota;

const std::string ItemIndent = "  ";

/// Returns the lines of an item indented as an element of a list.
std::string listItem(const std::string &item)
{
    std::string text = ItemIndent + "- ";
    for (const char c : item) {
        text += c;
        if (c == '\n') {
            text += ItemIndent + ItemIndent;
        }
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

template <typename Item, typename Format>
std::string formatList(const std::string &key, std::vector<Item> items, std::string Item::*name, Format format)
{
    if (items.empty()) {
        return "";
    }
    std::stable_sort(
        items.begin(), items.end(), [name](const Item &left, const Item &right) { return left.*name < right.*name; });
    std::string text = key + ":\n";
    for (const Item &item : items) {
        text += listItem(format(item));
    }
    return text;
}

std::string formatNames(const std::string &key, std::vector<std::string> names)
{
    if (names.empty()) {
        return "";
    }
    std::sort(names.begin(), names.end());
    std::string list;
    for (const std::string &name : names) {
        list += (list.empty() ? "" : ", ") + formatText(name);
    }
    return fmt::format("{}{}: [{}]\n", ItemIndent, key, list);
}

} // namespace

std::string formatJob(const JobSpec &job)
{
    std::string text;
    for (const JobField &field : jobFields()) {
        if (!field.appliesTo(job.kind)) {
            continue;
        }
        const std::string value = field.print(job);
        if (field.required || value != field.defaultValue) {
            text += fmt::format("{}: {}\n", field.key, value);
        }
    }
    return text;
}

std::string formatTeam(const TeamQuota &team)
{
    return fmt::format("name: {}\nguaranteed: {}\n", formatText(team.team), formatResources(team.guaranteed));
}

std::string formatDocument(const Document &document)
{
    std::string text = formatList("teams", document.teams, &TeamQuota::team, formatTeam);
    text += formatList("services", document.services, &JobSpec::name, formatJob);
    text += formatList("batch", document.batch, &JobSpec::name, formatJob);
    text += formatList("all_at_once", document.allAtOnce, &JobSpec::name, formatJob);
    const std::string removed =
        formatNames("teams", document.removedTeams) + formatNames("services", document.removedServices);
    return removed.empty() ? text : text + "remove:\n" + removed;
}

} // namespace yuccawheel::settings
